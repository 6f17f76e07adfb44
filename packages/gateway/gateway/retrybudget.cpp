#include "gateway/retrybudget.h"

#include <algorithm>

namespace Galenabarrow::Gateway
{

namespace
{

/// Part of the floor that may be used at once; the other part comes evenly over the window, so that any window holds at
/// most the whole floor.
constexpr double SavedPart = 0.5;
/// Attempts that requests earn and that may be saved up.
constexpr double MaxByRequests = 4;

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

void RetryBudget::noteRequest()
{
    m_byRequests = std::min(m_byRequests + m_settings.ratio * m_settings.share, MaxByRequests);
}

bool RetryBudget::take(unsigned entryCount, Instant now)
{
    refill(entryCount, now);
    for (double *tokens : { &m_byRequests, &m_byTime }) {
        if (*tokens >= 1) {
            *tokens -= 1;
            return true;
        }
    }
    return false;
}

double RetryBudget::tokens() const
{
    return m_byRequests + m_byTime;
}

void RetryBudget::refill(unsigned entryCount, Instant now)
{
    const double part = m_settings.floor * m_settings.share / std::max(1U, entryCount);
    const double rate = part * (1 - SavedPart) / seconds(m_settings.window);
    m_byTime = std::min(m_byTime + rate * seconds(now - m_refilledAt), std::max(1.0, part * SavedPart));
    m_refilledAt = now;
}

}
