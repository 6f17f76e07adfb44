#include "control/raftcore.h"

#include <algorithm>
#include <cassert>

namespace Galenabarrow::Control
{

namespace
{
/// Larger snapshots are rejected, so that an invalid message cannot exhaust the memory.
constexpr std::uint64_t MaxSnapshotSize = std::uint64_t { 256 } * 1024 * 1024;
}

void RaftCore::followLeader(const RaftMessage &message, Instant now)
{
    assert(m_role != Role::Leader); // a term has one leader
    becomeFollower(message.term, message.from, now);
    m_lastLeaderContactAt = now;
    m_hasKnownLeader = true;
    m_leaderSentAt = std::max(m_leaderSentAt.value_or(message.sentAt), message.sentAt);
    resetElectionTimer(now);
    if (!message.echo || message.echoSession != m_session || !message.confirmedAge) {
        return;
    }
    // The echo is a time that this replica sent before the leader computed the age, so the age counts from the echo.
    const Confirmation confirmation { message.commit, *message.echo - *message.confirmedAge };
    if (!m_confirmation || confirmation.madeAt > m_confirmation->madeAt) {
        m_confirmation = confirmation;
    }
}

void RaftCore::handleAppend(const RaftMessage &message, Instant now)
{
    followLeader(message, now);
    const bool isMatching = message.index <= m_commit || m_log.termAt(message.index) == message.logTerm;
    if (!isMatching) {
        rejectAppend(message, now);
        return;
    }
    storeEntries(message.entries);
    const LogIndex last(message.index.value() + message.entries.size());
    commitTo(std::min(message.commit, last));
    RaftMessage reply = makeReply(RaftKind::AppendReply, message, now);
    reply.index = last;
    sendWhenPersisted(std::move(reply));
}

void RaftCore::rejectAppend(const RaftMessage &message, Instant now)
{
    // Skips all entries of the conflicting term, so that the leader needs one rejection per term instead of one per entry.
    LogIndex hint = std::min(m_log.lastIndex(), LogIndex(message.index.value() - 1));
    const std::optional<Term> conflicting = m_log.termAt(message.index);
    while (conflicting && hint > m_commit && m_log.termAt(hint) == conflicting) {
        hint = LogIndex(hint.value() - 1);
    }
    RaftMessage reply = makeReply(RaftKind::AppendReply, message, now);
    reply.isRejected = true;
    reply.index = hint;
    m_output.messages.push_back(std::move(reply));
}

void RaftCore::storeEntries(const std::vector<LogEntry> &entries)
{
    for (const LogEntry &entry : entries) {
        if (entry.index <= m_commit || m_log.termAt(entry.index) == entry.term) {
            continue; // already in the log; a late message must not remove the entries after it
        }
        if (entry.index <= m_log.lastIndex()) {
            m_log.truncateFrom(entry.index);
            limitStable(m_log.lastIndex());
        }
        m_log.append(entry);
        m_output.append.push_back(entry);
    }
    if (!m_output.append.empty()) {
        scheduleWrite();
    }
}

void RaftCore::limitStable(LogIndex last)
{
    m_stable = std::min(m_stable, last);
    for (Write &write : m_writes) {
        write.lastIndex = std::min(write.lastIndex, last);
    }
}

void RaftCore::handleSnapshotChunk(const RaftMessage &message, Instant now)
{
    followLeader(message, now);
    if (message.index <= m_commit || m_log.termAt(message.index) == message.logTerm) {
        // The log already covers the snapshot; replacing the log could drop synced entries after it.
        commitTo(message.index);
        answerSnapshot(message, message.total, now);
        return;
    }
    if (!m_incomingSnapshot || m_incomingSnapshot->index != message.index || m_incomingSnapshot->term != message.logTerm) {
        m_incomingSnapshot = IncomingSnapshot { message.index, message.logTerm, {} };
    }
    std::vector<std::uint8_t> &state = m_incomingSnapshot->state;
    if (message.offset == state.size() && message.total <= MaxSnapshotSize && message.data.size() <= message.total - message.offset) {
        state.insert(state.end(), message.data.begin(), message.data.end());
    }
    const std::uint64_t received = state.size();
    if (received == message.total) {
        finishSnapshot(message);
    }
    answerSnapshot(message, received, now);
}

void RaftCore::finishSnapshot(const RaftMessage &message)
{
    Snapshot snapshot;
    snapshot.index = message.index;
    snapshot.term = message.logTerm;
    snapshot.time = message.time;
    snapshot.membership = message.membership;
    snapshot.state = std::move(m_incomingSnapshot->state);
    m_incomingSnapshot.reset();
    m_output.install = std::make_shared<const Snapshot>(std::move(snapshot));
    m_log.reset(m_output.install);
    m_commit = message.index;
    limitStable(message.index);
    scheduleWrite();
}

void RaftCore::answerSnapshot(const RaftMessage &message, std::uint64_t offset, Instant now)
{
    RaftMessage reply = makeReply(RaftKind::SnapshotReply, message, now);
    reply.index = message.index;
    reply.offset = offset;
    reply.total = message.total;
    sendWhenPersisted(std::move(reply));
}

void RaftCore::commitTo(LogIndex index)
{
    if (index <= m_commit) {
        return;
    }
    assert(index <= m_log.lastIndex());
    const std::vector<LogEntry> entries = m_log.range(next(m_commit), index);
    m_output.committed.insert(m_output.committed.end(), entries.begin(), entries.end());
    m_commit = index;
}

}
