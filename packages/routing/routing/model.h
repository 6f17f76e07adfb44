#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/id.h"

namespace Galenabarrow::Routing
{

/// What an operator says of the requests of a route; decides how often one may be run.
enum class RequestKind : std::uint8_t {
    /// May run any number of times.
    Safe,
    /// Runs at most once for each attempt of the caller.
    Unsafe,
    /// Like Unsafe, with large bodies.
    Upload,
};

/// Whether a request that may have run may be sent again.
constexpr bool isRepeatable(RequestKind kind)
{
    return kind == RequestKind::Safe;
}

/// A service and its share of a route's requests. The sum of the weights of a route is above 0.
struct SplitPart {
    ServiceId service;
    double weight = 1;

    bool operator==(const SplitPart &) const = default;
};

/// A rule for the requests to one host and path prefix.
struct Route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    RequestKind kind = RequestKind::Unsafe;
    /// Latency within which a response has its full value.
    Duration objective {};
    /// Longest time from a request to its final response.
    Duration timeout {};
    /// Maximum number of backend servers to which one request is sent.
    unsigned maxAttempts = 1;
    /// 0 is the highest.
    int priority = 0;
    std::vector<SplitPart> split;
    /// Requests need no key, and are charged to no client account.
    bool isPublic = false;
    /// Members of the operator's document that this software version does not know; returned unchanged.
    std::string extra;

    bool operator==(const Route &) const = default;
};

struct Service {
    ServiceId name;
    std::string healthPath;
    /// Connections that one backend server accepts in total.
    unsigned maxConnections = 0;
    std::string extra;
    /// For how long a server is cold after its start.
    Duration coldStart {};
    /// Requests a second that a cold server takes, from all entries together; 0 for no limit.
    double coldPerSecond = 0;

    bool operator==(const Service &) const = default;
};

/// A customer of the operator, whose requests are identified by keys.
struct ClientAccount {
    AccountId name;
    /// Secret: for lookups and for the operator's own read of the configuration only.
    std::vector<std::string> keys;
    /// Takes precedence over the priority of the route; absent if the route's applies.
    std::optional<int> priority;
    /// Requests a second over all entries together; 0 for no limit.
    double perSecond = 0;
    /// Requests that may be sent at once after a time without requests.
    double burst = 0;
    std::string extra;

    bool operator==(const ClientAccount &) const = default;
};

/// Limits of the size and the duration of what a caller sends.
struct CallerLimits {
    std::uint64_t headerBytes = 16384;
    std::uint64_t bodyBytes = std::uint64_t { 64 } * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(5);
    Duration idleTimeout = std::chrono::seconds(30);
    std::string extra;

    bool operator==(const CallerLimits &) const = default;
};

/// A complete routing configuration. Version 0 stands for "no configuration yet".
struct RoutingConfig {
    Version version;
    CallerLimits limits;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<ClientAccount> accounts;
    /// There is a list of accounts, which may be empty: no key is valid then.
    bool hasAccounts = false;
    std::string extra;

    /// Whether requests on routes that are not public need the key of an account.
    bool requiresKeys() const
    {
        return hasAccounts || !accounts.empty();
    }

    bool operator==(const RoutingConfig &) const = default;
};

/// 128-bit digest of the bytes of an operator's change request; distinguishes a repeated request from a different one.
struct ChangeDigest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const ChangeDigest &) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 reports the rewritten comparison
};

/// A change requested by an operator: a whole configuration, or a patch with items to insert or replace and items to remove.
struct ConfigChange {
    ChangeDigest digest;
    Version version;
    Version base;
    bool isPatch = false;
    /// For a patch: \c config.limits replaces the limits.
    bool hasLimits = false;
    RoutingConfig config;
    std::vector<std::string> removedRoutes;
    std::vector<std::string> removedServices;
    std::vector<std::string> removedAccounts;
};

enum class ServerState : std::uint8_t {
    Ready,
    /// Finishes its requests and receives no new ones.
    Draining,
    /// Has left, or was replaced by another server at its address.
    Gone,
};

/// "ready", "draining" or "gone".
std::string_view serverStateName(ServerState state);

/// A backend server as described by its announcements.
struct BackendServer {
    ServerId id;
    /// "host:port".
    std::string address;
    ServiceId service;
    DataCentreId dataCentre;
    std::string software;
    unsigned slots = 1;
    ServerState state = ServerState::Ready;
    /// Start time in Unix milliseconds; distinguishes the incarnations of one id.
    std::uint64_t born = 0;
    /// Orders the announcements of one incarnation.
    std::uint64_t sequence = 0;
    /// Remaining time of the slow phase after its start, at the time of the announcement.
    Duration coldLeft {};
    /// When a core instance received this announcement or withdrawal, in Unix milliseconds by its own clock.
    std::uint64_t receivedAt = 0;
    /// When a withdrawal that does not state a start time was received; absent without one.
    std::optional<std::uint64_t> withdrawnAt;
    /// The log entry that last changed this server.
    LogIndex changedAt;

    bool operator==(const BackendServer &) const = default;
};

/// An operator's order to send nothing to the servers of a data centre, or the end of that order.
struct Evacuation {
    DataCentreId dataCentre;
    bool isActive = true;
    /// The log entry that last changed it.
    LogIndex changedAt;

    bool operator==(const Evacuation &) const = default;
};

/// One command of the replicated log; exactly one member is set.
struct Command {
    std::optional<ConfigChange> change;
    std::optional<BackendServer> update;
    /// Only id, born and receivedAt are used; born is 0 if the withdrawal does not state it.
    std::optional<BackendServer> withdrawal;
    std::optional<Evacuation> evacuation;
    /// For withdrawals and evacuations: the last log entry that the instance had applied when it received the order. 0 when not known;
    /// earlier builds do not state it. Only the leader uses it, before the command enters the log.
    LogIndex knownIndex;
};

}
