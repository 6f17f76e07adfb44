#pragma once

#include <cstdint>

#include "base/clock.h"
#include "limits/shares.h"

namespace Galenabarrow::Limits
{

/// A token bucket with integer arithmetic, so that rounding cannot add calls. Starts empty.
class TokenBucket
{
public:
    TokenBucket() = default;
    explicit TokenBucket(Instant now);

    /// Adds the tokens for the time since the last refill at \p rate, then limits the level to \p burst calls.
    void refill(MilliRate rate, std::uint32_t burst, Instant now);
    /// Removes the token of one call; false when there is none.
    bool tryConsume();
    /// Removes the tokens of up to \p calls calls; returns how many were removed.
    std::uint32_t consumeUpTo(std::uint32_t calls);
    /// Adds tokens from another bucket. The level may exceed the burst until the next refill().
    void add(std::uint32_t calls);
    /// Number of whole calls for which there are tokens.
    std::uint32_t level() const;
    Instant refilledAt() const;

private:
    /// In billionths of a call, so that a rate of 1 thousandth of a call per second adds 1 per microsecond.
    std::uint64_t m_level = 0;
    Instant m_refilledAt {};
};

}
