#pragma once

#include <cstdint>
#include <vector>

#include "base/clock.h"

namespace Galenabarrow::Bench
{

/// Results of one run over the calls of its window.
struct Measurement {
    /// Latencies of calls that were answered without an error.
    std::vector<Duration> latencies;
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;
    /// Server time spent on attempts, and the part of it spent on attempts whose answer was not used; whole run.
    Duration work {};
    Duration lostWork {};
    std::uint64_t refusals = 0;
    std::uint64_t reports = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    /// Number of wait reports between entries, counted once per receiver.
    std::uint64_t messages = 0;
    /// Number of calls, and of attempts that were not refused, per service; used only in a chain.
    std::vector<std::uint64_t> callsAt;
    std::vector<std::uint64_t> attemptsAt;

    /// The latency in milliseconds that the given \p fraction of the answered calls does not exceed.
    double quantile(double fraction);
};

}
