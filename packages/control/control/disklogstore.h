#pragma once

#include <filesystem>

#include "control/datafolder.h"
#include "control/logstore.h"
#include "control/record.h"

namespace Galenabarrow::Control
{

/// The store in a data folder: "identity", "snapshot" and "log". The log is a sequence of records; an entry record replaces
/// all entries from its index on, a hard state record replaces the one before.
///
/// A damaged record that no other record proves to have been synced is a torn write: the log is cut there. A damaged
/// record that was synced, a missing file or a damaged snapshot are refused with StoreCorrupt. Damage to the records of
/// the last sync cannot be told from a torn write.
class DiskLogStore final : public LogStore
{
public:
    explicit DiskLogStore(std::filesystem::path folder, DiskSync &sync = systemDiskSync());

    Result<StoreContents> load() override;
    Result<void> writeHardState(const HardState &state) override;
    Result<void> append(std::span<const LogEntry> entries) override;
    Result<void> saveSnapshot(const Snapshot &snapshot, std::span<const LogEntry> entries) override;
    Result<void> sync() override;

    /// Bytes of the torn tail that load() cut off.
    std::uint64_t tornBytes() const;

private:
    Result<Incarnation> loadIdentity();
    Result<Incarnation> createFiles();
    Result<void> loadSnapshot(StoreContents &contents) const;
    Result<void> loadLog(StoreContents &contents);
    Result<void> replay(const Record &record, StoreContents &contents) const;
    Result<void> rewriteLog(std::span<const LogEntry> entries);

    DataFolder m_folder;
    AppendFile m_log;
    HardState m_hardState;
    Bytes m_buffer;
    std::uint64_t m_syncedLength = 0;
    std::uint64_t m_tornBytes = 0;
};

}
