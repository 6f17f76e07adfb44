#include "limits/tokenbucket.h"

#include <algorithm>

namespace Galenabarrow::Limits
{

namespace
{
constexpr std::uint64_t OneCall = 1'000'000'000;
}

TokenBucket::TokenBucket(Instant now)
    : m_settledAt(now)
{
}

void TokenBucket::settle(MilliRate rate, std::uint32_t burst, Instant now)
{
    const std::uint64_t capacity = std::uint64_t { burst } * OneCall;
    if (now > m_settledAt) {
        const auto elapsed = static_cast<std::uint64_t>((now - m_settledAt).count());
        // After the time that fills the bucket, more time changes nothing; this also keeps the product in range.
        const std::uint64_t fillTime = rate == 0 ? 0 : capacity / rate + 1;
        m_level += std::min(elapsed, fillTime) * rate;
        m_settledAt = now;
    }
    m_level = std::min(m_level, capacity);
}

bool TokenBucket::take()
{
    if (m_level < OneCall) {
        return false;
    }
    m_level -= OneCall;
    return true;
}

std::uint32_t TokenBucket::takeUpTo(std::uint32_t calls)
{
    const std::uint32_t taken = std::min(calls, level());
    m_level -= taken * OneCall;
    return taken;
}

void TokenBucket::add(std::uint32_t calls)
{
    m_level += calls * OneCall;
}

std::uint32_t TokenBucket::level() const
{
    return static_cast<std::uint32_t>(m_level / OneCall);
}

Instant TokenBucket::settledAt() const
{
    return m_settledAt;
}

}
