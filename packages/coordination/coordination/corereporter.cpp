#include "coordination/corereporter.h"

#include <utility>

namespace Galenabarrow::Coordination
{

void CoreReporter::noteEntryChange()
{
    m_hasEntryChange = true;
}

void CoreReporter::noteEntryLost(EntryInfo entry)
{
    entry.isReady = false;
    m_lost.push_back(std::move(entry));
    m_hasEntryChange = true;
}

void CoreReporter::notePeer(const InstanceId &peer, Incarnation incarnation)
{
    const auto [it, isNew] = m_peers.try_emplace(peer, incarnation);
    if (isNew || it->second != incarnation) {
        it->second = incarnation;
        m_isFullDue = true;
    }
}

void CoreReporter::noteServer(const ServerId &server)
{
    m_heard.insert(server);
}

bool CoreReporter::isDue(Instant now) const
{
    return m_hasEntryChange || now - m_lastAt >= Interval;
}

CoreReport CoreReporter::take(const CoreInstance &self, const std::vector<FedEntry> &entries, Instant now)
{
    const bool isFull = m_hasEntryChange || m_isFullDue || now - m_lastFullAt >= FullInterval;
    m_hasEntryChange = false;
    m_isFullDue = false;
    m_lastAt = now;
    m_lastFullAt = isFull ? now : m_lastFullAt;
    CoreReport report;
    report.core = self;
    const std::set<ServerId> heard = std::exchange(m_heard, {});
    report.heard.assign(heard.begin(), heard.end());
    for (const FedEntry &it : entries) {
        const Duration age = now - it.heardAt;
        if (age > EntryDirectory::Lifetime) {
            continue;
        }
        if (isFull) {
            report.entries.push_back(CoreReport::Entry { it.info, age });
        } else {
            report.alive.push_back(CoreReport::Alive { it.info.name, age });
        }
    }
    for (EntryInfo &it : std::exchange(m_lost, {})) {
        report.entries.push_back(CoreReport::Entry { std::move(it), {} });
    }
    return report;
}

}
