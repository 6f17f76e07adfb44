#pragma once

#include <map>
#include <set>
#include <vector>

#include "base/clock.h"
#include "coordination/feed.h"

namespace Galenabarrow::Coordination
{

/// Decides when a core instance reports to the others, and what. No sockets.
///
/// Reports cross data centres, where bytes are dear: an entry is described when it changes, to an instance that started
/// again, and now and then in case a report was lost; otherwise it is only named.
class CoreReporter
{
public:
    /// Time between two reports, unless an entry comes or goes.
    static constexpr Duration Interval = std::chrono::milliseconds(1000);
    /// Time between two reports that describe all entries: a report may be lost while a connection is replaced.
    static constexpr Duration FullInterval = std::chrono::seconds(5);

    /// An entry that this instance feeds.
    struct FedEntry {
        EntryInfo info;
        Instant lastContactAt {};
    };

    /// An entry came, went or changed.
    void recordEntryChange();
    /// An entry fell silent: the next report, due at once, tells that it is not ready.
    void recordEntryLost(EntryInfo entry);
    /// Another core instance was heard of. One that started again knows no entries.
    void updatePeer(const InstanceId &peer, Incarnation incarnation);
    /// A server announced itself here.
    void recordAnnouncement(const ServerId &server);
    bool isDue(Instant now) const;
    /// The report that is to be sent now; entries that are silent for too long are left out.
    CoreReport takeReport(const CoreInstance &self, const std::vector<FedEntry> &entries, Instant now);

private:
    std::set<ServerId> m_announcedServers;
    std::vector<EntryInfo> m_lostEntries;
    std::map<InstanceId, Incarnation> m_peers;
    bool m_hasEntryChange = false;
    bool m_isFullReportDue = true;
    Instant m_lastReportAt {};
    Instant m_lastFullReportAt {};
};

}
