#include "coordination/serverfacts.h"

#include <algorithm>
#include <utility>

namespace Galenabarrow::Coordination
{

namespace
{

/// While servers state limits, these are divided again at this interval if entries have come or gone.
constexpr Duration DivisionInterval = std::chrono::milliseconds(200);

bool isSame(const LimitShare &a, const LimitShare &b)
{
    return a.limit.born == b.limit.born && a.limit.perSecond == b.limit.perSecond && a.perSecond == b.perSecond;
}

}

ServerFacts::ServerFacts()
    : m_log("core")
{
}

std::vector<ServerId> ServerFacts::record(const std::vector<ServerLimit> &limits, Instant now)
{
    std::vector<ServerId> changed;
    for (const ServerLimit &it : limits) {
        if (m_limits.record(it, now)) {
            changed.push_back(it.server);
        }
    }
    return changed;
}

bool ServerFacts::record(const std::vector<CrashFact> &facts, Instant now)
{
    bool isAnyNew = false;
    for (const CrashFact &it : facts) {
        const bool wasHeld = m_crashes.holdTime(it.mark, now) > Duration {};
        const bool isNew = m_crashes.record(it, now);
        const bool isHeld = m_crashes.holdTime(it.mark, now) > Duration {};
        isAnyNew = isAnyNew || isNew;
        if (isHeld != wasHeld) {
            m_log.info(isHeld ? "request_held_back" : "request_cleared", { { "mark", describe(it.mark) } });
        }
    }
    return isAnyNew;
}

bool ServerFacts::isDivisionDue(Instant now) const
{
    return !m_limits.isEmpty() && now - m_dividedAt >= DivisionInterval;
}

bool ServerFacts::divideLimits(std::vector<EntryInfo> entries, const LimitDivider::Servers &servers, Instant now)
{
    m_dividedAt = now;
    std::erase_if(entries, [](const EntryInfo &it) { return !it.isReady; });
    if (!m_limits.divide(entries, servers, now)) {
        return false;
    }
    ++m_limitRevision;
    m_log.info("limits_divided",
               { { "limits", std::to_string(m_limits.size()) },
                 { "entries", std::to_string(entries.size()) },
                 { "revision", std::to_string(m_limitRevision) } });
    return true;
}

std::vector<LimitShare> ServerFacts::takeLimitChanges(const InstanceId &entry, Receiver &receiver, Instant now) const
{
    if (receiver.limitRevision == m_limitRevision) {
        return {};
    }
    receiver.limitRevision = m_limitRevision;
    std::map<ServerId, LimitShare> shares = m_limits.shares(entry, now);
    std::vector<LimitShare> changes;
    for (const auto &[server, share] : shares) {
        const auto known = receiver.limits.find(server);
        const bool isUnknown = known == receiver.limits.end();
        if (isUnknown ? share.limit.perSecond.has_value() : !isSame(known->second, share)) {
            changes.push_back(share);
        }
    }
    for (const auto &[server, share] : receiver.limits) {
        if (!shares.contains(server) && share.limit.perSecond) {
            changes.push_back(LimitShare { ServerLimit { server, share.limit.born, std::nullopt, {} }, 0 });
        }
    }
    receiver.limits = std::move(shares);
    return changes;
}

const LimitDivider &ServerFacts::limits() const
{
    return m_limits;
}

const CrashLedger &ServerFacts::crashes() const
{
    return m_crashes;
}

}
