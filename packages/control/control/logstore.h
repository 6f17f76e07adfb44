#pragma once

#include <span>
#include <vector>

#include "base/resultcode.h"
#include "control/rafttypes.h"

namespace Galenabarrow::Control
{

/// The contents of a store when it was opened. All of them are synced.
struct StoreContents {
    /// A random number generated when the store was created; a new store in the same folder has another one.
    Incarnation incarnation;
    HardState hardState;
    /// Null without a snapshot.
    SnapshotPointer snapshot;
    /// Consecutive; may begin before the index of the snapshot.
    std::vector<LogEntry> entries;
    /// The instances with which a first start of the cluster was permitted when the store was created, see firststart.h; 0 for none.
    std::uint64_t firstStart = 0;

    /// Nothing was ever written.
    bool isUnused() const;
};

/// Stores the durable state of a replica. The store must not be used after an error, because it is unknown whether the failed
/// write has reached the disk.
class LogStore
{
public:
    virtual ~LogStore() = default;
    /// Has to be the first call, and is called once. Fails with StoreCorrupt, StoreLocked or StoreWriteFailed.
    virtual Result<StoreContents> load() = 0;
    /// Durable after the next sync.
    virtual Result<void> writeHardState(const HardState &state) = 0;
    /// Replaces all entries from the index of the first given one on. Durable after the next sync.
    virtual Result<void> append(std::span<const LogEntry> entries) = 0;
    /// Replaces snapshot and log. Durable on return, like the hard state that was written before.
    virtual Result<void> saveSnapshot(const Snapshot &snapshot, std::span<const LogEntry> entries) = 0;
    /// Writes what load() has returned again. Durable on return; an interruption leaves what was there before.
    virtual Result<void> rewrite(const StoreContents &contents) = 0;
    virtual Result<void> sync() = 0;
};

/// Makes snapshot and log of a store consistent after a crash between the two writes of saveSnapshot: drops all entries if the
/// log ends before the snapshot or conflicts with it. Fails with StoreCorrupt when entries between the two are missing.
Result<void> reconcile(StoreContents &contents);

}
