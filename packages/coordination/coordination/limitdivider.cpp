#include "coordination/limitdivider.h"

#include <algorithm>
#include <utility>

#include "coordination/holderchoice.h"

namespace Galenabarrow::Coordination
{

namespace
{

/// How long it is known that a limit has ended: longer than any report of the limit is on its way.
constexpr Duration EndedLifetime = std::chrono::seconds(30);
/// A statement is taken for a newer one when it is newer by more than this. Its age grows while it is passed on, by less.
constexpr Duration TransferTolerance = std::chrono::milliseconds(250);

}

bool LimitDivider::record(const ServerLimit &limit, Instant now)
{
    const Instant statedAt = now - limit.age;
    const auto [it, isNew] = m_rows.try_emplace(limit.server);
    Row &row = it->second;
    const bool isOutdated = !isNew && (limit.born < row.born || (limit.born == row.born && statedAt <= row.statedAt));
    const bool isSame = !isNew && limit.born == row.born && limit.perSecond == row.perSecond;
    if (isOutdated || (isSame && statedAt - row.statedAt <= TransferTolerance)) {
        return false;
    }
    if (isNew && !limit.perSecond) {
        m_rows.erase(it);
        return false; // the end of a limit that was not known
    }
    row.born = limit.born;
    row.perSecond = limit.perSecond;
    row.statedAt = statedAt;
    m_isChanged = m_isChanged || !isSame;
    return !isSame;
}

bool LimitDivider::divide(const std::vector<EntryInfo> &entries, const Servers &servers, Instant now)
{
    eraseOutdated(servers, now);
    if (entries.empty()) {
        return false;
    }
    bool isChanged = std::exchange(m_isChanged, false);
    for (auto &[id, row] : m_rows) {
        const auto server = servers.find(id);
        if (server != servers.end() && server->second.born == row.born) {
            isChanged = divide(id, row, entries, server->second.dataCentre) || isChanged;
        }
    }
    return isChanged;
}

bool LimitDivider::divide(const ServerId &server, Row &row, const std::vector<EntryInfo> &entries, const DataCentreId &dataCentre) const
{
    const bool wasDivided = std::exchange(row.isDivided, true);
    std::set<InstanceId> holders;
    double share = 0;
    if (row.perSecond) {
        const double limit = std::max(*row.perSecond, MinLimit);
        const auto count = std::min(entries.size(), static_cast<std::size_t>(std::max(1.0, limit / MinShare)));
        holders = chooseHolders(server, dataCentre, entries, count);
        share = limit / static_cast<double>(count);
    }
    const bool isSame = wasDivided && holders == row.holders && share == row.share;
    row.holders = std::move(holders);
    row.share = share;
    return !isSame;
}

void LimitDivider::eraseOutdated(const Servers &servers, Instant now)
{
    std::erase_if(m_rows, [&](const auto &it) {
        const auto server = servers.find(it.first);
        const Row &row = it.second;
        const bool isKnown = server != servers.end();
        const bool hasLeft = isKnown && (server->second.born > row.born || server->second.state == Routing::ServerState::Gone);
        const bool isForgotten = (!isKnown || !row.perSecond) && now - row.statedAt > EndedLifetime;
        m_isChanged = m_isChanged || hasLeft || isForgotten;
        return hasLeft || isForgotten;
    });
}

std::map<ServerId, LimitShare> LimitDivider::shares(const InstanceId &entry, Instant now) const
{
    std::map<ServerId, LimitShare> shares;
    for (const auto &[id, row] : m_rows) {
        if (row.isDivided) {
            const double share = row.holders.contains(entry) ? row.share : 0;
            shares.emplace(id, LimitShare { ServerLimit { id, row.born, row.perSecond, now - row.statedAt }, share });
        }
    }
    return shares;
}

std::vector<ServerLimit> LimitDivider::limits(Instant now) const
{
    std::vector<ServerLimit> limits;
    for (const auto &[id, row] : m_rows) {
        limits.push_back(ServerLimit { id, row.born, row.perSecond, now - row.statedAt });
    }
    return limits;
}

bool LimitDivider::isEmpty() const
{
    return m_rows.empty();
}

std::size_t LimitDivider::size() const
{
    return static_cast<std::size_t>(
        std::count_if(m_rows.begin(), m_rows.end(), [](const auto &it) { return it.second.perSecond.has_value(); }));
}

}
