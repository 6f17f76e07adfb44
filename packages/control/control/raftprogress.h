#pragma once

#include <map>
#include <optional>

#include "control/rafttypes.h"

namespace Galenabarrow::Control
{

/// What a leader knows about one replica.
struct Progress {
    /// The last entry that the replica has synced.
    LogIndex match;
    /// The next entry to send.
    LogIndex next;
    Instant lastContactAt {};
    Instant lastSentAt {};
    /// The newest time of ours that the replica returned.
    std::optional<Instant> echoed;
    /// The last time of the replica's clock that it sent, to be returned to it with its session.
    std::optional<Instant> toEcho;
    std::uint64_t session = 0;
    /// Set while the replica receives a snapshot.
    SnapshotPointer snapshot;
    std::uint64_t offset = 0;
};

/// A leader's table of the other replicas, and what their quorum says.
class ProgressTable
{
public:
    explicit ProgressTable(ReplicaId self);

    /// Forgets everything; \p now counts as a sign of life from every replica.
    void reset(const Membership &membership, LogIndex lastIndex, Instant now);
    /// Adds rows for new members and removes those of others.
    void updateMembers(const Membership &membership, LogIndex lastIndex, Instant now);
    /// Null for a replica that is not a member.
    Progress *find(const ReplicaId &id);

    /// The last index that a majority of voters has synced, this replica up to \p localMatch.
    LogIndex quorumMatch(const Membership &membership, LogIndex localMatch) const;
    /// The latest time at which a majority of voters still followed this leader; absent before the first round of answers.
    std::optional<Instant> quorumEcho(const Membership &membership, Instant now) const;
    /// Whether a majority of voters was heard since \p since.
    bool hasQuorumSince(const Membership &membership, Instant since) const;

private:
    ReplicaId m_self;
    std::map<ReplicaId, Progress> m_rows;
};

}
