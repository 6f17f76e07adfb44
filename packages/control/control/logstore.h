#pragma once

#include <span>
#include <vector>

#include "base/resultcode.h"
#include "control/rafttypes.h"

namespace Galenabarrow::Control
{

/// What a store held when it was opened. All of it is synced.
struct StoreContents {
    /// Random, made when the store was created; a new store in the same folder has another one.
    Incarnation incarnation;
    HardState hardState;
    /// Null when there is none.
    SnapshotPointer snapshot;
    /// Consecutive; may begin before the index of the snapshot.
    std::vector<LogEntry> entries;

    /// Nothing was ever written.
    bool isUnused() const;
};

/// Keeps the durable state of a replica. After an error the store must not be used any more: whether the failed write
/// reached the disk is not known.
class LogStore
{
public:
    virtual ~LogStore() = default;
    /// Fails with StoreCorrupt, StoreLocked or StoreWriteFailed. Called once, first.
    virtual Result<StoreContents> load() = 0;
    /// Durable after the next sync.
    virtual Result<void> writeHardState(const HardState &state) = 0;
    /// Replaces all entries from the index of the first on. Durable after the next sync.
    virtual Result<void> append(std::span<const LogEntry> entries) = 0;
    /// Replaces snapshot and log. Durable on return, with the hard state written before.
    virtual Result<void> saveSnapshot(const Snapshot &snapshot, std::span<const LogEntry> entries) = 0;
    virtual Result<void> sync() = 0;
};

/// Brings snapshot and log of a store together after a crash between the two writes of saveSnapshot: entries that end
/// before the snapshot or differ from it are dropped. Fails with StoreCorrupt when entries are missing between the two.
Result<void> reconcile(StoreContents &contents);

}
