#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "membership/record.h"

namespace Galenabarrow::Membership
{

/// Times and sizes of a table.
struct TableLimits {
    /// A record whose announcer was not heard for this long is removed.
    Duration lease = std::chrono::seconds(10);
    /// A removed record is remembered for this long, so that a late older announcement cannot undo a drain.
    Duration tombstoneLife = std::chrono::hours(1);
    /// Live and remembered records; an unknown announcer beyond this is refused.
    std::size_t maxRecords = 20000;
};

/// What a table did with an announcement.
enum class Change : std::uint8_t {
    /// Nothing: it was not newer.
    None,
    /// The announcer was heard; its load may have changed.
    Load,
    /// The record is new, or its body changed, or it was live again.
    State,
    /// The announcer began to leave.
    Leaving,
};

/// The records that one instance knows. Any order of arrival gives the same table.
class MembershipTable
{
public:
    explicit MembershipTable(const TableLimits &limits);

    /// Merges a record. Within one incarnation the newer body and the newer load win, and a leaving flag stays.
    Change apply(const Record &record, Instant now);
    /// Merges a load report of a known announcer.
    Change apply(const LoadUpdate &update, Instant now);
    /// Sets the leaving flag of a live record; false when there is none.
    bool markLeaving(const RecordKey &key, Instant now);
    /// Removes records whose lease has ended, and returns their keys.
    std::vector<RecordKey> expire(Instant now);

    /// A live record; null when there is none. Valid until the next change of the table.
    const Record *find(const RecordKey &key) const;
    /// As find(), but also a removed record that is still remembered.
    const Record *lastKnown(const RecordKey &key) const;
    /// All live records of a kind in the order of their ids. Valid until the next change of the table.
    std::vector<const Record *> live(RecordKind kind) const;
    std::vector<const Record *> live() const;

    /// The live record of an announcerHash(); null when there is none.
    const Record *findAnnouncer(std::uint64_t announcer) const;
    /// Equal for tables with the same live records in the same state, whatever their loads.
    std::uint64_t summary() const;

    /// Rises with each Change::State, Change::Leaving and removal.
    std::uint64_t stateChanges() const;
    /// Rises with each change.
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
