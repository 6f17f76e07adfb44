#pragma once

#include <map>
#include <optional>

#include "control/rafttypes.h"

namespace Galenabarrow::Control
{

/// The replication state of one replica, as known by the leader.
struct Progress {
    /// The last entry that the replica has synced.
    LogIndex match;
    /// The next entry to send.
    LogIndex next;
    Instant lastContactAt {};
    Instant lastSentAt {};
    /// The newest time of the leader's clock that the replica has returned.
    std::optional<Instant> echoed;
    /// The last time of its own clock that the replica has sent, to be returned to it with its session.
    std::optional<Instant> toEcho;
    std::uint64_t session = 0;
    /// Set while the replica receives a snapshot.
    SnapshotPointer snapshot;
    std::uint64_t offset = 0;
    /// Only for learners: the commit index at \c roundStartedAt. A learner that reaches it soon has caught up.
    LogIndex roundEnd;
    Instant roundStartedAt {};
};

/// The replication state of all other replicas, and what a quorum of them has acknowledged.
class ProgressTable
{
public:
    explicit ProgressTable(ReplicaId self);

    /// Discards all rows and adds new ones; \p now counts as a contact with every replica.
    void reset(const Membership &membership, LogIndex lastIndex, Instant now);
    /// Adds rows for new members and removes the rows of replicas that are no longer members.
    void updateMembers(const Membership &membership, LogIndex lastIndex, Instant now);
    /// Null for a replica that is not a member.
    Progress *find(const ReplicaId &id);

    /// The last index that a majority of voters has synced; this replica has synced up to \p localMatch.
    LogIndex quorumMatch(const Membership &membership, LogIndex localMatch) const;
    /// The latest time at which a majority of voters was known to follow this leader; absent before a majority has replied.
    std::optional<Instant> quorumEcho(const Membership &membership, Instant now) const;
    /// Whether a majority of voters has sent a message at or after \p since.
    bool hasQuorumSince(const Membership &membership, Instant since) const;

private:
    ReplicaId m_self;
    std::map<ReplicaId, Progress> m_rows;
};

}
