#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Galenabarrow::Teststand
{

/// Configuration of a load generator. A run ends after the given number of calls or the given time, whichever comes first.
struct LoadConfig {
    /// Addresses of entries that are queried for the addresses to call.
    std::vector<std::string> entries;
    /// Addresses of servers that are called directly, without entries, for comparison.
    std::vector<std::string> direct;
    std::string dataCentre;
    std::string customer;
    std::vector<std::string> services;
    /// Path of lookups, relative to the service.
    std::string lookupPath = "/stock";
    std::uint32_t threads = 4;
    /// Calls per second over all threads; 0: each thread sends its next call when the last one has ended.
    std::uint32_t ratePerSecond = 0;
    std::uint64_t calls = 1000;
    std::uint64_t seconds = 60;
    std::uint32_t deadlineMs = 1000;
    /// Number of actions per 1,000 calls.
    std::uint32_t actionPermille = 0;
    /// Size of the response bodies in bytes.
    std::uint32_t bodyBytes = 200;
    std::uint64_t seed = 1;
    /// Behaviours that are requested in turn, one every behaviourEvery calls.
    std::vector<std::string> behaviours;
    std::uint32_t behaviourEvery = 10;
    /// Output file with a line "key outcome" for each action; empty for none.
    std::string actionsFile;
};

/// Result of a run.
struct LoadReport {
    std::uint64_t calls = 0;
    double seconds = 0;
    /// Number of calls by outcome; "lost" counts calls without a response.
    std::map<std::string, std::uint64_t> outcomes;
    std::map<std::string, std::uint64_t> actionOutcomes;
    /// Number of calls by Galenabarrow-Code.
    std::map<std::string, std::uint64_t> codes;
    /// Answered calls whose response body was incomplete or belonged to another call.
    std::uint64_t wrongBodies = 0;
    std::uint64_t lookups = 0;
    /// Latencies of answered calls.
    std::vector<std::uint32_t> latenciesUs;
    std::vector<std::string> actionLines;

    void add(const LoadReport &other);
    std::string toJson();
};

/// Generates the load on threads of its own and blocks until the run has ended.
LoadReport runLoad(const LoadConfig &config);

}
