#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "coordination/quotaexchange.h"
#include "wire/envelope.h"

namespace Galenabarrow::Coordination
{

/// State of a core instance for its metrics page.
struct CoreStatus {
    bool isLeader = false;
    bool isLeaderKnown = false;
    std::uint64_t term = 0;
    std::uint64_t commitIndex = 0;
    std::uint64_t configVersion = 0;
    std::uint64_t members = 0;
    std::uint64_t voters = 0;
    /// Replicas that were added to the core, promoted or removed, as seen by this instance.
    std::uint64_t membershipChanges = 0;
    /// Times that this leader did not add a replica that requested to join.
    std::uint64_t refusedJoins = 0;
    /// Time since this instance began to request to join; absent while it is a member and knows the leader.
    std::optional<Duration> joinAge;
    /// Time since a quorum confirmed the newest state; absent before the first confirmation.
    std::optional<Duration> confirmedAge;
    /// Entries that have recently reported to this or another core instance.
    std::uint64_t entries = 0;
    std::uint64_t readyServers = 0;
    std::uint64_t drainingServers = 0;
    /// Ready servers that have not announced themselves for too long.
    std::uint64_t silentServers = 0;
    /// Evacuations of data centres in force.
    std::uint64_t evacuations = 0;
    /// Whether the store cannot be written, so that this instance takes no part in the log.
    bool isSuspended = false;
    /// How often that began.
    std::uint64_t suspensions = 0;
    /// Orders that were not proposed because their sender had left.
    std::uint64_t ordersDropped = 0;
    /// Cold servers with a limit of their requests, see ColdServers.
    std::uint64_t coldServers = 0;
    /// Connections to other core instances that were closed because they were silent.
    std::uint64_t silentLinks = 0;
    /// Bytes of the updates sent to entries.
    std::uint64_t feedBytes = 0;
    /// The part of \c feedBytes that was sent to entries in other data centres.
    std::uint64_t remoteFeedBytes = 0;
    /// Bytes sent to other core instances, by kind of message.
    std::map<Wire::MessageKind, std::uint64_t> sentBytes;
    /// Updates that were deferred because the entry had not yet received enough of the earlier ones, see FeedWindow.
    std::uint64_t feedsDeferred = 0;
    /// Entries that this instance counted as lost.
    std::uint64_t entriesLost = 0;
    /// Present when the configuration has an account with a limit.
    std::optional<QuotaStatus> quotas;
};

/// The metrics page of a core instance in the Prometheus text format.
std::string metricsText(const CoreStatus &status);

}
