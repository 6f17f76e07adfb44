#include "control/disk.h"

#include <cstdio>

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace Galenabarrow::Control
{

namespace
{

constexpr mode_t FileMode = 0600; // contracts are confidential
constexpr mode_t FolderMode = 0777; // limited by the umask

}

bool SystemDisk::createFolder(const std::string &path)
{
    return ::mkdir(path.c_str(), FolderMode) == 0;
}

int SystemDisk::open(const std::string &path, int flags)
{
    return ::open(path.c_str(), flags | O_CLOEXEC, FileMode);
}

void SystemDisk::close(int file)
{
    ::close(file);
}

bool SystemDisk::lock(int file)
{
    return ::flock(file, LOCK_EX | LOCK_NB) == 0;
}

ssize_t SystemDisk::read(int file, std::span<std::uint8_t> buffer)
{
    return ::read(file, buffer.data(), buffer.size());
}

ssize_t SystemDisk::write(int file, std::span<const std::uint8_t> bytes)
{
    return ::write(file, bytes.data(), bytes.size());
}

bool SystemDisk::truncate(int file, std::uint64_t length)
{
    return ::ftruncate(file, static_cast<off_t>(length)) == 0;
}

bool SystemDisk::rename(const std::string &from, const std::string &to)
{
    return ::rename(from.c_str(), to.c_str()) == 0;
}

bool SystemDisk::syncAll(int file)
{
    return ::fsync(file) == 0;
}

bool SystemDisk::syncData(int file)
{
    return ::fdatasync(file) == 0;
}

Disk &systemDisk()
{
    static SystemDisk disk;
    return disk;
}

}
