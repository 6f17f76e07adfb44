#include "control/raftcore.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Galenabarrow::Control
{

RaftCore::RaftCore(ReplicaId self, RaftTiming timing, RandomSource &random, HardState hardState, SnapshotPointer snapshot,
                   std::vector<LogEntry> entries, Instant now)
    : m_self(std::move(self))
    , m_timing(timing)
    , m_random(random)
    , m_session(random.next())
    , m_hardState(std::move(hardState))
    , m_log(std::move(snapshot), std::move(entries))
    , m_stable(m_log.lastIndex())
    , m_progress(m_self)
{
    m_hardState.term = std::max(m_hardState.term, m_log.lastTerm());
    if (m_log.snapshot() != nullptr) {
        m_commit = m_log.snapshot()->index;
    }
    resetElectionTimer(now);
}

RaftOutput RaftCore::tick(Instant now)
{
    stepDownWithoutQuorum(now);
    requestLeave(now);
    if (m_role == Role::Leader) {
        if (m_replacementStartedAt && now - *m_replacementStartedAt >= m_timing.election) {
            m_replacementStartedAt.reset(); // the successor does not respond any more
        }
        manageMembership(now);
    }
    if (m_role == Role::Leader) {
        sendHeartbeats(now);
    } else if (now >= m_electionDeadline) {
        startPreVote(now);
    }
    return takeOutput();
}

RaftOutput RaftCore::receive(const RaftMessage &message, Instant now)
{
    using Handler = void (RaftCore::*)(const RaftMessage &, Instant);
    static const std::map<RaftKind, Handler> Handlers {
        { RaftKind::PreVote, &RaftCore::handlePreVote },
        { RaftKind::PreVoteReply, &RaftCore::handleVoteReply },
        { RaftKind::Vote, &RaftCore::handleVote },
        { RaftKind::VoteReply, &RaftCore::handleVoteReply },
        { RaftKind::Append, &RaftCore::handleAppend },
        { RaftKind::AppendReply, &RaftCore::handleAppendReply },
        { RaftKind::SnapshotChunk, &RaftCore::handleSnapshotChunk },
        { RaftKind::SnapshotReply, &RaftCore::handleSnapshotReply },
        { RaftKind::LeaveRequest, &RaftCore::handleLeaveRequest },
        { RaftKind::LeaveReply, &RaftCore::handleLeaveReply },
    };
    const auto handler = Handlers.find(message.kind);
    if (handler == Handlers.end() || message.to != m_self) {
        return {};
    }
    // A leader whose process was suspended must step down before it handles messages that were queued meanwhile.
    stepDownWithoutQuorum(now);
    // A replica that was removed while it leaves may be in an older term.
    const bool isAboutLeaving = message.kind == RaftKind::LeaveRequest || message.kind == RaftKind::LeaveReply;
    if (isAboutLeaving || acceptTerm(message, now)) {
        (this->*handler->second)(message, now);
    }
    return takeOutput();
}

std::optional<RaftCore::Position> RaftCore::propose(std::vector<std::uint8_t> command, Instant now, RaftOutput &output)
{
    stepDownWithoutQuorum(now);
    std::optional<Position> position;
    if (m_role == Role::Leader) {
        LogEntry entry;
        entry.kind = EntryKind::Proposal;
        entry.command = std::move(command);
        appendEntry(std::move(entry), now);
        position = Position { m_log.lastIndex(), m_hardState.term };
        broadcast(now);
    }
    output = takeOutput();
    return position;
}

RaftOutput RaftCore::persisted(WriteNumber number, Instant now)
{
    while (!m_writes.empty() && m_writes.front().number <= number) {
        Write &write = m_writes.front();
        m_stable = std::max(m_stable, write.lastIndex);
        std::move(write.messages.begin(), write.messages.end(), std::back_inserter(m_output.messages));
        m_writes.pop_front();
    }
    if (m_writes.empty() && m_role == Role::Candidate) {
        // The candidate's vote for itself counts once it is synced.
        m_votes.insert(m_self);
        countVotes(now);
    }
    if (m_role == Role::Leader) {
        advanceCommit(now);
    }
    return takeOutput();
}

SnapshotPointer RaftCore::compact(std::vector<std::uint8_t> state, std::uint64_t keep)
{
    Snapshot snapshot;
    snapshot.index = m_commit;
    snapshot.term = m_log.termAt(m_commit).value();
    snapshot.time = m_log.at(m_commit).time;
    snapshot.membership = m_log.membershipAt(m_commit);
    snapshot.state = std::move(state);
    auto pointer = std::make_shared<const Snapshot>(std::move(snapshot));
    m_log.compact(pointer, keep);
    return pointer;
}

const ReplicaId &RaftCore::self() const
{
    return m_self;
}

RaftCore::Role RaftCore::role() const
{
    return m_role;
}

Term RaftCore::term() const
{
    return m_hardState.term;
}

const std::optional<ReplicaId> &RaftCore::leader() const
{
    return m_leader;
}

LogIndex RaftCore::commitIndex() const
{
    return m_commit;
}

const RaftLog &RaftCore::log() const
{
    return m_log;
}

std::optional<Confirmation> RaftCore::confirmation(Instant now) const
{
    if (m_role != Role::Leader) {
        return m_confirmation;
    }
    // Before an entry of its own term is committed, a leader may not know of every accepted change.
    const std::optional<Instant> confirmedAt = m_progress.quorumEcho(m_log.membership(), now);
    if (m_commit < m_termStart || !confirmedAt) {
        return std::nullopt;
    }
    return Confirmation { m_commit, *confirmedAt };
}

RaftMessage RaftCore::makeMessage(RaftKind kind, const ReplicaId &to, Instant now) const
{
    RaftMessage message;
    message.kind = kind;
    message.from = m_self;
    message.to = to;
    message.term = m_hardState.term;
    message.sentAt = now;
    message.session = m_session;
    return message;
}

RaftMessage RaftCore::makeReply(RaftKind kind, const RaftMessage &request, Instant now) const
{
    RaftMessage reply = makeMessage(kind, request.from, now);
    reply.echo = m_leaderSentAt;
    return reply;
}

void RaftCore::sendWhenPersisted(RaftMessage message)
{
    if (m_writes.empty()) {
        m_output.messages.push_back(std::move(message));
    } else {
        m_writes.back().messages.push_back(std::move(message));
    }
}

RaftCore::Write &RaftCore::scheduleWrite()
{
    if (!m_output.write) {
        m_lastWrite = next(m_lastWrite);
        m_output.write = m_lastWrite;
        m_writes.push_back(Write { m_lastWrite, {}, {} });
    }
    m_writes.back().lastIndex = m_log.lastIndex();
    return m_writes.back();
}

void RaftCore::writeHardState()
{
    m_output.hardState = m_hardState;
    scheduleWrite();
}

RaftOutput RaftCore::takeOutput()
{
    return std::exchange(m_output, {});
}

}
