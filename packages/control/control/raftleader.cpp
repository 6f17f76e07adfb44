#include "control/raftcore.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Galenabarrow::Control
{

namespace
{
/// Maximum size of the commands in one append; well below the maximum size of a frame.
constexpr std::size_t MaxAppendBytes = std::size_t { 256 } * 1024;
}

void RaftCore::appendEntry(LogEntry entry, Instant now)
{
    entry.index = next(m_log.lastIndex());
    entry.term = m_hardState.term;
    entry.time = m_timeBase + (now - m_electedAt);
    m_log.append(entry);
    m_output.append.push_back(std::move(entry));
    scheduleWrite();
    m_progress.updateMembers(m_log.membership(), m_log.lastIndex(), now);
}

void RaftCore::broadcast(Instant now)
{
    for (const Member &member : m_log.membership().members) {
        Progress *row = m_progress.find(member.id);
        if (row != nullptr && row->snapshot == nullptr) {
            sendAppend(member.id, *row, now);
        }
    }
}

void RaftCore::sendHeartbeats(Instant now)
{
    for (const Member &member : m_log.membership().members) {
        Progress *row = m_progress.find(member.id);
        if (row == nullptr || now - row->lastSentAt < m_timing.heartbeat) {
            continue;
        }
        if (row->snapshot != nullptr) {
            sendChunk(member.id, *row, now);
        } else {
            sendAppend(member.id, *row, now);
        }
    }
}

void RaftCore::sendAppend(const ReplicaId &to, Progress &row, Instant now)
{
    const LogIndex previous(row.next.value() - 1);
    const std::optional<Term> previousTerm = m_log.termAt(previous);
    if (!previousTerm) {
        row.snapshot = m_log.snapshot();
        row.offset = 0;
        sendChunk(to, row, now);
        return;
    }
    RaftMessage message = makeMessage(RaftKind::Append, to, now);
    message.index = previous;
    message.logTerm = *previousTerm;
    message.commit = m_commit;
    message.entries = m_log.after(previous, MaxAppendBytes);
    message.echo = row.toEcho;
    message.echoSession = row.session;
    if (const std::optional<Confirmation> confirmed = confirmation(now)) {
        message.confirmedAge = now - confirmed->madeAt;
    }
    row.next = LogIndex(row.next.value() + message.entries.size());
    row.lastSentAt = now;
    m_output.messages.push_back(std::move(message));
}

void RaftCore::sendChunk(const ReplicaId &to, Progress &row, Instant now)
{
    const Snapshot &snapshot = *row.snapshot;
    const std::uint64_t length = std::min<std::uint64_t>(SnapshotChunkSize, snapshot.state.size() - row.offset);
    const auto begin = snapshot.state.begin() + static_cast<std::ptrdiff_t>(row.offset);
    RaftMessage message = makeMessage(RaftKind::SnapshotChunk, to, now);
    message.index = snapshot.index;
    message.logTerm = snapshot.term;
    message.time = snapshot.time;
    message.membership = snapshot.membership;
    message.offset = row.offset;
    message.total = snapshot.state.size();
    message.data.assign(begin, begin + static_cast<std::ptrdiff_t>(length));
    row.lastSentAt = now;
    m_output.messages.push_back(std::move(message));
}

Progress *RaftCore::recordContact(const RaftMessage &message, Instant now)
{
    Progress *row = m_role == Role::Leader ? m_progress.find(message.from) : nullptr;
    if (row != nullptr) {
        row->lastContactAt = now;
        row->toEcho = message.sentAt;
        row->session = message.session;
        if (message.echo && (!row->echoed || *message.echo > *row->echoed)) {
            row->echoed = message.echo;
        }
    }
    return row;
}

void RaftCore::handleAppendReply(const RaftMessage &message, Instant now)
{
    Progress *row = recordContact(message, now);
    if (row == nullptr) {
        return;
    }
    if (message.isRejected) {
        // A position before the last match means a late reply, or a replica that lost synced entries. Responding to every such reply
        // would repeat messages endlessly.
        const bool isUseful = message.index >= row->match && next(message.index) < row->next;
        if (row->snapshot == nullptr && isUseful) {
            row->next = next(message.index);
            sendAppend(message.from, *row, now);
        }
        return;
    }
    row->match = std::max(row->match, message.index);
    row->next = std::max(row->next, next(row->match));
    advanceCommit(now);
    row = m_role == Role::Leader ? m_progress.find(message.from) : nullptr; // the commit may have changed the membership
    if (row != nullptr && row->snapshot == nullptr && row->next <= m_log.lastIndex()) {
        sendAppend(message.from, *row, now);
    }
}

void RaftCore::handleSnapshotReply(const RaftMessage &message, Instant now)
{
    Progress *row = recordContact(message, now);
    if (row == nullptr || row->snapshot == nullptr || row->snapshot->index != message.index) {
        return;
    }
    if (message.offset == row->snapshot->state.size()) {
        row->match = std::max(row->match, message.index);
        row->next = next(row->match);
        row->snapshot.reset();
        sendAppend(message.from, *row, now);
        return;
    }
    // Only the reply to the newest chunk may move the offset back; replies to older chunks are outdated.
    const bool isNewest = message.echo && *message.echo >= row->lastSentAt;
    if (message.offset < row->snapshot->state.size() && (message.offset > row->offset || isNewest)) {
        row->offset = message.offset;
        sendChunk(message.from, *row, now);
    }
}

void RaftCore::advanceCommit(Instant now)
{
    const LogIndex index = m_progress.quorumMatch(m_log.membership(), m_stable);
    // Entries of older terms are committed only together with an entry of this term (Raft, section 5.4.2).
    if (index > m_commit && m_log.termAt(index) == m_hardState.term) {
        commitTo(index);
        broadcast(now);
        if (m_replacementStartedAt) {
            manageMembership(now); // without waiting for the next tick
        }
    }
}

RaftOutput RaftCore::bootstrap(std::uint32_t target, std::vector<std::uint8_t> state, const std::string &address, Instant now)
{
    assert(m_log.snapshot() == nullptr && m_log.lastIndex() == LogIndex());
    Snapshot snapshot;
    snapshot.index = LogIndex(1);
    snapshot.term = Term(1);
    snapshot.membership.members = { Member { m_self, address, true } };
    snapshot.membership.target = target;
    snapshot.membership.isFormed = target == 1;
    snapshot.state = std::move(state);
    m_output.install = std::make_shared<const Snapshot>(std::move(snapshot));
    m_log.reset(m_output.install);
    m_commit = LogIndex(1);
    m_hardState.term = std::max(m_hardState.term, Term(1));
    scheduleWrite();
    m_electionDeadline = now;
    return takeOutput();
}

}
