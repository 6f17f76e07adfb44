#pragma once

#include <deque>
#include <utility>
#include <vector>

#include "control/rafttypes.h"

namespace Galenabarrow::Control
{

/// The log of a replica in memory: a snapshot, the entries after it, and some entries before it for followers that lag.
class RaftLog
{
public:
    /// \p snapshot may be null; \p entries must be consecutive.
    RaftLog(SnapshotPointer snapshot, std::vector<LogEntry> entries);

    /// The index before the first entry: 0, or the index of the last dropped entry.
    LogIndex baseIndex() const;
    LogIndex lastIndex() const;
    Term lastTerm() const;
    Duration lastTime() const;
    /// The term of the entry at \p index; absent when the entry was dropped or does not exist. Index 0 has term 0.
    std::optional<Term> termAt(LogIndex index) const;
    const LogEntry &at(LogIndex index) const;
    /// The entries after \p index, limited to about \p maxBytes, but at least one if there is any.
    std::vector<LogEntry> after(LogIndex index, std::size_t maxBytes) const;
    std::vector<LogEntry> range(LogIndex first, LogIndex last) const;

    void append(LogEntry entry);
    /// Removes the entries from \p index on.
    void truncateFrom(LogIndex index);
    /// Replaces the whole log by \p snapshot.
    void reset(SnapshotPointer snapshot);
    /// Sets a new snapshot and drops the entries that are more than \p keep before its index.
    void compact(SnapshotPointer snapshot, std::uint64_t keep);

    const SnapshotPointer &snapshot() const;
    /// The membership in force: the newest one in the log, whether committed or not.
    const Membership &membership() const;
    /// The membership as of the entry at \p index, which must not be before the snapshot.
    const Membership &membershipAt(LogIndex index) const;
    /// The index of the entry with the newest membership.
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
