#include "coordination/coldservers.h"

#include <algorithm>
#include <utility>

#include "coordination/holderchoice.h"

namespace Galenabarrow::Coordination
{

namespace
{

/// While servers are cold, their limits are divided again at this interval if entries have come or gone.
constexpr Duration DivisionInterval = std::chrono::milliseconds(200);
/// An announcement that is older than its cold time and this, by the clocks of two machines, is not taken for a new one.
constexpr std::chrono::milliseconds MaxClockDifference = std::chrono::seconds(30);

bool isOutdated(const Routing::BackendServer &server, std::chrono::milliseconds unixNow)
{
    const auto coldLeft = std::chrono::duration_cast<std::chrono::milliseconds>(server.coldLeft);
    return server.receivedAt != 0 && std::chrono::milliseconds(server.receivedAt) + coldLeft + MaxClockDifference < unixNow;
}

}

ColdServers::ColdServers()
    : m_log("core")
{
}

void ColdServers::observe(const Routing::RoutingState &state, std::chrono::milliseconds unixNow, Instant now)
{
    if (state.changedAt() == m_observedAt) {
        return;
    }
    m_observedAt = state.changedAt();
    std::map<ServiceId, const Routing::Service *> services;
    for (const Routing::Service &it : state.config().services) {
        services.emplace(it.name, &it);
    }
    m_hasLimits = std::any_of(services.begin(), services.end(), [](const auto &it) { return it.second->coldPerSecond > 0; });
    m_isPending = m_hasLimits;
    std::erase_if(m_rows, [&state](const auto &it) { return !state.servers().contains(it.first); });
    for (const auto &[id, server] : state.servers()) {
        const auto [it, isNew] = m_rows.try_emplace(id);
        Row &row = it->second;
        if (isNew || row.born != server.born || row.sequence != server.sequence) {
            row.learnedAt = now;
            row.coldLeft = isOutdated(server, unixNow) ? Duration {} : server.coldLeft;
            row.isDivided = row.isDivided && row.born == server.born;
        }
        row.born = server.born;
        row.sequence = server.sequence;
        row.dataCentre = server.dataCentre;
        row.isReady = server.state == Routing::ServerState::Ready;
        const auto service = services.find(server.service);
        const double perSecond = service == services.end() ? 0 : service->second->coldPerSecond;
        row.isDivided = row.isDivided && perSecond == row.perSecond;
        row.perSecond = perSecond;
        row.coldStart = service == services.end() ? Duration {} : service->second->coldStart;
    }
}

void ColdServers::startCold(const DataCentreId &dataCentre, Instant now)
{
    for (auto &[id, row] : m_rows) {
        if (row.dataCentre == dataCentre && row.isReady) {
            row.learnedAt = now;
            row.coldLeft = row.coldStart;
            m_isPending = m_hasLimits;
        }
    }
}

void ColdServers::divide(const std::vector<EntryInfo> &entries, Instant now)
{
    m_lastDivision = now;
    std::vector<EntryInfo> ready;
    std::copy_if(entries.begin(), entries.end(), std::back_inserter(ready), [](const EntryInfo &it) { return it.isReady; });
    if (ready.empty() || (!m_hasLimits && !m_wasAnyCold)) {
        return;
    }
    m_dividedAt = m_observedAt;
    m_isPending = false;
    const bool isSameEntries = ready == m_entries;
    bool isChanged = false;
    for (auto &[id, row] : m_rows) {
        if (!isCold(row, now)) {
            row.isDivided = false;
            continue;
        }
        if (row.isDivided && isSameEntries) {
            continue;
        }
        std::set<InstanceId> holders = chooseHolders(id, row.dataCentre, ready, holderCount(row.perSecond));
        const auto share = static_cast<float>(row.perSecond / static_cast<double>(holders.size()));
        isChanged = isChanged || !row.isDivided || holders != row.holders || share != row.share;
        row.isDivided = true;
        row.holders = std::move(holders);
        row.first = *chooseHolders(id, row.dataCentre, ready, 1).begin();
        row.share = share;
    }
    m_entries = std::move(ready);
    m_revision += isChanged ? 1 : 0;
    logChange(now);
}

void ColdServers::logChange(Instant now)
{
    const std::size_t count = size(now);
    if ((count > 0) == m_wasAnyCold) {
        return;
    }
    m_wasAnyCold = count > 0;
    if (m_wasAnyCold) {
        m_log.info("cold_limits_started", { { "servers", std::to_string(count) }, { "entries", std::to_string(m_entries.size()) } });
    } else {
        m_log.info("cold_limits_ended", {});
    }
}

bool ColdServers::isDivisionDue(Instant now) const
{
    return now - m_lastDivision >= DivisionInterval && (m_wasAnyCold || m_isPending);
}

std::size_t ColdServers::holderCount(double perSecond)
{
    // More than one holder for each request a second, so that a share is less than one. Beyond 14 requests a second fewer, as the first
    // requests of all buckets must stay within half of the limit and 8.
    const auto forShares = static_cast<std::size_t>(perSecond) + 1;
    const auto forBuckets = static_cast<std::size_t>(perSecond / 2 + 8);
    return std::min(forShares, forBuckets);
}

bool ColdServers::isCold(const Row &row, Instant now)
{
    return row.isReady && row.perSecond > 0 && coldLeft(row, now) > Duration {};
}

Duration ColdServers::coldLeft(const Row &row, Instant now)
{
    return std::max(Duration {}, std::min(row.coldLeft, row.coldStart) - (now - row.learnedAt));
}

void ColdServers::updateColdLeft(std::vector<Routing::BackendServer> &servers, Instant now) const
{
    for (Routing::BackendServer &it : servers) {
        const auto row = m_rows.find(it.id);
        if (row != m_rows.end() && row->second.perSecond > 0) {
            it.coldLeft = coldLeft(row->second, now);
        }
    }
}

LogIndex ColdServers::dividedAt() const
{
    return m_dividedAt;
}

std::vector<ColdShare> ColdServers::shares(const InstanceId &entry, Instant now) const
{
    std::vector<ColdShare> shares;
    for (const auto &[id, row] : m_rows) {
        if (row.isDivided && isCold(row, now) && row.holders.contains(entry)) {
            shares.push_back(ColdShare { id, row.share, row.first == entry });
        }
    }
    return shares;
}

bool ColdServers::hasChanges(const InstanceId &entry, const Receiver &receiver, Instant now) const
{
    if (receiver.revision == m_revision) {
        return false;
    }
    if (receiver.isFirst) {
        return size(now) > 0;
    }
    std::vector<ColdShare> known = receiver.shares;
    std::erase_if(known, [&](const auto &it) {
        const auto row = m_rows.find(it.server);
        return row == m_rows.end() || !isCold(row->second, now);
    });
    return shares(entry, now) != known;
}

std::optional<std::vector<ColdShare>> ColdServers::takeChanges(const InstanceId &entry, Receiver &receiver, Instant now) const
{
    const bool isChanged = hasChanges(entry, receiver, now);
    receiver.revision = m_revision;
    if (!isChanged) {
        return std::nullopt;
    }
    receiver.isFirst = false;
    receiver.shares = shares(entry, now);
    return receiver.shares;
}

std::size_t ColdServers::size(Instant now) const
{
    return static_cast<std::size_t>(std::count_if(m_rows.begin(), m_rows.end(), [now](const auto &it) { return isCold(it.second, now); }));
}

}
