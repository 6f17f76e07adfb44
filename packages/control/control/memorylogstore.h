#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "base/random.h"
#include "control/logstore.h"

namespace Galenabarrow::Control
{

/// The simulated disk of a MemoryLogStore; outlives the store like a disk outlives a process. For tests.
class MemoryDisk
{
public:
    /// Creates a disk with an unused store.
    explicit MemoryDisk(Incarnation incarnation);
    /// Simulates a crash of the machine: a random number of the last unsynced writes is lost.
    void crash(RandomSource &random);
    /// Number of writes that are not synced.
    std::size_t unsyncedCount() const;

private:
    friend class MemoryLogStore;
    void queueWrite(std::function<void(StoreContents &)> write);

    StoreContents m_durable;
    std::vector<std::function<void(StoreContents &)>> m_unsynced;
};

/// A store on a MemoryDisk.
class MemoryLogStore final : public LogStore
{
public:
    explicit MemoryLogStore(std::shared_ptr<MemoryDisk> disk);
    Result<StoreContents> load() override;
    Result<void> writeHardState(const HardState &state) override;
    Result<void> append(std::span<const LogEntry> entries) override;
    Result<void> saveSnapshot(const Snapshot &snapshot, std::span<const LogEntry> entries) override;
    Result<void> rewrite(const StoreContents &contents) override;
    Result<void> sync() override;

private:
    std::shared_ptr<MemoryDisk> m_disk;
};

}
