#pragma once

#include <cstdint>
#include <string>

#include "bench/scenario.h"

namespace Galenabarrow::Bench
{

/// A measurement of what one customer in excess does to the others.
struct FairnessPlan {
    Scenario scenario;
    std::uint32_t customers = 5;
    /// The contract's rate in percent of what a customer usually offers.
    std::uint32_t contractPercent = 120;
    /// Calls at once and calls in flight of the contract, as the calls of this time at its rate.
    Duration contractSpan = 1s;
};

/// Runs the same calls three times, with the customer at its usual rate, at its contract's rate, and at ten times that, and
/// returns one row per run for a Markdown table. The extra calls fill the counted window.
std::string measureFairness(const FairnessPlan &plan);
/// The head of the table.
std::string fairnessHeader();

}
