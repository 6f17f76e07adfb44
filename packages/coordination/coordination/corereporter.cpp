#include "coordination/corereporter.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Galenabarrow::Coordination
{

void CoreReporter::recordEntryChange(const InstanceId &entry)
{
    m_changedEntries.insert(entry);
}

void CoreReporter::recordEntryLost(EntryInfo entry)
{
    entry.isReady = false;
    m_changedEntries.erase(entry.name);
    m_lostEntries.push_back(std::move(entry));
}

void CoreReporter::updatePeer(const InstanceId &peer, Incarnation incarnation)
{
    const auto [it, isNew] = m_peers.try_emplace(peer, incarnation);
    if (isNew || it->second != incarnation) {
        it->second = incarnation;
        m_isFullReportDue = true;
    }
}

void CoreReporter::updateMembers(const std::set<InstanceId> &members)
{
    if (members != m_members) {
        m_members = members;
        m_isRegularReportDue = true;
        m_isFullReportDue = true;
    }
}

void CoreReporter::recordLimitChange(const ServerId &server)
{
    m_changedLimits.insert(server);
}

void CoreReporter::recordCrash()
{
    m_hasNewCrashes = true;
}

void CoreReporter::recordAnnouncement(const ServerId &server)
{
    m_announcedServers.insert(server);
}

bool CoreReporter::isDue(Instant now) const
{
    return !m_changedEntries.empty() || !m_lostEntries.empty() || !m_changedLimits.empty() || m_hasNewCrashes || m_isRegularReportDue
        || now - m_lastRegularReportAt >= Interval;
}

CoreReport CoreReporter::takeReport(const CoreInstance &self, const std::vector<FedEntry> &entries, const std::vector<ServerLimit> &limits,
                                    const CrashLedger &crashes, Instant now)
{
    const bool isRegular = m_isRegularReportDue || now - m_lastRegularReportAt >= Interval;
    const bool isFull = isRegular && (m_isFullReportDue || now - m_lastFullReportAt >= FullInterval);
    CoreReport report;
    report.core = self;
    if (isRegular) {
        const std::set<ServerId> servers = std::exchange(m_announcedServers, {});
        report.heard.assign(servers.begin(), servers.end());
        m_lastRegularReportAt = now;
        m_isRegularReportDue = false;
    }
    if (isFull) {
        m_isFullReportDue = false;
        m_lastFullReportAt = now;
    }
    const std::set<InstanceId> changed = std::exchange(m_changedEntries, {});
    for (const FedEntry &it : entries) {
        const Duration age = now - it.lastContactAt;
        if (age > EntryDirectory::Lifetime) {
            continue;
        }
        if (isFull || changed.contains(it.info.name)) {
            report.entries.push_back(CoreReport::Entry { it.info, age, false });
        } else if (isRegular) {
            report.alive.push_back(CoreReport::Alive { it.info.name, age });
        }
    }
    m_hasNewCrashes = false;
    report.crashes = crashes.factsAfter(isFull ? 0 : m_reportedCrashes, now);
    m_reportedCrashes = crashes.revision();
    const std::set<ServerId> changedLimits = std::exchange(m_changedLimits, {});
    std::copy_if(limits.begin(), limits.end(), std::back_inserter(report.limits),
                 [&](const ServerLimit &it) { return isFull || changedLimits.contains(it.server); });
    for (EntryInfo &it : std::exchange(m_lostEntries, {})) {
        report.entries.push_back(CoreReport::Entry { std::move(it), {}, true });
    }
    return report;
}

}
