#include <chrono>
#include <iostream>
#include <sstream>
#include <thread>

#include <gflags/gflags.h>

#include "ctl/commands.h"

DEFINE_string(addresses, "", "operators' addresses of instances, as host:port,host:port");
DEFINE_string(token_file, "", "file with the operators' bearer token");
DEFINE_uint32(timeout_s, 10, "longest wait for a connection and for an answer, in seconds");
DEFINE_uint32(rounds, 5, "how often all addresses are tried");
DEFINE_int64(expect, -1, "version that a change replaces; -1 stands for the version in the file");
DEFINE_string(change_id, "", "id of a change that is sent again");
DEFINE_bool(json, false, "print JSON");
DECLARE_bool(help);
DECLARE_bool(version);

namespace
{

/// Long enough for an election of about 1.5 s within the default number of rounds.
constexpr std::chrono::milliseconds RoundDelay { 500 };

std::vector<std::string> splitAtCommas(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string it; std::getline(stream, it, ',');) {
        if (!it.empty()) {
            parts.push_back(it);
        }
    }
    return parts;
}

Galenabarrow::Ctl::Invocation readFlags(int argc, char **argv)
{
    Galenabarrow::Ctl::Invocation invocation;
    invocation.words.assign(argv + 1, argv + argc);
    invocation.client.addresses = splitAtCommas(FLAGS_addresses);
    invocation.client.timeout = std::chrono::seconds(FLAGS_timeout_s);
    invocation.client.rounds = FLAGS_rounds;
    invocation.client.waitBetweenRounds = [] { std::this_thread::sleep_for(RoundDelay); };
    invocation.tokenFile = FLAGS_token_file;
    if (FLAGS_expect >= 0) {
        invocation.expectedVersion = static_cast<std::uint64_t>(FLAGS_expect);
    }
    invocation.changeId = FLAGS_change_id;
    invocation.wantsJson = FLAGS_json;
    return invocation;
}

bool isInRange(const char *, std::uint32_t value)
{
    constexpr std::uint32_t Max = 600;
    return value >= 1 && value <= Max;
}

}

DEFINE_validator(timeout_s, &isInRange);
DEFINE_validator(rounds, &isInRange);

int main(int argc, char **argv)
{
    gflags::SetVersionString("0.1.0");
    // Handles --help and --version here, because the help of gflags lists the flags by source file and exits with 1.
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    if (FLAGS_help) {
        std::cout << Galenabarrow::Ctl::helpText();
        return 0;
    }
    if (FLAGS_version) {
        std::cout << "galenabarrowctl " << gflags::VersionString() << '\n';
        return 0;
    }
    return Galenabarrow::Ctl::run(readFlags(argc, argv), std::cout, std::cerr);
}
