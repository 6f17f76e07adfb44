#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/id.h"

namespace Galenabarrow::Control
{

/// A replica is an instance together with its store. An instance that lost its disk comes back as another replica, so
/// promises made by the lost store are never attributed to the new one.
struct ReplicaId {
    InstanceId instance;
    Incarnation store;

    auto operator<=>(const ReplicaId &) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 reports the rewritten comparison
};

/// A replica of the cluster.
struct Member {
    ReplicaId id;
    /// Where the replica accepted frames when it joined, as "host:port".
    std::string address;
    /// A learner receives the log but does not count for quorums.
    bool isVoter = false;

    bool operator==(const Member &) const = default;
};

/// The replicas of a cluster. Consecutive memberships differ by one voter at most, so that their quorums overlap.
struct Membership {
    std::vector<Member> members;
    /// Voters of a complete cluster.
    std::uint32_t target = 0;
    /// The cluster was complete once. Before that, no change is accepted.
    bool isFormed = false;

    bool operator==(const Membership &) const = default;
    const Member *find(const ReplicaId &id) const;
    const Member *findInstance(const InstanceId &instance) const;
    bool isVoter(const ReplicaId &id) const;
    std::size_t voterCount() const;
    /// Voters that form a majority.
    std::size_t quorum() const;
};

enum class EntryKind : std::uint8_t { Noop, Proposal, MembershipChange };

/// An entry of the replicated log.
struct LogEntry {
    LogIndex index;
    Term term;
    EntryKind kind = EntryKind::Noop;
    /// Time during which the cluster had a leader, as its leaders counted it; never runs faster than real time.
    Duration time {};
    /// Only for Proposal.
    std::vector<std::uint8_t> command;
    /// Only for MembershipChange.
    Membership membership;

    bool operator==(const LogEntry &) const = default;
};

/// What a replica must not forget about elections.
struct HardState {
    Term term;
    /// The replica that got the vote of this term.
    std::optional<ReplicaId> vote;

    bool operator==(const HardState &) const = default;
};

/// The state machine after the entry at \c index.
struct Snapshot {
    LogIndex index;
    Term term;
    Duration time {};
    Membership membership;
    std::vector<std::uint8_t> state;

    bool operator==(const Snapshot &) const = default;
};

using SnapshotPointer = std::shared_ptr<const Snapshot>;

enum class RaftKind : std::uint8_t {
    PreVote,
    PreVoteReply,
    Vote,
    VoteReply,
    Append,
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
    JoinRequest,
    JoinReply,
};

/// A message between replicas. The meaning of the general fields depends on the kind.
struct RaftMessage {
    RaftKind kind = RaftKind::Append;
    ReplicaId from;
    /// The store is 0 when the sender does not know it, which only join messages allow.
    ReplicaId to;
    Term term;
    /// Append: the entry before the first one sent. Vote, PreVote: last entry of the candidate. Replies: the last entry
    /// that is known to match. SnapshotChunk and its reply: the snapshot.
    LogIndex index;
    Term logTerm;
    LogIndex commit;
    bool isRejected = false;
    std::vector<LogEntry> entries;
    /// The sender's clock when it sent this; the receiver only returns it in echo.
    Instant sentAt {};
    /// Names one life of the sender's process, because its clock may start again with the next one.
    std::uint64_t session = 0;
    /// The last sentAt that the sender got from the receiver, and the session it came with.
    std::optional<Instant> echo;
    std::uint64_t echoSession = 0;
    /// Append: the time since a quorum confirmed the leader, and with it that every change accepted before has at most
    /// the index in commit. Absent without a confirmation.
    std::optional<Duration> confirmedAge;
    /// SnapshotChunk: position of data, size of the whole snapshot. SnapshotReply: bytes received so far.
    std::uint64_t offset = 0;
    std::uint64_t total = 0;
    std::vector<std::uint8_t> data;
    /// SnapshotChunk: what the snapshot holds besides its state.
    Membership membership;
    Duration time {};
    /// JoinRequest, JoinReply: see raftjoin.h.
    std::uint64_t round = 0;
    std::uint64_t challenge = 0;
    bool isEmpty = false;
};

/// Numbers the writes of a core in their order.
using WriteNumber = Id<struct WriteTag, std::uint64_t>;

/// What the shell has to do, in this order: write, apply, send. After a sync of the writes it calls persisted().
struct RaftOutput {
    /// Set when something is to be written: hard state, snapshot, then entries.
    std::optional<WriteNumber> write;
    std::optional<HardState> hardState;
    /// Replaces the log and the state.
    SnapshotPointer install;
    /// Entries to append; they replace all entries from the index of the first.
    std::vector<LogEntry> append;
    /// Committed entries to apply, each exactly once and in order.
    std::vector<LogEntry> committed;
    /// Messages that may be sent before the write.
    std::vector<RaftMessage> messages;
};

/// Times of the consensus core.
struct RaftTiming {
    /// Time between two appends of an idle leader.
    Duration heartbeat = std::chrono::milliseconds(250);
    /// A follower that has not heard from a leader for this time, plus up to half as much at random, asks for votes.
    /// A leader without a quorum for this time steps down.
    Duration election = std::chrono::milliseconds(1000);
    /// Sets the time between two pre-votes of a replica that has not known a leader since its start: half of it, and a third for
    /// each member before it; the election timeout when absent. A leader that works is not disturbed: its followers refuse the
    /// pre-vote.
    std::optional<Duration> firstElection;
    /// Time between two join requests of a replica that is not a member.
    Duration join = std::chrono::milliseconds(500);
};

}
