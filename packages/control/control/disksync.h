#pragma once

namespace Galenabarrow::Control
{

/// The system calls that make files durable. Tests replace them to learn what a loss of power would leave. Both functions
/// return true on success and set errno otherwise.
class DiskSync
{
public:
    virtual ~DiskSync() = default;
    /// Makes a whole file, or the names in a folder, durable.
    virtual bool syncAll(int file) = 0;
    /// Makes the contents and the length of a file durable.
    virtual bool syncData(int file) = 0;
};

/// The system calls of the machine.
class SystemDiskSync final : public DiskSync
{
public:
    bool syncAll(int file) override;
    bool syncData(int file) override;
};

/// The one that stores use unless they are given another.
DiskSync &systemDiskSync();

}
