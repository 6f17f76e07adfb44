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

/// What a load generator does. Every run is bounded by calls and seconds.
struct LoadConfig {
    /// Entries that are asked for addresses.
    std::vector<std::string> entries;
    /// Servers that are called directly instead, for comparison.
    std::vector<std::string> direct;
    std::string dataCentre;
    std::string customer;
    std::vector<std::string> services;
    /// The path of lookups, below the service.
    std::string lookupPath = "/stock";
    std::uint32_t threads = 4;
    /// Calls per second over all threads; 0 sends the next call when the last one has ended.
    std::uint32_t ratePerSecond = 0;
    std::uint64_t calls = 1000;
    std::uint64_t seconds = 60;
    std::uint32_t deadlineMs = 1000;
    /// Share of calls that are actions, per 1,000.
    std::uint32_t actionPermille = 0;
    /// Size of the bodies of responses.
    std::uint32_t bodyBytes = 200;
    std::uint64_t seed = 1;
    /// Behaviours that are asked for in turn, each for one call in behaviourEvery.
    std::vector<std::string> behaviours;
    std::uint32_t behaviourEvery = 10;
    /// File for the outcome of each action, as lines "key outcome".
    std::string actionsFile;
};

/// What came of a run.
struct LoadReport {
    std::uint64_t calls = 0;
    double seconds = 0;
    /// By outcome; "lost" for calls whose entry did not answer.
    std::map<std::string, std::uint64_t> outcomes;
    std::map<std::string, std::uint64_t> actionOutcomes;
    /// By Galenabarrow-Code.
    std::map<std::string, std::uint64_t> codes;
    /// Answered responses that were not the whole response to their own call.
    std::uint64_t wrongBodies = 0;
    std::uint64_t lookups = 0;
    /// Answered calls only.
    std::vector<std::uint32_t> latenciesUs;
    std::vector<std::string> actionLines;

    void add(const LoadReport &other);
    std::string toJson();
};

/// Runs the load with its own threads and blocks until it has ended.
LoadReport runLoad(const LoadConfig &config);

}
