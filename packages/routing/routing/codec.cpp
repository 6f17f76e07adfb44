#include "routing/codec.h"

#include <algorithm>

namespace Galenabarrow::Routing
{

namespace
{

/// Longest time for which a server is taken to be slow after its start.
constexpr Duration MaxColdLeft = std::chrono::hours(24);

std::unique_ptr<Fb::RouteT> pack(const Route &route)
{
    auto to = std::make_unique<Fb::RouteT>();
    to->name = route.name;
    to->host = route.host;
    to->prefix = route.prefix;
    to->is_safe = route.kind == RequestKind::Safe;
    to->is_upload = route.kind == RequestKind::Upload;
    to->is_public = route.isPublic;
    to->objective = route.objective.count();
    to->timeout = route.timeout.count();
    to->attempts = route.maxAttempts;
    to->priority = route.priority;
    to->extra = route.extra;
    for (const SplitPart &it : route.split) {
        auto part = std::make_unique<Fb::SplitPartT>();
        part->service = it.service.value();
        part->weight = it.weight;
        to->split.push_back(std::move(part));
    }
    return to;
}

Route unpack(const Fb::RouteT &from)
{
    Route route;
    route.name = from.name;
    route.host = from.host;
    route.prefix = from.prefix;
    route.kind = from.is_safe ? RequestKind::Safe : from.is_upload ? RequestKind::Upload : RequestKind::Unsafe;
    route.objective = Duration(from.objective);
    route.timeout = Duration(from.timeout);
    route.maxAttempts = from.attempts;
    route.priority = from.priority;
    route.isPublic = from.is_public;
    route.extra = from.extra;
    for (const auto &it : from.split) {
        route.split.push_back(SplitPart { ServiceId(it->service), it->weight });
    }
    return route;
}

std::unique_ptr<Fb::ServiceT> pack(const Service &service)
{
    auto to = std::make_unique<Fb::ServiceT>();
    to->name = service.name.value();
    to->health_path = service.healthPath;
    to->max_connections = service.maxConnections;
    to->cold_start = service.coldStart.count();
    to->cold_per_second = service.coldPerSecond;
    to->extra = service.extra;
    return to;
}

Service unpack(const Fb::ServiceT &from)
{
    Service service;
    service.name = ServiceId(from.name);
    service.healthPath = from.health_path;
    service.maxConnections = from.max_connections;
    service.coldStart = std::clamp(Duration(from.cold_start), Duration {}, MaxColdLeft);
    service.coldPerSecond = from.cold_per_second;
    service.extra = from.extra;
    return service;
}

std::unique_ptr<Fb::AccountT> pack(const ClientAccount &account)
{
    auto to = std::make_unique<Fb::AccountT>();
    to->name = account.name.value();
    to->keys = account.keys;
    if (account.priority) {
        to->priority = *account.priority;
    }
    to->per_second = account.perSecond;
    to->burst = account.burst;
    to->extra = account.extra;
    return to;
}

ClientAccount unpack(const Fb::AccountT &from)
{
    ClientAccount account;
    account.name = AccountId(from.name);
    account.keys = from.keys;
    if (from.priority) {
        account.priority = *from.priority;
    }
    account.perSecond = from.per_second;
    account.burst = from.burst;
    account.extra = from.extra;
    return account;
}

}

std::unique_ptr<Fb::EvacuationT> pack(const Evacuation &evacuation)
{
    auto to = std::make_unique<Fb::EvacuationT>();
    to->data_centre = evacuation.dataCentre.value();
    to->is_active = evacuation.isActive;
    to->changed_at = evacuation.changedAt.value();
    return to;
}

Evacuation unpack(const Fb::EvacuationT &from)
{
    return Evacuation { DataCentreId(from.data_centre), from.is_active, LogIndex(from.changed_at) };
}

std::unique_ptr<Fb::ChangeT> pack(const ConfigChange &change)
{
    auto to = std::make_unique<Fb::ChangeT>();
    to->digest_high = change.digest.high;
    to->digest_low = change.digest.low;
    to->version = change.version.value();
    to->base = change.base.value();
    to->is_patch = change.isPatch;
    to->has_limits = change.hasLimits;
    to->config = Routing::pack(change.config);
    to->removed_routes = change.removedRoutes;
    to->removed_services = change.removedServices;
    to->removed_accounts = change.removedAccounts;
    return to;
}

ConfigChange unpack(const Fb::ChangeT &from)
{
    ConfigChange change;
    change.digest = ChangeDigest { from.digest_high, from.digest_low };
    change.version = Version(from.version);
    change.base = Version(from.base);
    change.isPatch = from.is_patch;
    change.hasLimits = from.has_limits;
    if (from.config != nullptr) {
        change.config = Routing::unpack(*from.config);
    }
    change.removedRoutes = from.removed_routes;
    change.removedServices = from.removed_services;
    change.removedAccounts = from.removed_accounts;
    return change;
}

std::unique_ptr<Fb::ConfigT> pack(const RoutingConfig &config)
{
    auto to = std::make_unique<Fb::ConfigT>();
    to->version = config.version.value();
    to->extra = config.extra;
    to->limits = std::make_unique<Fb::LimitsT>();
    to->limits->header_bytes = config.limits.headerBytes;
    to->limits->body_bytes = config.limits.bodyBytes;
    to->limits->header_timeout = config.limits.headerTimeout.count();
    to->limits->idle_timeout = config.limits.idleTimeout.count();
    to->limits->extra = config.limits.extra;
    for (const Route &it : config.routes) {
        to->routes.push_back(pack(it));
    }
    for (const Service &it : config.services) {
        to->services.push_back(pack(it));
    }
    for (const ClientAccount &it : config.accounts) {
        to->accounts.push_back(pack(it));
    }
    to->has_accounts = config.requiresKeys();
    return to;
}

RoutingConfig unpack(const Fb::ConfigT &from)
{
    RoutingConfig config;
    config.version = Version(from.version);
    config.extra = from.extra;
    if (from.limits != nullptr) {
        config.limits.headerBytes = from.limits->header_bytes;
        config.limits.bodyBytes = from.limits->body_bytes;
        config.limits.headerTimeout = Duration(from.limits->header_timeout);
        config.limits.idleTimeout = Duration(from.limits->idle_timeout);
        config.limits.extra = from.limits->extra;
    }
    for (const auto &it : from.routes) {
        config.routes.push_back(unpack(*it));
    }
    for (const auto &it : from.services) {
        config.services.push_back(unpack(*it));
    }
    for (const auto &it : from.accounts) {
        config.accounts.push_back(unpack(*it));
    }
    config.hasAccounts = from.has_accounts || !config.accounts.empty(); // earlier builds do not write it
    return config;
}

std::unique_ptr<Fb::ServerT> pack(const BackendServer &server)
{
    auto to = std::make_unique<Fb::ServerT>();
    to->id = server.id.value();
    to->address = server.address;
    to->service = server.service.value();
    to->data_centre = server.dataCentre.value();
    to->software = server.software;
    to->slots = server.slots;
    to->state = static_cast<std::uint8_t>(server.state);
    to->born = server.born;
    to->sequence = server.sequence;
    to->cold_left = server.coldLeft.count();
    to->changed_at = server.changedAt.value();
    to->received_at = server.receivedAt;
    if (server.withdrawnAt) {
        to->withdrawn_at = *server.withdrawnAt;
    }
    return to;
}

BackendServer unpack(const Fb::ServerT &from)
{
    BackendServer server;
    server.id = ServerId(from.id);
    server.address = from.address;
    server.service = ServiceId(from.service);
    server.dataCentre = DataCentreId(from.data_centre);
    server.software = from.software;
    server.slots = std::max(1U, from.slots);
    server.state = from.state == 0 ? ServerState::Ready : from.state == 1 ? ServerState::Draining : ServerState::Gone;
    server.born = from.born;
    server.sequence = from.sequence;
    // Bounded, since it is added to clock readings.
    server.coldLeft = std::clamp(Duration(from.cold_left), Duration {}, MaxColdLeft);
    server.changedAt = LogIndex(from.changed_at);
    server.receivedAt = from.received_at;
    if (from.withdrawn_at) {
        server.withdrawnAt = *from.withdrawn_at;
    }
    return server;
}

std::vector<std::uint8_t> encode(const Command &command)
{
    Fb::CommandT to;
    if (command.change) {
        to.change = pack(*command.change);
    }
    if (command.update) {
        to.update = pack(*command.update);
    }
    if (command.withdrawal) {
        to.withdrawal = pack(*command.withdrawal);
    }
    if (command.evacuation) {
        to.evacuation = pack(*command.evacuation);
    }
    to.known_index = command.knownIndex.value();
    return encodeTable<Fb::Command>(to);
}

Result<Command> decodeCommand(std::span<const std::uint8_t> bytes)
{
    const auto from = decodeTable<Fb::Command>(bytes);
    if (from == nullptr) {
        return failure(ResultCode::FrameMalformed, "FlatBuffers verification of the command failed");
    }
    Command command;
    if (from->change != nullptr) {
        command.change = unpack(*from->change);
    }
    if (from->update != nullptr) {
        command.update = unpack(*from->update);
    }
    if (from->withdrawal != nullptr) {
        command.withdrawal = unpack(*from->withdrawal);
    }
    if (from->evacuation != nullptr) {
        command.evacuation = unpack(*from->evacuation);
    }
    command.knownIndex = LogIndex(from->known_index);
    return command;
}

}
