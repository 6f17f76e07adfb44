#pragma once

#include "base/clock.h"

namespace Galenabarrow::Gateway
{

/// Limits of further attempts, over all entries together.
struct RetryBudgetSettings {
    /// Further attempts for each request, over a window.
    double ratio = 0.2;
    /// Further attempts in a window besides.
    double floor = 10;
    Duration window = std::chrono::seconds(10);
    /// Used part of the budget; the rest is for differences between the clocks and windows of entries and servers.
    double share = 0.8;
};

/// This entry's part of a service's budget for attempts beyond the first: a token bucket that its own requests fill by the
/// ratio, and time by an equal part of the floor. Over any window, all entries together stay below the budget.
class RetryBudget
{
public:
    RetryBudget(RetryBudgetSettings settings, Instant now);

    void recordRequest();
    /// Takes one attempt; false when the budget is spent. \p entryCount entries share the floor.
    bool tryWithdraw(unsigned entryCount, Instant now);
    double tokens() const;

private:
    void refill(unsigned entryCount, Instant now);

    RetryBudgetSettings m_settings;
    /// From requests; at most those of one window.
    double m_requestTokens = 0;
    /// From time; half of the window's part may be saved up.
    double m_timeTokens = 0;
    Instant m_refilledAt;
};

}
