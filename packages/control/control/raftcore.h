#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/random.h"
#include "control/raftlog.h"
#include "control/raftprogress.h"
#include "control/rafttypes.h"

namespace Galenabarrow::Control
{

/// Maximum size of the snapshot data in one message.
constexpr std::size_t SnapshotChunkSize = std::size_t { 64 } * 1024;
/// Maximum number of replicas of a cluster, including learners.
constexpr std::size_t MaxReplicas = 7;

/// Why a leader has not added a replica that requests to join.
enum class AdmissionRefusal : std::uint8_t {
    /// A replica with the same instance id still responds.
    PreviousReplicaResponds,
    /// The cluster has MaxReplicas replicas.
    ClusterFull,
};

/// A confirmation by a quorum: every change accepted before \c madeAt has at most this index.
struct Confirmation {
    LogIndex index;
    Instant madeAt {};
};

/// Raft (Ongaro and Ousterhout, 2014) without I/O: pre-vote, check quorum, learners, membership changes by one replica,
/// snapshots in chunks, and reads that a quorum confirms.
///
/// A message that depends on a write (a vote, the acknowledgement of entries or of an installed snapshot) is sent only after
/// persisted() was called for this write.
class RaftCore
{
public:
    enum class Role : std::uint8_t { Follower, PreCandidate, Candidate, Leader };

    /// The position of a proposal in the log; the proposal is accepted if the committed entry at this index has this term.
    struct Position {
        LogIndex index;
        Term term;
    };

    /// \p snapshot is null for a store without one. \p random must outlive the core.
    RaftCore(ReplicaId self, RaftTiming timing, RandomSource &random, HardState hardState, SnapshotPointer snapshot,
             std::vector<LogEntry> entries, Instant now);

    RaftOutput tick(Instant now);
    /// Ignores join messages and messages to other replicas.
    RaftOutput receive(const RaftMessage &message, Instant now);
    /// Appends a command on the leader; returns nothing on other replicas. \p output receives the output.
    std::optional<Position> propose(std::vector<std::uint8_t> command, Instant now, RaftOutput &output);
    /// Reports that all writes up to \p number are synced.
    RaftOutput persisted(WriteNumber number, Instant now);
    /// Records on the leader that \p member, which has proved to be alive, requests to become a replica.
    void addJoiner(const Member &member, Instant now);
    /// The replicas that were not added since the last call, with the reason of the last refusal.
    std::map<ReplicaId, AdmissionRefusal> takeRefusedJoiners();
    /// Sets the replicas that a leader removes from the membership when they no longer respond.
    void setRetiredReplicas(std::vector<ReplicaId> retired);
    /// Sets the number of voters of a complete cluster. While there are more members, the leader keeps the number of voters odd, and
    /// replaces those that no longer respond or that leave. 0 (the default): every learner becomes a voter, and none is replaced.
    void setVoterTarget(std::size_t voters);
    /// Requests that the leader removes this replica as soon as another one can take its place; for a planned stop.
    void startLeaving();
    /// Whether this replica is known to be no member any more, so that its end loses no vote.
    bool hasLeft() const;
    /// Whether this leader is in the middle of replacing a voter, with an even number of voters. An acknowledgement that is given now may
    /// not survive as many losses as the complete cluster does; this lasts at most an election timeout.
    bool isReplacingVoter() const;
    /// Starts a cluster with this replica as the only voter; the store must be unused.
    RaftOutput bootstrap(std::uint32_t target, std::vector<std::uint8_t> state, const std::string &address, Instant now);
    /// Creates a snapshot of \p state, the state after the last committed entry that was returned, and drops the entries more
    /// than \p keep before its index.
    SnapshotPointer compact(std::vector<std::uint8_t> state, std::uint64_t keep);

    const ReplicaId &self() const;
    Role role() const;
    Term term() const;
    /// The leader of the current term, if known.
    const std::optional<ReplicaId> &leader() const;
    LogIndex commitIndex() const;
    const RaftLog &log() const;
    /// The newest confirmation; a follower receives it from the leader. Absent when there was none.
    std::optional<Confirmation> confirmation(Instant now) const;

private:
    /// A write that is not synced yet.
    struct Write {
        WriteNumber number;
        LogIndex lastIndex;
        std::vector<RaftMessage> messages;
    };
    struct IncomingSnapshot {
        LogIndex index;
        Term term;
        std::vector<std::uint8_t> state;
    };
    struct Joiner {
        Member member;
        Instant provenAt {};
    };

