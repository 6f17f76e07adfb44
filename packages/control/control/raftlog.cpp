#include "control/raftlog.h"

#include <algorithm>
#include <cassert>

namespace Galenabarrow::Control
{

namespace
{
constexpr std::size_t EntryOverhead = 64; // bytes of an encoded entry besides its command
}

RaftLog::RaftLog(SnapshotPointer snapshot, std::vector<LogEntry> entries)
{
    reset(std::move(snapshot));
    if (!entries.empty()) {
        // Entries from before the snapshot's index move the base back. The term of the entry at that base is not known.
        m_baseIndex = LogIndex(std::min(m_baseIndex.value(), entries.front().index.value() - 1));
        if (m_snapshot != nullptr && m_baseIndex != m_snapshot->index) {
            m_baseTerm = entries.front().term;
        }
    }
    for (LogEntry &entry : entries) {
        append(std::move(entry));
    }
}

LogIndex RaftLog::baseIndex() const
{
    return m_baseIndex;
}

LogIndex RaftLog::lastIndex() const
{
    return m_entries.empty() ? m_baseIndex : m_entries.back().index;
}

Term RaftLog::lastTerm() const
{
    return m_entries.empty() ? m_baseTerm : m_entries.back().term;
}

Duration RaftLog::lastTime() const
{
    return m_entries.empty() ? m_baseTime : m_entries.back().time;
}

std::optional<Term> RaftLog::termAt(LogIndex index) const
{
    if (m_snapshot != nullptr && index == m_snapshot->index) {
        return m_snapshot->term;
    }
    if (index == LogIndex() && m_baseIndex == LogIndex()) {
        return Term();
    }
    if (index <= m_baseIndex || index > lastIndex()) {
        return std::nullopt;
    }
    return at(index).term;
}

const LogEntry &RaftLog::at(LogIndex index) const
{
    assert(index > m_baseIndex && index <= lastIndex());
    return m_entries[index.value() - m_baseIndex.value() - 1];
}

std::vector<LogEntry> RaftLog::after(LogIndex index, std::size_t maxBytes) const
{
    std::vector<LogEntry> entries;
    std::size_t bytes = 0;
    for (LogIndex it = next(index); it <= lastIndex(); it = next(it)) {
        const LogEntry &entry = at(it);
        bytes += entry.command.size() + EntryOverhead;
        if (!entries.empty() && bytes > maxBytes) {
            break;
        }
        entries.push_back(entry);
    }
    return entries;
}

std::vector<LogEntry> RaftLog::range(LogIndex first, LogIndex last) const
{
    std::vector<LogEntry> entries;
    for (LogIndex it = first; it <= last; it = next(it)) {
        entries.push_back(at(it));
    }
    return entries;
}

void RaftLog::append(LogEntry entry)
{
    assert(entry.index == next(lastIndex()));
    recordMembership(entry);
    m_entries.push_back(std::move(entry));
}

void RaftLog::truncateFrom(LogIndex index)
{
    assert(index > m_baseIndex);
    while (lastIndex() >= index) {
        m_entries.pop_back();
    }
    while (m_memberships.size() > 1 && m_memberships.back().first >= index) {
        m_memberships.pop_back();
    }
}

void RaftLog::reset(SnapshotPointer snapshot)
{
    m_snapshot = std::move(snapshot);
    m_entries.clear();
    m_memberships.clear();
    m_baseIndex = m_snapshot == nullptr ? LogIndex() : m_snapshot->index;
    m_baseTerm = m_snapshot == nullptr ? Term() : m_snapshot->term;
    m_baseTime = m_snapshot == nullptr ? Duration {} : m_snapshot->time;
    m_memberships.emplace_back(m_baseIndex, m_snapshot == nullptr ? Membership {} : m_snapshot->membership);
}

void RaftLog::compact(SnapshotPointer snapshot, std::uint64_t keep)
{
    assert(snapshot->index <= lastIndex());
    m_snapshot = std::move(snapshot);
    while (!m_entries.empty() && m_entries.front().index.value() + keep <= m_snapshot->index.value()) {
        m_baseIndex = m_entries.front().index;
        m_baseTerm = m_entries.front().term;
        m_baseTime = m_entries.front().time;
        m_entries.pop_front();
    }
    // The membership at the snapshot's index remains as the oldest one. Entries before that index can no longer be truncated.
    const auto newer =
        std::find_if(m_memberships.begin(), m_memberships.end(), [this](const auto &it) { return it.first > m_snapshot->index; });
    if (newer != m_memberships.begin()) {
        m_memberships.erase(m_memberships.begin(), newer - 1);
    }
}

const SnapshotPointer &RaftLog::snapshot() const
{
    return m_snapshot;
}

const Membership &RaftLog::membership() const
{
    return m_memberships.back().second;
}

const Membership &RaftLog::membershipAt(LogIndex index) const
{
    const auto newer = std::find_if(m_memberships.begin() + 1, m_memberships.end(), [index](const auto &it) { return it.first > index; });
    return (newer - 1)->second;
}

LogIndex RaftLog::membershipIndex() const
{
    return m_memberships.back().first;
}

void RaftLog::recordMembership(const LogEntry &entry)
{
    const bool isInSnapshot = m_snapshot != nullptr && entry.index <= m_snapshot->index;
    if (entry.kind == EntryKind::MembershipChange && !isInSnapshot) {
        m_memberships.emplace_back(entry.index, entry.membership);
    }
}

}
