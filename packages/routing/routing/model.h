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

/// How often a request may run.
enum class Repeatability : std::uint8_t {
    /// Any number of times.
    Safe,
    /// Once at most for each attempt of the caller.
    Unsafe,
};

/// A part of a route's requests. The weights of a route add up to more than 0.
struct SplitPart {
    ServiceId service;
    double weight = 1;

    bool operator==(const SplitPart &) const = default;
};

/// Requests to one host below one path prefix.
struct Route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    Repeatability repeatability = Repeatability::Unsafe;
    /// Latency within which a response has its full value.
    Duration objective {};
    /// Longest time that a request may wait for its final response.
    Duration timeout {};
    /// Backend servers to which one request may be sent.
    unsigned maxAttempts = 1;
    /// 0 is the highest.
    int priority = 0;
    std::vector<SplitPart> split;
    /// Members of the operator's document that this version does not know, to be returned as they came.
    std::string extra;

    bool operator==(const Route &) const = default;
};

struct Service {
    ServiceId name;
    std::string healthPath;
    /// Connections that one backend server accepts from all callers.
    unsigned maxConnections = 0;
    std::string extra;

    bool operator==(const Service &) const = default;
};

/// What a caller may send, and how long it may take.
struct CallerLimits {
    std::uint64_t headerBytes = 16384;
    std::uint64_t bodyBytes = std::uint64_t { 64 } * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(5);
    Duration idleTimeout = std::chrono::seconds(30);
    std::string extra;

    bool operator==(const CallerLimits &) const = default;
};

/// A complete routing configuration. Version 0 stands for "none yet".
struct RoutingConfig {
    Version version;
    CallerLimits limits;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::string extra;

    bool operator==(const RoutingConfig &) const = default;
};

/// 128 bits over the bytes of an operator's order; tells an order that is sent again from another one.
struct ChangeDigest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const ChangeDigest &) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 reports the rewritten comparison
};

/// An operator's order: a whole configuration, or items to put and to remove.
struct ConfigChange {
    ChangeDigest digest;
    Version version;
    Version base;
    bool isPatch = false;
    /// The limits of \c config are part of a patch.
    bool hasLimits = false;
    RoutingConfig config;
    std::vector<std::string> removedRoutes;
    std::vector<std::string> removedServices;
};

enum class ServerState : std::uint8_t {
    Ready,
    /// Finishes its requests and gets no new ones.
    Draining,
    /// Left, or replaced by another incarnation.
    Gone,
};

/// "ready", "draining" or "gone".
std::string_view serverStateName(ServerState state);

/// What a backend server says of itself.
struct BackendServer {
    ServerId id;
    /// "host:port".
    std::string address;
    ServiceId service;
    DataCentreId dataCentre;
    std::string software;
    unsigned slots = 1;
    ServerState state = ServerState::Ready;
    /// Unix milliseconds of its start; tells the incarnations of one id apart.
    std::uint64_t born = 0;
    std::uint64_t sequence = 0;
    /// Time for which it stays slow after its start, as of its announcement.
    Duration coldLeft {};
    /// The log entry that changed it last.
    LogIndex changedAt;

    bool operator==(const BackendServer &) const = default;
};

/// One command of the replicated log; exactly one member is set.
struct Command {
    std::optional<ConfigChange> change;
    std::optional<BackendServer> update;
    /// Only id, born and sequence count.
    std::optional<BackendServer> withdrawal;
};

}
