#include "limits/tokenbucket.h"

#include <algorithm>

namespace Galenabarrow::Limits
{

namespace
{
constexpr std::uint64_t UnitsPerCall = 1'000'000'000;
}

TokenBucket::TokenBucket(Instant now)
    : m_refilledAt(now)
{
}

void TokenBucket::refill(MilliRate rate, std::uint32_t burst, Instant now)
{
    const std::uint64_t capacity = std::uint64_t { burst } * UnitsPerCall;
    if (now > m_refilledAt) {
        const auto elapsed = static_cast<std::uint64_t>((now - m_refilledAt).count());
        // Time beyond what fills the bucket has no effect. Limiting it also prevents an overflow of the product.
        const std::uint64_t fillTime = rate == 0 ? 0 : capacity / rate + 1;
        m_level += std::min(elapsed, fillTime) * rate;
        m_refilledAt = now;
    }
    m_level = std::min(m_level, capacity);
}

bool TokenBucket::tryConsume()
{
    if (m_level < UnitsPerCall) {
        return false;
    }
    m_level -= UnitsPerCall;
    return true;
}

std::uint32_t TokenBucket::consumeUpTo(std::uint32_t calls)
{
    const std::uint32_t consumed = std::min(calls, level());
    m_level -= consumed * UnitsPerCall;
    return consumed;
}

void TokenBucket::add(std::uint32_t calls)
{
    m_level += calls * UnitsPerCall;
}

std::uint32_t TokenBucket::level() const
{
    return static_cast<std::uint32_t>(m_level / UnitsPerCall);
}

Instant TokenBucket::refilledAt() const
{
    return m_refilledAt;
}

}
