#include <csignal>
#include <iostream>

#include <Poco/StringTokenizer.h>
#include <gflags/gflags.h>

#include "teststand/loadgenerator.h"

DEFINE_string(entries, "", "addresses of entries to ask for addresses, separated by commas");
DEFINE_string(direct, "", "addresses of servers to call directly instead");
DEFINE_string(dc, "dc", "data centre of the callers");
DEFINE_string(customer, "customer", "customer of the calls");
DEFINE_string(services, "service", "services to call, separated by commas");
DEFINE_uint32(threads, 4, "callers");
DEFINE_uint32(rate, 0, "calls per second over all callers; 0 for as fast as they return");
DEFINE_uint64(calls, 1000, "calls in all");
DEFINE_uint64(seconds, 60, "longest time of the run");
DEFINE_uint32(deadline_ms, 1000, "deadline of each call");
DEFINE_uint32(action_permille, 0, "share of actions, per 1,000");
DEFINE_uint32(body_bytes, 200, "size of the bodies of responses");
DEFINE_string(lookup_path, "/stock", "path of lookups; the contract has to name it as idempotent");
DEFINE_uint64(seed, 1, "seed of the random numbers");
DEFINE_string(behaviours, "", "behaviours of the stand-in server to ask for in turn");
DEFINE_uint32(behaviour_every, 10, "one call in this many asks for a behaviour");
DEFINE_string(actions_file, "", "file for the outcome of each action");

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
        std::cerr << "needs loopback addresses of entries or servers\n";
        return 2;
    }
    if (config.services.empty() || config.threads == 0 || config.calls > 10'000'000 || config.seconds > 3600) {
        std::cerr << "needs a service, a caller, at most 10,000,000 calls and at most 3,600 s\n";
        return 2;
    }
    std::cout << Galenabarrow::Teststand::runLoad(config).toJson() << std::endl;
    return 0;
}
