#include "coordination/corereporter.h"

#include <utility>

namespace Galenabarrow::Coordination
{

void CoreReporter::recordEntryChange()
{
    m_hasEntryChange = true;
}

void CoreReporter::recordEntryLost(EntryInfo entry)
{
    entry.isReady = false;
    m_lostEntries.push_back(std::move(entry));
    m_hasEntryChange = true;
}

void CoreReporter::updatePeer(const InstanceId &peer, Incarnation incarnation)
{
    const auto [it, isNew] = m_peers.try_emplace(peer, incarnation);
    if (isNew || it->second != incarnation) {
        it->second = incarnation;
        m_isFullReportDue = true;
    }
}

void CoreReporter::recordAnnouncement(const ServerId &server)
{
    m_announcedServers.insert(server);
}

bool CoreReporter::isDue(Instant now) const
{
    return m_hasEntryChange || now - m_lastReportAt >= Interval;
}

CoreReport CoreReporter::takeReport(const CoreInstance &self, const std::vector<FedEntry> &entries, Instant now)
{
    const bool isFull = m_hasEntryChange || m_isFullReportDue || now - m_lastFullReportAt >= FullInterval;
    m_hasEntryChange = false;
    m_isFullReportDue = false;
    m_lastReportAt = now;
    m_lastFullReportAt = isFull ? now : m_lastFullReportAt;
    CoreReport report;
    report.core = self;
    const std::set<ServerId> servers = std::exchange(m_announcedServers, {});
    report.heard.assign(servers.begin(), servers.end());
    for (const FedEntry &it : entries) {
        const Duration age = now - it.lastContactAt;
        if (age > EntryDirectory::Lifetime) {
            continue;
        }
        if (isFull) {
            report.entries.push_back(CoreReport::Entry { it.info, age });
        } else {
            report.alive.push_back(CoreReport::Alive { it.info.name, age });
        }
    }
    for (EntryInfo &it : std::exchange(m_lostEntries, {})) {
        report.entries.push_back(CoreReport::Entry { std::move(it), {} });
    }
    return report;
}

}
