#pragma once

#include <filesystem>

#include "control/datafolder.h"
#include "control/logstore.h"
#include "control/record.h"

namespace Galenabarrow::Control
{

/// A store in a data folder with the files "identity", "snapshot" and "log". The log is a sequence of records; an entry record
/// replaces all entries from its index on, a hard state record replaces the previous one.
///
/// Each record stores the synced length of the log at the time of its writing. A damaged record beyond every stored synced
/// length counts as a torn write, and the log is truncated there. A damaged record within a synced length, a missing file and
/// a damaged snapshot are reported as StoreCorrupt. Damage to the records of the last sync cannot be distinguished from a torn
/// write.
///
/// Each write can be interrupted between any two operations on the disk. The identity is written last at the creation, so a store
/// without an identity is created anew, with a new one, unless its files show that it was used. The permission of a first start is
/// written before, and stays in a store whose creation was interrupted.
class DiskLogStore final : public LogStore
{
public:
    /// \p firstStart is kept in the store if it is created now.
    explicit DiskLogStore(std::filesystem::path folder, Disk &disk = systemDisk(), std::uint64_t firstStart = 0);

    Result<StoreContents> load() override;
    Result<void> writeHardState(const HardState &state) override;
    Result<void> append(std::span<const LogEntry> entries) override;
    Result<void> saveSnapshot(const Snapshot &snapshot, std::span<const LogEntry> entries) override;
    Result<void> rewrite(const StoreContents &contents) override;
    Result<void> sync() override;

    /// Size in bytes of the torn tail that load() has truncated.
    std::uint64_t tornBytes() const;

private:
    Result<Incarnation> loadIdentity();
    Result<Incarnation> createFiles();
    Result<void> loadFirstStart(StoreContents &contents) const;
    Result<void> loadSnapshot(StoreContents &contents) const;
    Result<void> loadLog(StoreContents &contents);
    Result<void> replay(const Record &record, StoreContents &contents) const;
    Result<void> rewriteLog(std::span<const LogEntry> entries);

    DataFolder m_folder;
    std::uint64_t m_firstStart;
    AppendFile m_log;
    HardState m_hardState;
    Bytes m_buffer;
    std::uint64_t m_syncedLength = 0;
    std::uint64_t m_tornBytes = 0;
};

}
