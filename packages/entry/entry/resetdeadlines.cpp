#include "entry/resetdeadlines.h"

#include <algorithm>

namespace Galenabarrow::Entry
{

namespace
{
/// Upper limit of a reset delay, so that a server that states an implausible time is not blocked for longer.
constexpr Duration MaxResetDelay = std::chrono::hours(1);
}

std::optional<Instant> ResetDeadlines::resolve(std::optional<Instant> absolute, std::optional<Duration> relative, Instant now)
{
    if (absolute && *absolute > now) {
        return absolute;
    }
    if (relative && *relative > Duration::zero()) {
        return now + std::min(*relative, MaxResetDelay);
    }
    return std::nullopt;
}

void ResetDeadlines::block(const ServerId &server, Instant resetAt, Instant now)
{
    if (resetAt <= now) {
        return;
    }
    Instant &deadline = m_deadlines[server];
    deadline = std::max(deadline, std::min(resetAt, now + MaxResetDelay));
}

Instant ResetDeadlines::blockedUntil(const ServerId &server) const
{
    const auto it = m_deadlines.find(server);
    return it == m_deadlines.end() ? Instant::min() : it->second;
}

void ResetDeadlines::prune(Instant now)
{
    std::erase_if(m_deadlines, [now](const auto &it) { return it.second <= now; });
}

}
