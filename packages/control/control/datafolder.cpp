#include "control/datafolder.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

#include <fcntl.h>

namespace Galenabarrow::Control
{

namespace
{

constexpr std::size_t ReadBufferBytes = 16384;

tl::unexpected<Error> writeFailed(const std::string &what)
{
    return failure(ResultCode::StoreWriteFailed, what + ": " + std::system_category().message(errno));
}

Result<void> writeAll(int file, ByteView bytes, Disk &disk)
{
    while (!bytes.empty()) {
        const ssize_t written = disk.write(file, bytes);
        if (written < 0 && errno != EINTR) {
            return writeFailed("cannot write to the data folder");
        }
        bytes = bytes.subspan(written < 0 ? 0 : static_cast<std::size_t>(written));
    }
    return {};
}

Result<void> writeAndSync(const std::string &path, ByteView content, Disk &disk)
{
    const int file = disk.open(path, O_WRONLY | O_CREAT | O_TRUNC);
    if (file < 0) {
        return writeFailed("cannot create " + path);
    }
    Result<void> done = writeAll(file, content, disk);
    if (done && !disk.syncAll(file)) {
        done = writeFailed("cannot sync " + path);
    }
    disk.close(file);
    return done;
}

}

DataFolder::DataFolder(std::filesystem::path path, Disk &disk)
    : m_path(std::move(path))
    , m_disk(disk)
{
}

DataFolder::~DataFolder()
{
    if (m_lock >= 0) {
        m_disk.close(m_lock);
    }
}

Result<void> DataFolder::lock()
{
    const std::string path = pathOf("lock");
    m_lock = m_disk.open(path, O_RDWR);
    if (m_lock < 0 && errno == ENOENT) {
        // Created last, so that the name of a folder with a lock file is durable.
        if (Result<void> prepared = prepareFolder(); !prepared) {
            return prepared;
        }
        m_lock = m_disk.open(path, O_RDWR | O_CREAT);
    }
    if (m_lock < 0) {
        return writeFailed("cannot open the lock file in " + m_path.string());
    }
    if (!m_disk.lock(m_lock)) {
        return failure(ResultCode::StoreLocked, "another process has locked " + m_path.string());
    }
    return syncFolder(m_path);
}

Result<std::optional<Bytes>> DataFolder::read(const std::string &name) const
{
    const int file = m_disk.open(pathOf(name), O_RDONLY);
    if (file < 0 && errno == ENOENT) {
        return std::nullopt;
    }
    Bytes content;
    std::array<std::uint8_t, ReadBufferBytes> buf {};
    ssize_t n = file < 0 ? -1 : m_disk.read(file, buf);
    while (n > 0 || (n < 0 && file >= 0 && errno == EINTR)) {
        content.insert(content.end(), buf.begin(), buf.begin() + std::max<ssize_t>(n, 0));
        n = m_disk.read(file, buf);
    }
    const std::string reason = n < 0 ? std::system_category().message(errno) : "";
    if (file >= 0) {
        m_disk.close(file);
    }
    if (n < 0) {
        return failure(ResultCode::StoreCorrupt, "cannot read " + pathOf(name) + ": " + reason);
    }
    return content;
}

Result<void> DataFolder::replace(const std::string &name, ByteView content) const
{
    const std::string temporary = pathOf(name + ".new");
    Result<void> written = writeAndSync(temporary, content, m_disk);
    if (!written) {
        return written;
    }
    if (!m_disk.rename(temporary, pathOf(name))) {
        return writeFailed("cannot rename " + temporary);
    }
    return syncFolder(m_path);
}

std::string DataFolder::pathOf(const std::string &name) const
{
    return (m_path / name).string();
}

Result<void> DataFolder::prepareFolder() const
{
    const std::filesystem::path folder = (std::filesystem::absolute(m_path) / "").lexically_normal().parent_path();
    if (Result<void> created = createFolder(folder); !created) {
        return created;
    }
    // An earlier process may have ended between the creation of a folder and the sync of its parent. A parent that this process
    // may not sync is not one in which it has created a folder, so the error is no failure.
    for (auto it = folder; it.has_relative_path() && syncFolder(it.parent_path()); it = it.parent_path()) { }
    return {};
}

Result<void> DataFolder::createFolder(const std::filesystem::path &folder) const
{
    const int existing = m_disk.open(folder.string(), O_RDONLY | O_DIRECTORY);
    if (existing >= 0) {
        m_disk.close(existing);
        return {};
    }
    if (errno != ENOENT) {
        return writeFailed("cannot open " + folder.string());
    }
    const std::filesystem::path parent = folder.parent_path();
    return createFolder(parent).and_then([&]() -> Result<void> {
        const bool exists = m_disk.createFolder(folder.string()) || errno == EEXIST;
        return exists ? syncFolder(parent) : writeFailed("cannot create " + folder.string());
    });
}

Result<void> DataFolder::syncFolder(const std::filesystem::path &folder) const
{
    const int file = m_disk.open(folder.string(), O_RDONLY | O_DIRECTORY);
    if (file < 0) {
        return writeFailed("cannot open " + folder.string());
    }
    const bool isSynced = m_disk.syncAll(file);
    Result<void> done = isSynced ? Result<void>() : writeFailed("cannot sync " + folder.string());
    m_disk.close(file);
    return done;
}

AppendFile::AppendFile(Disk &disk)
    : m_disk(disk)
{
}

AppendFile::~AppendFile()
{
    if (m_file >= 0) {
        m_disk.close(m_file);
    }
}

Result<void> AppendFile::open(const std::string &path, std::uint64_t length)
{
    if (m_file >= 0) {
        m_disk.close(m_file);
    }
    m_file = m_disk.open(path, O_WRONLY | O_APPEND);
    if (m_file < 0 || !m_disk.truncate(m_file, length)) {
        return writeFailed("cannot open " + path);
    }
    return sync();
}

Result<void> AppendFile::write(ByteView bytes)
{
    return writeAll(m_file, bytes, m_disk);
}

Result<void> AppendFile::sync()
{
    if (!m_disk.syncData(m_file)) {
        return writeFailed("cannot sync the log");
    }
    return {};
}

}
