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
    void settle(MilliRate rate, std::uint32_t burst, Instant now);
    /// Takes the token of one call; false when there is none.
    bool take();
    Instant settledAt() const;

private:
    /// In billionths of a call: one thousandth of a call per second adds one per microsecond.
    std::uint64_t m_level = 0;
    Instant m_settledAt {};
};

}
