#include "measuring/measuringbudget.h"

#include <algorithm>
#include <cassert>
#include <numeric>

namespace Galenabarrow::Measuring
{

namespace
{

constexpr double Permille = 1000;

double micros(Duration time)
{
    return static_cast<double>(time.count());
}

std::size_t indexOf(MeasurementKind kind)
{
    return static_cast<std::size_t>(kind);
}

}

MeasuringBudget::MeasuringBudget(const BudgetSettings &settings, Instant now)
    : m_settings(settings)
    , m_refilledAt(now)
{
    assert(std::accumulate(settings.sharesPermille.begin(), settings.sharesPermille.end(), 0U) <= Permille);
}

void MeasuringBudget::setShare(std::uint32_t slots, std::uint32_t entries, Instant now)
{
    refill(now);
    const double share = entries == 0 ? 0 : slots * m_settings.budgetPermille / Permille / entries;
    if (share == m_share) {
        return;
    }
    m_previousShares.push_back({ m_share, now });
    m_share = share;
    refill(now);
}

bool MeasuringBudget::reserve(MeasurementKind kind, Duration cost, Instant now)
{
    refill(now);
    double &credit = m_credit[indexOf(kind)];
    if (cost > m_settings.maxCost[indexOf(kind)] || credit < micros(cost)) {
        return false;
    }
    credit -= micros(cost);
    m_spent[indexOf(kind)] += cost;
    return true;
}

void MeasuringBudget::settle(MeasurementKind kind, Duration reserved, Duration actual, Instant now)
{
    refill(now);
    const Duration unspent = reserved - actual;
    m_credit[indexOf(kind)] += micros(unspent);
    m_spent[indexOf(kind)] -= unspent;
    m_overruns += unspent < Duration::zero() ? 1 : 0;
    refill(now);
}

double MeasuringBudget::rate(MeasurementKind kind, Instant now) const
{
    return std::max(0.0, effectiveShare(now) * kindShare(kind) - creditLimit(kind) / micros(m_settings.window));
}

Duration MeasuringBudget::spent() const
{
    return std::accumulate(m_spent.begin(), m_spent.end(), Duration::zero());
}

Duration MeasuringBudget::spent(MeasurementKind kind) const
{
    return m_spent[indexOf(kind)];
}

std::uint64_t MeasuringBudget::overruns() const
{
    return m_overruns;
}

double MeasuringBudget::effectiveShare(Instant now) const
{
    double share = m_share;
    for (const PreviousShare &it : m_previousShares) {
        if (now - it.replacedAt < m_settings.riseDelay) {
            share = std::min(share, it.share);
        }
    }
    return share;
}

double MeasuringBudget::kindShare(MeasurementKind kind) const
{
    return m_settings.sharesPermille[indexOf(kind)] / Permille;
}

// The maximum credit. It can be spent at once in addition to the refill of a window, so rate() is reduced by it.
double MeasuringBudget::creditLimit(MeasurementKind kind) const
{
    return m_settings.sharesPermille[indexOf(kind)] == 0 ? 0 : micros(m_settings.maxCost[indexOf(kind)]);
}

void MeasuringBudget::refill(Instant now)
{
    const double elapsed = micros(now - m_refilledAt);
    for (std::size_t n = 0; n < MeasurementKindCount; ++n) {
        const auto kind = static_cast<MeasurementKind>(n);
        // Uses the rate at the start of the elapsed time: an increase of the share in between must not apply to the time before it.
        const double credit = m_credit[n] + rate(kind, m_refilledAt) * elapsed;
        m_credit[n] = std::min(credit, creditLimit(kind));
    }
    m_refilledAt = now;
    std::erase_if(m_previousShares, [&](const PreviousShare &it) { return now - it.replacedAt >= m_settings.riseDelay; });
}

}
