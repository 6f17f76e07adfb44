#pragma once

#include <cstdint>
#include <vector>

#include "base/clock.h"

namespace Galenabarrow::Bench
{

/// What one run measured over the calls of its window.
struct Measurement {
    /// Of calls that were answered without an error.
    std::vector<Duration> latencies;
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;
    /// Server time of attempts, and the part of it whose answer nobody got; whole run.
    Duration work {};
    Duration lostWork {};
    std::uint64_t refusals = 0;
    std::uint64_t reports = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    /// Wait reports between entries, one for each receiver.
    std::uint64_t messages = 0;
    /// Only in a chain: calls and attempts that were not refused, per service.
    std::vector<std::uint64_t> callsAt;
    std::vector<std::uint64_t> attemptsAt;

    /// The latency in milliseconds that \p fraction of the answered calls stay within.
    double quantile(double fraction);
};

}
