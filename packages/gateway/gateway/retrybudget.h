#pragma once

#include "base/clock.h"

namespace Galenabarrow::Gateway
{

/// Limits of retries, over all entries together.
struct RetryBudgetSettings {
    /// Retries for each request, over a window.
    double ratio = 0.2;
    /// Retries in a window in addition to the ratio.
    double floor = 10;
    Duration window = std::chrono::seconds(10);
    /// Share of the budget that is used; the rest allows for differences between the clocks and windows of entries and servers.
    double share = 0.8;
};

/// This entry's part of a service's retry budget: a token bucket to which each request of this entry adds the ratio, and time
/// adds an equal part of the floor. In any window, all entries together stay within the budget.
class RetryBudget
{
public:
    RetryBudget(RetryBudgetSettings settings, Instant now);

    void recordRequest();
    /// Withdraws a token for one retry; false when there is none. \p entryCount entries share the floor.
    bool tryWithdraw(unsigned entryCount, Instant now);
    double tokens() const;

private:
    void refill(unsigned entryCount, Instant now);

    RetryBudgetSettings m_settings;
    /// Tokens added by requests; at most MaxRequestTokens.
    double m_requestTokens = 0;
    /// Tokens added by time; at most half of this entry's part of the floor, but at least one.
    double m_timeTokens = 0;
    Instant m_refilledAt;
};

}
