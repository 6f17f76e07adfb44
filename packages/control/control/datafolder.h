#pragma once

#include <filesystem>
#include <optional>
#include <string>

#include "control/codecs.h"
#include "control/disk.h"

namespace Galenabarrow::Control
{

/// A folder with the files of a store, locked against other processes.
class DataFolder
{
public:
    DataFolder(std::filesystem::path path, Disk &disk);
    ~DataFolder();
    DataFolder(const DataFolder &) = delete;
    DataFolder &operator=(const DataFolder &) = delete;

    /// Creates the folder if it does not exist, locks it and makes the names of its files durable, because an earlier process may
    /// have ended between the rename of a file and the sync of the folder. Fails with StoreLocked or StoreWriteFailed.
    Result<void> lock();
    /// The contents of a file; absent when the file does not exist. Fails with StoreCorrupt when it cannot be read.
    Result<std::optional<Bytes>> read(const std::string &name) const;
    /// Replaces a file: writes a temporary file, syncs it, renames it and syncs the folder. Durable on return. Fails with
    /// StoreWriteFailed.
    Result<void> replace(const std::string &name, ByteView content) const;
    std::string pathOf(const std::string &name) const;

private:
    Result<void> prepareFolder() const;
    Result<void> createFolder(const std::filesystem::path &folder) const;
    Result<void> syncFolder(const std::filesystem::path &folder) const;

    std::filesystem::path m_path;
    Disk &m_disk;
    int m_lock = -1;
};

/// A file that is only appended to. All functions fail with StoreWriteFailed.
class AppendFile
{
public:
    explicit AppendFile(Disk &disk);
    ~AppendFile();
    AppendFile(const AppendFile &) = delete;
    AppendFile &operator=(const AppendFile &) = delete;

    /// Opens an existing file, truncates it to \p length and syncs it, because data that a killed process wrote before may not
    /// have reached the disk yet.
    Result<void> open(const std::string &path, std::uint64_t length);
    Result<void> write(ByteView bytes);
    Result<void> sync();

private:
    Disk &m_disk;
    int m_file = -1;
};

}
