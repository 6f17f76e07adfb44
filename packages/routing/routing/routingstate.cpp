#include "routing/routingstate.h"

#include <algorithm>

#include "routing/codec.h"
#include "routing/rules.h"

namespace Galenabarrow::Routing
{

namespace
{

/// Whether \p update is about an incarnation that had started before the withdrawal of \p known, which did not state a start time.
/// Without a known start time every incarnation may be the withdrawn one.
bool isCoveredByWithdrawal(const BackendServer &known, const BackendServer &update)
{
    if (!known.withdrawnAt) {
        return false;
    }
    const bool mayBeWithdrawn = known.born == 0 || update.born <= *known.withdrawnAt;
    const auto hold = static_cast<std::uint64_t>(RoutingState::WithdrawalHold.count());
    return mayBeWithdrawn && update.receivedAt < *known.withdrawnAt + hold;
}

}

Result<void> RoutingState::apply(const Command &command, LogIndex index)
{
    if (command.change) {
        return applyChange(*command.change, index);
    }
    if (command.update) {
        applyUpdate(*command.update, index);
    }
    if (command.withdrawal) {
        applyWithdrawal(*command.withdrawal, index);
    }
    if (command.evacuation) {
        applyEvacuation(*command.evacuation, index);
    }
    return {};
}

Result<void> RoutingState::applyChange(const ConfigChange &change, LogIndex index)
{
    const AcceptedChange key { change.version, change.base, change.digest };
    if (m_accepted.contains(key)) {
        return {};
    }
    if (change.base != m_config.version) {
        return failure(ResultCode::VersionConflict, "version " + std::to_string(m_config.version.value()) + " is current");
    }
    if (change.version <= m_config.version) {
        return failure(ResultCode::VersionConflict, "the new version is not above " + std::to_string(m_config.version.value()));
    }
    RoutingConfig config = Routing::apply(change, m_config);
    if (Result<void> valid = validate(config); !valid) {
        return valid;
    }
    m_history.record(index, change, m_config, config);
    m_config = std::move(config);
    m_configAt = index;
    m_changedAt = index;
    m_accepted.insert(key);
    return {};
}

bool RoutingState::wouldChange(const BackendServer &update) const
{
    const auto it = m_servers.find(update.id);
    if (it == m_servers.end()) {
        return !isAddressTaken(update);
    }
    const BackendServer &known = it->second;
    if (isCoveredByWithdrawal(known, update)) {
        return false;
    }
    if (update.born != known.born) {
        return update.born > known.born && !isAddressTaken(update);
    }
    // A late announcement never makes a draining or gone incarnation ready again.
    const bool isOutdated = update.sequence <= known.sequence || known.state == ServerState::Gone || update.state < known.state;
    if (isOutdated) {
        return false;
    }
    // Address, service and data centre are fixed for an incarnation; an announcement with other values has another sender.
    const bool isSamePlacement =
        update.address == known.address && update.service == known.service && update.dataCentre == known.dataCentre;
    return isSamePlacement && (update.state != known.state || isColdAgain(known, update));
}

bool RoutingState::isColdAgain(const BackendServer &known, const BackendServer &update) const
{
    if (known.state != ServerState::Ready || update.state != ServerState::Ready) {
        return false;
    }
    const auto &services = m_config.services;
    const auto service = std::find_if(services.begin(), services.end(), [&known](const Service &it) { return it.name == known.service; });
    if (service == services.end() || service->coldPerSecond <= 0) {
        return false;
    }
    const std::chrono::milliseconds passed(update.receivedAt > known.receivedAt ? update.receivedAt - known.receivedAt : 0);
    const Duration knownLeft = std::min(known.coldLeft, service->coldStart);
    const Duration expected = passed < knownLeft ? knownLeft - passed : Duration {};
    return std::min(update.coldLeft, service->coldStart) > expected + ColdTolerance;
}

bool RoutingState::wouldWithdraw(const BackendServer &withdrawal) const
{
    const auto it = m_servers.find(withdrawal.id);
    if (it == m_servers.end()) {
        return true;
    }
    if (withdrawal.born == 0) {
        return true; // also covers incarnations that are not known yet
    }
    const bool isSameIncarnation = withdrawal.born == it->second.born;
    return isSameIncarnation ? it->second.state != ServerState::Gone : withdrawal.born > it->second.born;
}

void RoutingState::applyUpdate(const BackendServer &update, LogIndex index)
{
    if (!wouldChange(update)) {
        return;
    }
    removeOthersAtAddress(update, index);
    BackendServer &server = m_servers[update.id];
    server = update;
    server.changedAt = index;
    m_changedAt = index;
}

void RoutingState::applyWithdrawal(const BackendServer &withdrawal, LogIndex index)
{
    if (!wouldWithdraw(withdrawal)) {
        return;
    }
    // An unknown server is inserted as gone: its first announcement may have been delayed, and must not register it.
    BackendServer &server = m_servers[withdrawal.id];
    if (withdrawal.born == 0) {
        server.withdrawnAt = std::max(withdrawal.receivedAt, server.withdrawnAt.value_or(0));
        if (server.id == withdrawal.id && server.state == ServerState::Gone) {
            return; // entries know that it is gone
        }
    }
    server.id = withdrawal.id;
    server.born = std::max(server.born, withdrawal.born);
    server.state = ServerState::Gone;
    server.changedAt = index;
    m_changedAt = index;
    pruneGoneServers();
}

void RoutingState::applyEvacuation(const Evacuation &evacuation, LogIndex index)
{
    const auto it = m_evacuations.find(evacuation.dataCentre);
    const bool isActive = it != m_evacuations.end() && it->second.isActive;
    if (isActive == evacuation.isActive) {
        return;
    }
    m_evacuations[evacuation.dataCentre] = Evacuation { evacuation.dataCentre, evacuation.isActive, index };
    m_changedAt = index;
}

bool RoutingState::isAddressTaken(const BackendServer &update) const
{
    // A delayed announcement must not replace the incarnation that uses the address now.
    return std::any_of(m_servers.begin(), m_servers.end(), [&update](const auto &row) {
        const BackendServer &other = row.second;
        return other.id != update.id && other.address == update.address && other.state != ServerState::Gone && other.born > update.born;
    });
}

void RoutingState::removeOthersAtAddress(const BackendServer &update, LogIndex index)
{
    for (auto &[id, other] : m_servers) {
        if (id != update.id && other.address == update.address && other.state != ServerState::Gone) {
            other.state = ServerState::Gone;
            other.changedAt = index;
        }
    }
    pruneGoneServers();
}

void RoutingState::pruneGoneServers()
{
    std::vector<std::pair<LogIndex, ServerId>> gone;
    for (const auto &[id, server] : m_servers) {
        if (server.state == ServerState::Gone) {
            gone.emplace_back(server.changedAt, id);
        }
    }
    if (gone.size() <= MaxGoneServers) {
        return;
    }
    std::sort(gone.begin(), gone.end());
    const std::size_t excess = gone.size() - MaxGoneServers;
    for (std::size_t n = 0; n < excess; ++n) {
        m_prunedUpTo = std::max(m_prunedUpTo, gone[n].first);
        m_servers.erase(gone[n].second);
    }
}

const RoutingConfig &RoutingState::config() const
{
    return m_config;
}

LogIndex RoutingState::configAt() const
{
    return m_configAt;
}

const std::map<ServerId, BackendServer> &RoutingState::servers() const
{
    return m_servers;
}

const std::map<DataCentreId, Evacuation> &RoutingState::evacuations() const
{
    return m_evacuations;
}

std::size_t RoutingState::activeEvacuations() const
{
    return static_cast<std::size_t>(
        std::count_if(m_evacuations.begin(), m_evacuations.end(), [](const auto &row) { return row.second.isActive; }));
}

bool RoutingState::namesDataCentre(const DataCentreId &dataCentre) const
{
    return m_evacuations.contains(dataCentre) || std::any_of(m_servers.begin(), m_servers.end(), [&dataCentre](const auto &row) {
               return row.second.dataCentre == dataCentre && row.second.state != ServerState::Gone;
           });
}

LogIndex RoutingState::changedAt() const
{
    return m_changedAt;
}

StateChanges RoutingState::changesAfter(LogIndex index) const
{
    StateChanges changes;
    changes.isWhole = index < m_prunedUpTo || index == LogIndex();
    if (m_configAt > index) {
        changes.config = m_history.changeSince(index, m_config);
    }
    for (const auto &[id, server] : m_servers) {
        const bool isNew = server.changedAt > index;
        if (changes.isWhole ? server.state != ServerState::Gone : isNew) {
            changes.servers.push_back(server);
        }
    }
    for (const auto &[dataCentre, evacuation] : m_evacuations) {
        if (changes.isWhole || evacuation.changedAt > index) {
            changes.evacuations.push_back(evacuation);
        }
    }
    return changes;
}

Bytes RoutingState::encodeImage() const
{
    Fb::StateT image;
    image.config = pack(m_config);
    image.config_at = m_configAt.value();
    image.pruned_up_to = m_prunedUpTo.value();
    for (const AcceptedChange &it : m_accepted) {
        auto row = std::make_unique<Fb::AcceptedChangeT>();
        row->version = it.version.value();
        row->base = it.base.value();
        row->digest_high = it.digest.high;
        row->digest_low = it.digest.low;
        image.accepted.push_back(std::move(row));
    }
    for (const auto &[id, server] : m_servers) {
        image.servers.push_back(pack(server));
    }
    for (const auto &[dataCentre, evacuation] : m_evacuations) {
        image.evacuations.push_back(pack(evacuation));
    }
    return encodeTable<Fb::State>(image);
}

Result<void> RoutingState::restoreImage(ByteView image)
{
    const auto table = decodeTable<Fb::State>(image);
    if (table == nullptr || table->config == nullptr) {
        return failure(ResultCode::FrameMalformed, "FlatBuffers verification of the image of the routing state failed");
    }
    *this = RoutingState();
    m_config = unpack(*table->config);
    m_configAt = LogIndex(table->config_at);
    m_history.restart(m_configAt);
    m_prunedUpTo = LogIndex(table->pruned_up_to);
    m_changedAt = std::max(m_configAt, m_prunedUpTo);
    for (const auto &it : table->accepted) {
        m_accepted.insert(AcceptedChange { Version(it->version), Version(it->base), { it->digest_high, it->digest_low } });
    }
    for (const auto &it : table->servers) {
        BackendServer server = unpack(*it);
        m_changedAt = std::max(m_changedAt, server.changedAt);
        m_servers.emplace(server.id, std::move(server));
    }
    for (const auto &it : table->evacuations) {
        Evacuation evacuation = unpack(*it);
        m_changedAt = std::max(m_changedAt, evacuation.changedAt);
        m_evacuations.emplace(evacuation.dataCentre, std::move(evacuation));
    }
    return {};
}

}
