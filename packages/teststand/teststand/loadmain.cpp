#include <csignal>
#include <iostream>

#include <Poco/StringTokenizer.h>
#include <gflags/gflags.h>

#include "teststand/loadgenerator.h"

DEFINE_string(entries, "", "addresses of entries that are queried for the addresses to call, separated by commas");
DEFINE_string(direct, "", "addresses of servers that are called directly, without entries, separated by commas");
DEFINE_string(dc, "dc", "data centre of the callers");
DEFINE_string(customer, "customer", "customer that the calls are made for");
DEFINE_string(services, "service", "services to call, separated by commas");
DEFINE_uint32(threads, 4, "number of callers");
DEFINE_uint32(rate, 0, "calls per second over all callers; 0: each caller sends its next call when the last one has ended");
DEFINE_uint64(calls, 1000, "number of calls");
DEFINE_uint64(seconds, 60, "maximum time of the run in seconds");
DEFINE_uint32(deadline_ms, 1000, "deadline of each call in ms");
DEFINE_uint32(action_permille, 0, "number of actions per 1,000 calls");
DEFINE_uint32(body_bytes, 200, "size of the response bodies in bytes");
DEFINE_string(lookup_path, "/stock", "path of lookups; the contract has to list it as idempotent");
DEFINE_uint64(seed, 1, "seed of the random number generators");
DEFINE_string(behaviours, "", "behaviours that are requested from the stand-in server in turn, separated by commas");
DEFINE_uint32(behaviour_every, 10, "one call in this many requests a behaviour");
DEFINE_string(actions_file, "", "output file for the outcome of each action");

namespace
{

std::vector<std::string> split(const std::string &text)
{
    const Poco::StringTokenizer tokens(text, ",", Poco::StringTokenizer::TOK_IGNORE_EMPTY);
    return { tokens.begin(), tokens.end() };
}

bool isLoopback(const std::vector<std::string> &addresses)
{
    for (const std::string &it : addresses) {
        if (it.rfind("127.0.0.1:", 0) != 0) {
            return false;
        }
    }
    return true;
}

}

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    Galenabarrow::Teststand::LoadConfig config;
    config.entries = split(FLAGS_entries);
    config.direct = split(FLAGS_direct);
    config.dataCentre = FLAGS_dc;
    config.customer = FLAGS_customer;
    config.services = split(FLAGS_services);
    config.threads = FLAGS_threads;
    config.ratePerSecond = FLAGS_rate;
    config.calls = FLAGS_calls;
    config.seconds = FLAGS_seconds;
    config.deadlineMs = FLAGS_deadline_ms;
    config.actionPermille = FLAGS_action_permille;
    config.bodyBytes = FLAGS_body_bytes;
    config.lookupPath = FLAGS_lookup_path;
    config.seed = FLAGS_seed;
    config.behaviours = split(FLAGS_behaviours);
    config.behaviourEvery = std::max(1U, FLAGS_behaviour_every);
    config.actionsFile = FLAGS_actions_file;
    if (!isLoopback(config.entries) || !isLoopback(config.direct) || (config.entries.empty() && config.direct.empty())) {
        std::cerr << "--entries or --direct is required, with loopback addresses only\n";
        return 2;
    }
    if (config.services.empty() || config.threads == 0 || config.calls > 10'000'000 || config.seconds > 3600) {
        std::cerr << "requires at least one service and one caller, at most 10,000,000 calls and at most 3,600 s\n";
        return 2;
    }
    std::cout << Galenabarrow::Teststand::runLoad(config).toJson() << std::endl;
    return 0;
}
