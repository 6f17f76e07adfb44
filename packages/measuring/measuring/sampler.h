#pragma once

#include <cstdint>

#include "base/clock.h"
#include "base/random.h"
#include "measuring/measuringbudget.h"

namespace Galenabarrow::Measuring
{

/// Decides which calls are sampled. The share of sampled calls falls as the call rate rises, so that samples are spread over
/// time instead of using up the budget at the start of each burst.
class Sampler
{
public:
    /// \p costPerSample is the server time of one sample. \p budget and \p random must outlive the sampler.
    Sampler(MeasuringBudget &budget, Duration costPerSample, RandomSource &random, Instant now);

    /// Counts a call. Returns true when it is to be sampled; the cost of the sample is then reserved.
    bool sample(Instant now);
    /// The current share of calls that are sampled, 0 to 1.
    double probability(Instant now) const;

private:
    static constexpr Duration WindowLength = std::chrono::milliseconds(100);
    void advanceWindow(Instant now);

    MeasuringBudget &m_budget;
    Duration m_cost;
    RandomSource &m_random;
    Instant m_windowStart;
    std::uint64_t m_calls = 0;
    std::uint64_t m_previousCalls = 0;
};

}
