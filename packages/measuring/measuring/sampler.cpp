#include "measuring/sampler.h"

#include <algorithm>

namespace Galenabarrow::Measuring
{

namespace
{

double micros(Duration time)
{
    return static_cast<double>(time.count());
}

}

Sampler::Sampler(MeasuringBudget &budget, Duration costPerSample, RandomSource &random, Instant now)
    : m_budget(budget)
    , m_cost(std::max(costPerSample, Duration(1)))
    , m_random(random)
    , m_windowStart(now)
{
}

bool Sampler::sample(Instant now)
{
    advanceWindow(now);
    ++m_calls;
    return m_random.unit() < probability(now) && m_budget.reserve(MeasurementKind::Sample, m_cost, now);
}

double Sampler::probability(Instant now) const
{
    // Uses the larger count of both windows, so that the first calls of a burst already lower the share.
    const auto calls = static_cast<double>(std::max({ m_calls, m_previousCalls, std::uint64_t { 1 } }));
    const double samples = m_budget.rate(MeasurementKind::Sample, now) * micros(WindowLength) / micros(m_cost);
    return std::min(1.0, samples / calls);
}

void Sampler::advanceWindow(Instant now)
{
    const Duration elapsed = now - m_windowStart;
    if (elapsed < WindowLength) {
        return;
    }
    m_previousCalls = elapsed < 2 * WindowLength ? m_calls : 0;
    m_calls = 0;
    m_windowStart = now;
}

}
