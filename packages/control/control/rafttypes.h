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

/// A replica is an instance together with its store. An instance that lost its disk returns as another replica, so that votes
/// and acknowledgements of the lost store are never attributed to the new one.
struct ReplicaId {
    InstanceId instance;
    Incarnation store;

    auto operator<=>(const ReplicaId &) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 reports the rewritten comparison
};

/// A replica as a member of the cluster.
struct Member {
    ReplicaId id;
    /// Where the replica accepted frames when it joined, as "host:port".
    std::string address;
    /// A learner receives the log but does not count for quorums.
    bool isVoter = false;

    bool operator==(const Member &) const = default;
};

/// The replicas of a cluster. Consecutive memberships differ by at most one voter, so that their quorums overlap.
struct Membership {
    std::vector<Member> members;
    /// Number of voters of a complete cluster.
    std::uint32_t target = 0;
    /// The cluster has been complete at least once. Before that, no change is accepted.
    bool isFormed = false;

    bool operator==(const Membership &) const = default;
    const Member *find(const ReplicaId &id) const;
    const Member *findInstance(const InstanceId &instance) const;
    bool isVoter(const ReplicaId &id) const;
    std::size_t voterCount() const;
    /// Number of voters that form a majority.
    std::size_t quorum() const;
};

enum class EntryKind : std::uint8_t { Noop, Proposal, MembershipChange };

/// An entry of the replicated log.
struct LogEntry {
    LogIndex index;
    Term term;
    EntryKind kind = EntryKind::Noop;
    /// Total time during which the cluster had a leader, measured by the leaders; never runs faster than real time.
    Duration time {};
    /// Only for Proposal.
    std::vector<std::uint8_t> command;
    /// Only for MembershipChange.
    Membership membership;

    bool operator==(const LogEntry &) const = default;
};

/// The durable state of a replica about elections.
struct HardState {
    Term term;
    /// The replica that this replica voted for in this term.
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
    /// From a member that is stopping; earlier builds drop it.
    LeaveRequest,
    /// To a replica that has been removed after its LeaveRequest.
    LeaveReply,
};

/// What an instance without a log says about the first start of its cluster. Builds that do not say it count as permitted.
enum class FirstStart : std::uint8_t {
    /// It may start the cluster.
    Permitted,
    /// It may not, and has not heard of a cluster since its process started.
    NotPermitted,
    /// It has heard of a cluster that was started.
    ClusterSeen,
};

/// A message between replicas. The meaning of the general fields depends on the kind.
struct RaftMessage {
    RaftKind kind = RaftKind::Append;
    ReplicaId from;
    /// The store is 0 when the sender does not know it; this is allowed only in join messages.
    ReplicaId to;
    Term term;
    /// Append: index of the entry before the first one sent. Vote, PreVote: index of the candidate's last entry. Replies: index
    /// of the last entry that is known to match. SnapshotChunk and its reply: index of the snapshot.
    LogIndex index;
    Term logTerm;
    LogIndex commit;
    bool isRejected = false;
    std::vector<LogEntry> entries;
    /// The time of sending on the sender's clock; the receiver only returns it in echo.
    Instant sentAt {};
    /// Identifies one run of the sender's process, because its clock may start anew after a restart.
    std::uint64_t session = 0;
    /// The last sentAt that the sender received from the receiver, and the session of that message.
    std::optional<Instant> echo;
    std::uint64_t echoSession = 0;
    /// Append: the time since a quorum confirmed the leader; every change accepted before the confirmation has at most the index
    /// in commit. Absent without a confirmation.
    std::optional<Duration> confirmedAge;
    /// SnapshotChunk: position of data, size of the whole snapshot. SnapshotReply: bytes received so far.
    std::uint64_t offset = 0;
    std::uint64_t total = 0;
    std::vector<std::uint8_t> data;
    /// SnapshotChunk: the parts of the snapshot besides its state.
    Membership membership;
    Duration time {};
    /// JoinRequest, JoinReply: see raftjoin.h.
    std::uint64_t round = 0;
    std::uint64_t challenge = 0;
    bool isEmpty = false;
    /// JoinReply: instances that the sender knows to be or to have been members; it includes itself if it is a member.
    std::vector<InstanceId> contacts;
    /// JoinReply: see raftjoin.h.
    FirstStart firstStart = FirstStart::Permitted;
};

/// Consecutive number of a write of a RaftCore.
using WriteNumber = Id<struct WriteTag, std::uint64_t>;

/// The actions for the caller of RaftCore, in this order: write, apply, send. After a sync of the writes, it calls persisted().
struct RaftOutput {
    /// Set when there are writes: hard state, then snapshot, then entries.
    std::optional<WriteNumber> write;
    std::optional<HardState> hardState;
    /// A snapshot that replaces the log and the state.
    SnapshotPointer install;
    /// Entries to append; they replace all entries from the index of the first.
    std::vector<LogEntry> append;
    /// Committed entries to apply, each exactly once and in order.
    std::vector<LogEntry> committed;
    /// Messages that may be sent before the write is synced.
    std::vector<RaftMessage> messages;
};

/// Times of the consensus core.
struct RaftTiming {
    /// Interval of the appends of an idle leader.
    Duration heartbeat = std::chrono::milliseconds(250);
    /// A follower without contact to a leader for this time, plus a random time of up to half of it, requests votes.
    /// A leader without contact to a quorum for this time steps down.
    Duration election = std::chrono::milliseconds(1000);
    /// Replaces the election timeout of a replica that has not known a leader since its start: its pre-votes are half of this time
    /// apart, plus a third of this time for each member before it in the membership. When absent, the election timeout applies.
    /// A working leader is not affected, because its followers reject the pre-vote.
    std::optional<Duration> firstElection;
    /// Interval of the join requests of a replica that is not a member.
    Duration join = std::chrono::milliseconds(500);
};

}
