#include "gateway/retrybudget.h"

#include <algorithm>

namespace Galenabarrow::Gateway
{

namespace
{

/// Share of the floor that may be spent in a burst. The rest is added evenly over the window, so that at most the whole floor
/// is spent in any window.
constexpr double BurstShare = 0.5;
/// Capacity for the tokens that requests add.
constexpr double MaxRequestTokens = 4;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

}

RetryBudget::RetryBudget(RetryBudgetSettings settings, Instant now)
    : m_settings(settings)
    , m_refilledAt(now)
{
}

void RetryBudget::recordRequest()
{
    m_requestTokens = std::min(m_requestTokens + m_settings.ratio * m_settings.share, MaxRequestTokens);
}

bool RetryBudget::tryWithdraw(unsigned entryCount, Instant now)
{
    refill(entryCount, now);
    for (double *tokens : { &m_requestTokens, &m_timeTokens }) {
        if (*tokens >= 1) {
            *tokens -= 1;
            return true;
        }
    }
    return false;
}

double RetryBudget::tokens() const
{
    return m_requestTokens + m_timeTokens;
}

void RetryBudget::refill(unsigned entryCount, Instant now)
{
    const double entryFloor = m_settings.floor * m_settings.share / std::max(1U, entryCount);
    const double rate = entryFloor * (1 - BurstShare) / seconds(m_settings.window);
    m_timeTokens = std::min(m_timeTokens + rate * seconds(now - m_refilledAt), std::max(1.0, entryFloor * BurstShare));
    m_refilledAt = now;
}

}
