#pragma once

#include <cstdint>
#include <span>
#include <string>

#include <sys/types.h>

namespace Galenabarrow::Control
{

/// The system calls of a data folder. Tests replace them to interrupt a store between two calls and to simulate a loss of power.
/// On failure, functions that return bool return false, the others -1, with errno set.
class Disk
{
public:
    virtual ~Disk() = default;
    virtual bool createFolder(const std::string &path) = 0;
    /// Opens a file or a folder with the flags of open(2) and returns its descriptor.
    virtual int open(const std::string &path, int flags) = 0;
    virtual void close(int file) = 0;
    /// Locks a file against other processes, without waiting.
    virtual bool lock(int file) = 0;
    /// Returns the number of bytes read, 0 at the end of the file.
    virtual ssize_t read(int file, std::span<std::uint8_t> buffer) = 0;
    /// Returns the number of bytes written.
    virtual ssize_t write(int file, std::span<const std::uint8_t> bytes) = 0;
    virtual bool truncate(int file, std::uint64_t length) = 0;
    virtual bool rename(const std::string &from, const std::string &to) = 0;
    /// Makes a file with its metadata, or the directory entries of a folder, durable.
    virtual bool syncAll(int file) = 0;
    /// Makes the contents and the length of a file durable.
    virtual bool syncData(int file) = 0;
};

/// The disk of the machine.
class SystemDisk : public Disk
{
public:
    bool createFolder(const std::string &path) override;
    int open(const std::string &path, int flags) override;
    void close(int file) override;
    bool lock(int file) override;
    ssize_t read(int file, std::span<std::uint8_t> buffer) override;
    ssize_t write(int file, std::span<const std::uint8_t> bytes) override;
    bool truncate(int file, std::uint64_t length) override;
    bool rename(const std::string &from, const std::string &to) override;
    bool syncAll(int file) override;
    bool syncData(int file) override;
};

/// The instance that stores use by default.
Disk &systemDisk();

}