    // election
    void becomeFollower(Term term, std::optional<ReplicaId> leader, Instant now);
    void startPreVote(Instant now);
    void startElection(Instant now);
    void countVotes(Instant now);
    void becomeLeader(Instant now);
    bool isLeaderAlive(Instant now) const;
    bool isUpToDate(const RaftMessage &message) const;
    void resetElectionTimer(Instant now);
    Duration firstElectionDelay();
    void stepDownWithoutQuorum(Instant now);
    bool acceptTerm(const RaftMessage &message, Instant now);
    void handlePreVote(const RaftMessage &message, Instant now);
    void handleVote(const RaftMessage &message, Instant now);
    void handleVoteReply(const RaftMessage &message, Instant now);

    // replication on the follower
    void followLeader(const RaftMessage &message, Instant now);
    void handleAppend(const RaftMessage &message, Instant now);
    void rejectAppend(const RaftMessage &message, Instant now);
    void storeEntries(const std::vector<LogEntry> &entries);
    /// Limits the synced index, also of pending writes, to \p last, because later entries were truncated or replaced.
    void limitStable(LogIndex last);
    void handleSnapshotChunk(const RaftMessage &message, Instant now);
    void finishSnapshot(const RaftMessage &message);
    void answerSnapshot(const RaftMessage &message, std::uint64_t offset, Instant now);
    void commitTo(LogIndex index);

    // replication on the leader
    void appendEntry(LogEntry entry, Instant now);
    void broadcast(Instant now);
    void sendHeartbeats(Instant now);
    void sendAppend(const ReplicaId &to, Progress &row, Instant now);
    void sendChunk(const ReplicaId &to, Progress &row, Instant now);
    Progress *recordContact(const RaftMessage &message, Instant now);
    void handleAppendReply(const RaftMessage &message, Instant now);
    void handleSnapshotReply(const RaftMessage &message, Instant now);
    void advanceCommit(Instant now);

    // membership on the leader
    void manageMembership(Instant now);
    bool promoteLearner(const std::vector<ReplicaId> &learners, Instant now);
    bool hasCaughtUp(Progress &row, Instant now) const;
    /// The learners that may become voters now. To be called once in each check, since it starts new rounds of catching up.
    std::vector<ReplicaId> promotableLearners(Instant now);
    bool isVoterLeaving() const;
    /// Makes an even number of voters odd when no learner can be promoted.
    bool demoteExcessVoter(Instant now);
    void setVoter(const ReplicaId &id, bool isVoter, Instant now);
    bool admitJoiner(Instant now);
    bool removeReplica(const std::vector<ReplicaId> &learners, Instant now);
    std::optional<ReplicaId> findRemovable(const std::vector<ReplicaId> &learners, Instant now);
    void proposeMembership(Membership membership, Instant now);

    // leaving
    void requestLeave(Instant now);
    void handleLeaveRequest(const RaftMessage &message, Instant now);
    void handleLeaveReply(const RaftMessage &message, Instant now);

    // output
    RaftMessage makeMessage(RaftKind kind, const ReplicaId &to, Instant now) const;
    RaftMessage makeReply(RaftKind kind, const RaftMessage &request, Instant now) const;
    void sendWhenPersisted(RaftMessage message);
    Write &scheduleWrite();
    void writeHardState();
    RaftOutput takeOutput();

    ReplicaId m_self;
    RaftTiming m_timing;
    RandomSource &m_random;
    std::uint64_t m_session;
    HardState m_hardState;
    RaftLog m_log;
    Role m_role = Role::Follower;
    std::optional<ReplicaId> m_leader;
    LogIndex m_commit;
    /// The last entry that is known to be synced on this replica.
    LogIndex m_stable;
    Instant m_electionDeadline {};
    std::optional<Instant> m_lastLeaderContactAt;
    /// This process has known a leader or has been the leader.
    bool m_hasKnownLeader = false;
    /// Elections that this replica started before it knew a leader.
    unsigned m_failedElections = 0;
    std::set<ReplicaId> m_votes;
    /// The newest sentAt of the leader of this term; returned to it as echo.
    std::optional<Instant> m_leaderSentAt;
    std::optional<Confirmation> m_confirmation;
    std::optional<IncomingSnapshot> m_incomingSnapshot;

    ProgressTable m_progress;
    LogIndex m_termStart;
    Instant m_electedAt {};
    Duration m_timeBase {};
    std::map<InstanceId, Joiner> m_joiners;
    std::map<ReplicaId, AdmissionRefusal> m_refusedJoiners;
    std::vector<ReplicaId> m_retired;
    std::size_t m_voterTarget = 0;
    /// Members that have told this leader that they leave.
    std::set<ReplicaId> m_leaving;
    std::optional<Instant> m_replacementStartedAt;
    /// This replica leaves.
    bool m_isLeaving = false;
    bool m_hasLeft = false;
    std::optional<Instant> m_leaveRequestedAt;

    WriteNumber m_lastWrite;
    std::deque<Write> m_writes;
    RaftOutput m_output;
};

}
