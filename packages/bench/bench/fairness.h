#pragma once

#include <cstdint>
#include <string>

#include "bench/scenario.h"

namespace Galenabarrow::Bench
{

/// A measurement of how one customer that exceeds its contract affects the others.
struct FairnessPlan {
    Scenario scenario;
    std::uint32_t customers = 5;
    /// The contract's rate in percent of the usual offered load of a customer.
    std::uint32_t contractPercent = 120;
    /// The contract's burst and concurrency are the number of calls in this time at the contract's rate.
    Duration contractSpan = 1s;
};

/// Runs the same calls three times, with the customer at its usual rate, at its contract's rate, and at ten times that, and
/// returns one row of a Markdown table per run. The additional calls arrive throughout the counted window.
std::string measureFairness(const FairnessPlan &plan);
/// The header of the Markdown table.
std::string fairnessHeader();

}
