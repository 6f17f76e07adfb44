#pragma once

#include <deque>
#include <utility>
#include <vector>

#include "control/rafttypes.h"

namespace Galenabarrow::Control
{

/// The log of a replica in memory: a snapshot and the entries after it (and some before its index, kept for slow
/// followers).
class RaftLog
{
public:
    /// \p snapshot may be null; \p entries must be consecutive.
    RaftLog(SnapshotPointer snapshot, std::vector<LogEntry> entries);

    /// Before the first entry: 0, or the index of the last dropped entry.
    LogIndex baseIndex() const;
    LogIndex lastIndex() const;
    Term lastTerm() const;
    Duration lastTime() const;
    /// The term of the entry at \p index; absent when it was dropped or does not exist. 0 has term 0.
    std::optional<Term> termAt(LogIndex index) const;
    const LogEntry &at(LogIndex index) const;
    /// Entries after \p index, at most about \p maxBytes but always one when there is one.
    std::vector<LogEntry> after(LogIndex index, std::size_t maxBytes) const;
    std::vector<LogEntry> range(LogIndex first, LogIndex last) const;

    void append(LogEntry entry);
    /// Drops the entries from \p index on.
    void truncateFrom(LogIndex index);
    /// Replaces everything by \p snapshot.
    void reset(SnapshotPointer snapshot);
    /// Notes a new snapshot and drops the entries that are more than \p keep before its index.
    void compact(SnapshotPointer snapshot, std::uint64_t keep);

    const SnapshotPointer &snapshot() const;
    /// The newest membership in the log, committed or not: the one that is in force.
    const Membership &membership() const;
    /// The membership as of the entry at \p index, which must not be before the snapshot.
    const Membership &membershipAt(LogIndex index) const;
    /// The index of the newest membership's entry.
    LogIndex membershipIndex() const;

private:
    void recordMembership(const LogEntry &entry);

    SnapshotPointer m_snapshot;
    std::deque<LogEntry> m_entries;
    LogIndex m_baseIndex;
    Term m_baseTerm;
    Duration m_baseTime {};
    /// Memberships by index, oldest first; never empty.
    std::vector<std::pair<LogIndex, Membership>> m_memberships;
};

}
