#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "membership/record.h"

namespace Galenabarrow::Membership
{

/// Lifetimes and size of a table.
struct TableLimits {
    /// A record is removed when its announcer has been silent for this long.
    Duration lease = std::chrono::seconds(10);
    /// A removed record is kept as a tombstone for this long, so that a late, older announcement cannot undo a drain.
    Duration tombstoneLifetime = std::chrono::hours(1);
    /// Live records and tombstones; further announcers are rejected.
    std::size_t maxRecords = 20000;
};

/// Effect of an announcement on a table.
enum class Change : std::uint8_t {
    /// No effect: it was not newer, its lease had ended, it was a load report of an unknown announcer, or the table is full.
    None,
    /// The lease was renewed; the load may have changed.
    Load,
    /// The record is new, its body changed, or it became live again.
    State,
    /// The announcer is now known to be leaving.
    Leaving,
};

/// The records that one instance knows. The result does not depend on the order in which records arrive.
class MembershipTable
{
public:
    explicit MembershipTable(const TableLimits &limits);

    /// Merges a record. Within one incarnation the newer body and the newer load win, and a leaving flag stays set.
    Change apply(const Record &record, Instant now);
    /// Merges a load report of a known announcer.
    Change apply(const LoadUpdate &update, Instant now);
    /// Sets the leaving flag of a live record; false when there is none.
    bool markLeaving(const RecordKey &key, Instant now);
    /// Removes records whose lease has ended, and returns their keys.
    std::vector<RecordKey> expire(Instant now);

    /// A live record; null when there is none. Valid until the next change of the table.
    const Record *find(const RecordKey &key) const;
    /// As find(), but also returns a removed record whose tombstone is still kept.
    const Record *lastKnown(const RecordKey &key) const;
    /// All live records of a kind in the order of their ids. Valid until the next change of the table.
    std::vector<const Record *> live(RecordKind kind) const;
    std::vector<const Record *> live() const;

    /// The live record of an announcerHash(); null when there is none.
    const Record *findAnnouncer(std::uint64_t announcer) const;
    /// Hash over the state versions of all live records; loads do not count.
    std::uint64_t summary() const;

    /// Incremented by each Change::State, Change::Leaving and removal.
    std::uint64_t stateChanges() const;
    /// Incremented by each Change other than Change::None, and by each removal.
    std::uint64_t changes() const;
    Duration lease() const;

private:
    struct Row {
        Record record;
        bool isLive = true;
        Instant removedAt {};
    };

    Change insert(const Record &record);
    Change replace(Row &row, const Record &record);
    Change merge(Row &row, const Record &record);
    Change countChange(Change change);
    void purgeTombstones(Instant now);

    TableLimits m_limits;
    std::map<RecordKey, Row> m_rows;
    std::unordered_map<std::uint64_t, RecordKey> m_announcers;
    std::uint64_t m_stateChanges = 0;
    std::uint64_t m_changes = 0;
};

/// The state version of a record.
StateVersion versionOf(const Record &record);
/// The load report of a record at \p now.
LoadUpdate loadOf(const Record &record, Instant now);

}
