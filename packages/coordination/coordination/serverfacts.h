#pragma once

#include <map>
#include <vector>

#include "base/log.h"
#include "coordination/crashledger.h"
#include "coordination/limitdivider.h"

namespace Galenabarrow::Coordination
{

/// What entries have learnt from servers and a core instance passes on to the other instances and to all entries: the limits that servers
/// state, and the requests that were running when servers crashed. It is not replicated; entries repeat it to an instance that has
/// started again.
class ServerFacts
{
public:
    /// What one entry has received from this instance.
    struct Receiver {
        std::map<ServerId, LimitShare> limits;
        /// The revision of the division that \c limits is from.
        std::uint64_t limitRevision = 0;
        /// The facts about crashes up to this revision have been sent.
        std::uint64_t crashRevision = 0;
    };

    ServerFacts();

    /// Records reported limits; returns the servers with a new one.
    std::vector<ServerId> record(const std::vector<ServerLimit> &limits, Instant now);
    /// Records reported facts about crashes; true when one of them is new.
    bool record(const std::vector<CrashFact> &facts, Instant now);
    /// Divides the limits among the entries that are ready, see LimitDivider::divide().
    bool divideLimits(std::vector<EntryInfo> entries, const LimitDivider::Servers &servers, Instant now);
    /// Whether limits should be divided again because entries may have come or gone.
    bool isDivisionDue(Instant now) const;
    /// Limits and shares that \p entry does not know yet from this instance; it counts as having received them.
    std::vector<LimitShare> takeLimitChanges(const InstanceId &entry, Receiver &receiver, Instant now) const;

    const LimitDivider &limits() const;
    const CrashLedger &crashes() const;

private:
    Log m_log;
    CrashLedger m_crashes;
    LimitDivider m_limits;
    /// Counts the divisions that changed a limit or a share.
    std::uint64_t m_limitRevision = 0;
    Instant m_dividedAt {};
};

}
