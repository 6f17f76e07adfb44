#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>

#include <Poco/Exception.h>
#include <Poco/StringTokenizer.h>
#include <gflags/gflags.h>

#include "teststand/standinserver.h"

DEFINE_string(address, "127.0.0.1:0", "listening address; loopback only");
DEFINE_string(server, "server", "name that the server announces");
DEFINE_string(service, "service", "service that the server offers");
DEFINE_string(dc, "dc", "data centre of the server");
DEFINE_string(entries, "", "addresses of entries to announce to, separated by commas");
DEFINE_uint32(slots, 3, "maximum number of calls that run at the same time");
DEFINE_uint64(service_time_us, 2000, "mean service time of a call in microseconds");
DEFINE_uint64(probe_time_us, 0, "service time of a probe in microseconds");
DEFINE_string(distribution, "exponential", "distribution of the service times: fixed or exponential");
DEFINE_uint64(cold_start_ms, 0, "time after the start, in ms, in which calls take three times as long");
DEFINE_uint32(announce_interval_ms, 1000, "time between announcements in ms");
DEFINE_uint64(seed, 1, "seed of the random number generator");
DEFINE_string(counts_file, "", "output file for the counts of /standin/counts, written when the server exits");
DEFINE_uint32(lifetime_s, 600, "the server exits after this time in seconds");

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_address.rfind("127.0.0.1:", 0) != 0) {
        std::cerr << "only loopback addresses are allowed\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    Galenabarrow::Teststand::StandinConfig config;
    config.address = FLAGS_address;
    config.server = FLAGS_server;
    config.service = FLAGS_service;
    config.dataCentre = FLAGS_dc;
    config.slots = FLAGS_slots;
    config.serviceTimeUs = FLAGS_service_time_us;
    config.probeTimeUs = FLAGS_probe_time_us;
    config.distribution =
        FLAGS_distribution == "fixed" ? Galenabarrow::Teststand::ServiceTime::Fixed : Galenabarrow::Teststand::ServiceTime::Exponential;
    config.coldStartMs = FLAGS_cold_start_ms;
    config.seed = FLAGS_seed;
    config.announceIntervalMs = FLAGS_announce_interval_ms;
    const Poco::StringTokenizer entries(FLAGS_entries, ",", Poco::StringTokenizer::TOK_IGNORE_EMPTY);
    config.entries.assign(entries.begin(), entries.end());
    try {
        Galenabarrow::Teststand::StandinServer server(config);
        std::cout << "address=" << server.address() << std::endl;
        const timespec lifetime { static_cast<time_t>(FLAGS_lifetime_s), 0 };
        if (sigtimedwait(&signals, nullptr, &lifetime) == SIGTERM) {
            server.drain();
        }
        if (!FLAGS_counts_file.empty()) {
            std::ofstream(FLAGS_counts_file) << server.counts();
        }
    } catch (const Poco::Exception &ec) {
        std::cerr << ec.displayText() << "\n";
        return 1;
    }
    std::cout << "ended" << std::endl;
    return 0;
}
