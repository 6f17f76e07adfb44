#pragma once

#include <map>
#include <set>
#include <vector>

#include "base/clock.h"
#include "coordination/feed.h"

namespace Galenabarrow::Coordination
{

/// Decides when a core instance reports to the other ones, and builds the reports. Has no sockets.
///
/// Reports cross data centres, where bandwidth is expensive. A regular report, one in each Interval, therefore contains only the
/// names of the entries. It describes all of them when a peer has restarted, and every FullInterval in case a report was lost. An
/// urgent report between two regular ones contains nothing but the entries that have changed.
class CoreReporter
{
public:
    /// Time between two reports, unless an entry changes.
    static constexpr Duration Interval = std::chrono::milliseconds(1000);
    /// Time between two full reports, which describe all entries. A report may be lost while a connection is replaced.
    static constexpr Duration FullInterval = std::chrono::seconds(5);

    /// An entry that receives its updates from this instance.
    struct FedEntry {
        EntryInfo info;
        Instant lastContactAt {};
    };

    /// Records that an entry was added or has changed; the next report is due at once and describes it.
    void recordEntryChange(const InstanceId &entry);
    /// Records that an entry is lost; the next report is due at once and describes the entry as not ready.
    void recordEntryLost(EntryInfo entry);
    /// Records the incarnation of another core instance. After a restart it knows no entries, so the next report is full.
    void updatePeer(const InstanceId &peer, Incarnation incarnation);
    /// Records the members of the core. When they change, a regular report is due at once: new members know neither the entries nor the
    /// data centres of the others.
    void updateMembers(const std::set<InstanceId> &members);
    /// Records that an entry has reported a limit that is new; the next report is due at once and contains it.
    void recordLimitChange(const ServerId &server);
    /// Records that an entry has reported something new of requests and crashes; the next report is due at once and contains it.
    void recordCrash();
    /// Records that a server announced itself to this instance.
    void recordAnnouncement(const ServerId &server);
    bool isDue(Instant now) const;
    /// Builds the report to send now, and clears what was recorded for it. Entries that have been silent for longer than
    /// EntryDirectory::Lifetime are left out.
    /// \p limits and \p crashes: all that this instance knows.
    CoreReport takeReport(const CoreInstance &self, const std::vector<FedEntry> &entries, const std::vector<ServerLimit> &limits,
                          const CrashLedger &crashes, Instant now);

private:
    std::set<ServerId> m_announcedServers;
    std::set<InstanceId> m_changedEntries;
    std::vector<EntryInfo> m_lostEntries;
    std::set<ServerId> m_changedLimits;
    bool m_hasNewCrashes = false;
    /// The facts of the ledger up to this revision have been reported.
    std::uint64_t m_reportedCrashes = 0;
    std::map<InstanceId, Incarnation> m_peers;
    std::set<InstanceId> m_members;
    bool m_isRegularReportDue = false;
    bool m_isFullReportDue = true;
    Instant m_lastRegularReportAt {};
    Instant m_lastFullReportAt {};
};

}
