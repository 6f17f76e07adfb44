#pragma once

namespace Galenabarrow::Control
{

/// The system calls that make files durable. Tests replace them to simulate a loss of power. Both functions return true on
/// success, and false with errno set on failure.
class DiskSync
{
public:
    virtual ~DiskSync() = default;
    /// Makes a file with its metadata, or the directory entries of a folder, durable.
    virtual bool syncAll(int file) = 0;
    /// Makes the contents and the length of a file durable.
    virtual bool syncData(int file) = 0;
};

/// Calls fsync and fdatasync.
class SystemDiskSync final : public DiskSync
{
public:
    bool syncAll(int file) override;
    bool syncData(int file) override;
};

/// The instance that stores use by default.
DiskSync &systemDiskSync();

}
