#include "control/raftcore.h"

#include <algorithm>
#include <utility>

namespace Galenabarrow::Control
{

namespace
{

/// The first elections of consecutive members are firstElection / FirstElectionSteps apart: an election takes two round trips
/// between data centres and two syncs, some milliseconds each.
constexpr int FirstElectionSteps = 3;
/// Limits the doubling of the step: steps of 50 ms grow to 400 ms, longer than an election with syncs of 60 ms.
constexpr unsigned MaxStepDoublings = 3;

}

void RaftCore::becomeFollower(Term term, std::optional<ReplicaId> leader, Instant now)
{
    if (term > m_hardState.term) {
        m_hardState = HardState { term, std::nullopt };
        m_leaderSentAt.reset();
        writeHardState();
    }
    if (m_role != Role::Follower) {
        resetElectionTimer(now);
    }
    m_role = Role::Follower;
    m_leader = std::move(leader);
    m_joiners.clear();
    m_leaving.clear();
    m_replacementStartedAt.reset();
}

void RaftCore::startPreVote(Instant now)
{
    m_leader.reset();
    resetElectionTimer(now);
    if (!m_log.membership().isVoter(m_self)) {
        return;
    }
    m_role = Role::PreCandidate;
    m_votes = { m_self };
    for (const Member &member : m_log.membership().members) {
        if (member.isVoter && member.id != m_self) {
            RaftMessage message = makeMessage(RaftKind::PreVote, member.id, now);
            message.term = next(m_hardState.term);
            message.index = m_log.lastIndex();
            message.logTerm = m_log.lastTerm();
            m_output.messages.push_back(std::move(message));
        }
    }
    countVotes(now);
}

void RaftCore::startElection(Instant now)
{
    m_role = Role::Candidate;
    m_hardState = HardState { next(m_hardState.term), m_self };
    m_leaderSentAt.reset();
    m_votes.clear();
    writeHardState();
    ++m_failedElections;
    resetElectionTimer(now);
    for (const Member &member : m_log.membership().members) {
        if (member.isVoter && member.id != m_self) {
            RaftMessage message = makeMessage(RaftKind::Vote, member.id, now);
            message.index = m_log.lastIndex();
            message.logTerm = m_log.lastTerm();
            sendWhenPersisted(std::move(message));
        }
    }
}

void RaftCore::countVotes(Instant now)
{
    const Membership &membership = m_log.membership();
    const auto granted = static_cast<std::size_t>(
        std::count_if(m_votes.begin(), m_votes.end(), [&membership](const ReplicaId &id) { return membership.isVoter(id); }));
    if (granted < membership.quorum()) {
        return;
    }
    if (m_role == Role::PreCandidate) {
        startElection(now);
    } else if (m_role == Role::Candidate) {
        becomeLeader(now);
    }
}

void RaftCore::becomeLeader(Instant now)
{
    m_role = Role::Leader;
    m_leader = m_self;
    m_hasKnownLeader = true;
    m_confirmation.reset();
    m_incomingSnapshot.reset();
    m_progress.reset(m_log.membership(), m_log.lastIndex(), now);
    m_electedAt = now;
    m_timeBase = m_log.lastTime();
    appendEntry(LogEntry {}, now);
    m_termStart = m_log.lastIndex();
    broadcast(now);
}

bool RaftCore::isLeaderAlive(Instant now) const
{
    return m_role == Role::Leader || (m_lastLeaderContactAt && now - *m_lastLeaderContactAt < m_timing.election);
}

bool RaftCore::isUpToDate(const RaftMessage &message) const
{
    return std::pair(message.logTerm, message.index) >= std::pair(m_log.lastTerm(), m_log.lastIndex());
}

void RaftCore::resetElectionTimer(Instant now)
{
    if (m_timing.firstElection && !m_hasKnownLeader) {
        m_electionDeadline = now + firstElectionDelay();
        return;
    }
    const auto extra = m_random.below(static_cast<std::uint64_t>(m_timing.election.count()) / 2 + 1);
    m_electionDeadline = now + m_timing.election + Duration(static_cast<Duration::rep>(extra));
}

Duration RaftCore::firstElectionDelay()
{
    // With random delays that differ by less than the duration of an election, replicas that start together would split their
    // votes. So each member delays its election by its rank in the membership; the steps double with each failed election, for
    // slow disks.
    const std::vector<Member> &members = m_log.membership().members;
    const auto self = std::find_if(members.begin(), members.end(), [this](const Member &it) { return it.id == m_self; });
    const auto rank = self == members.end() ? 0 : self - members.begin();
    const Duration step = *m_timing.firstElection * (1U << std::min(m_failedElections, MaxStepDoublings)) / FirstElectionSteps;
    const auto extra = m_random.below(static_cast<std::uint64_t>(step.count()) / 4 + 1);
    return *m_timing.firstElection / 2 + step * rank + Duration(static_cast<Duration::rep>(extra));
}

void RaftCore::stepDownWithoutQuorum(Instant now)
{
    if (m_role == Role::Leader && !m_progress.hasQuorumSince(m_log.membership(), now - m_timing.election)) {
        becomeFollower(m_hardState.term, std::nullopt, now);
    }
}

bool RaftCore::acceptTerm(const RaftMessage &message, Instant now)
{
    const bool isPreVote = message.kind == RaftKind::PreVote || (message.kind == RaftKind::PreVoteReply && !message.isRejected);
    if (isPreVote) {
        return true;
    }
    if (message.term > m_hardState.term) {
        if (message.kind == RaftKind::Vote && isLeaderAlive(now)) {
            return false; // a candidate must not depose a working leader
        }
        becomeFollower(message.term, std::nullopt, now);
        return true;
    }
    if (message.term == m_hardState.term) {
        return true;
    }
    // Reports the newer term to a leader of an older one, so that it steps down. Otherwise it would go on leading without this
    // replica, which ignores its messages.
    if (message.kind == RaftKind::Append || message.kind == RaftKind::SnapshotChunk) {
        RaftMessage reply = makeMessage(RaftKind::AppendReply, message.from, now);
        reply.isRejected = true;
        m_output.messages.push_back(std::move(reply));
    }
    return false;
}

void RaftCore::handlePreVote(const RaftMessage &message, Instant now)
{
    const bool isGranted = message.term > m_hardState.term && isUpToDate(message) && !isLeaderAlive(now);
    RaftMessage reply = makeReply(RaftKind::PreVoteReply, message, now);
    reply.isRejected = !isGranted;
    reply.term = isGranted ? message.term : m_hardState.term;
    m_output.messages.push_back(std::move(reply));
}

void RaftCore::handleVote(const RaftMessage &message, Instant now)
{
    const bool isFree = !m_hardState.vote || *m_hardState.vote == message.from;
    const bool isGranted = isFree && isUpToDate(message) && m_role == Role::Follower;
    RaftMessage reply = makeReply(RaftKind::VoteReply, message, now);
    reply.isRejected = !isGranted;
    if (isGranted) {
        if (!m_hardState.vote) {
            m_hardState.vote = message.from;
            writeHardState();
        }
        resetElectionTimer(now);
    }
    sendWhenPersisted(std::move(reply));
}

void RaftCore::handleVoteReply(const RaftMessage &message, Instant now)
{
    const bool isForPreVote = message.kind == RaftKind::PreVoteReply;
    const bool isExpected =
        isForPreVote ? m_role == Role::PreCandidate && message.term == next(m_hardState.term) : m_role == Role::Candidate;
    if (isExpected && !message.isRejected) {
        m_votes.insert(message.from);
        countVotes(now);
    }
}

}
