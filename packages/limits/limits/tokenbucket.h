#pragma once

#include <cstdint>

#include "base/clock.h"
#include "limits/shares.h"

namespace Galenabarrow::Limits
{

/// A token bucket in whole numbers, so that no rounding adds calls. Starts empty.
class TokenBucket
{
public:
    TokenBucket() = default;
    explicit TokenBucket(Instant now);

    /// Adds the tokens of the time up to \p now at \p rate, then cuts to \p burst calls.
    void refill(MilliRate rate, std::uint32_t burst, Instant now);
    /// Takes the token of one call; false when there is none.
    bool tryConsume();
    /// Moves up to \p calls tokens out of the bucket; returns how many.
    std::uint32_t consumeUpTo(std::uint32_t calls);
    /// Adds tokens from another bucket; the next settle cuts them to the burst.
    void add(std::uint32_t calls);
    /// Whole calls that can be taken now.
    std::uint32_t level() const;
    Instant refilledAt() const;

private:
    /// In billionths of a call: one thousandth of a call per second adds one per microsecond.
    std::uint64_t m_level = 0;
    Instant m_refilledAt {};
};

}
