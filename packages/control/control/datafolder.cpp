#include "control/datafolder.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <system_error>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

namespace Galenabarrow::Control
{

namespace
{

constexpr mode_t FileMode = 0600; // contracts are confidential

tl::unexpected<Error> writeFailed(const std::string &what)
{
    return failure(ResultCode::StoreWriteFailed, what + ": " + std::system_category().message(errno));
}

Result<void> writeAll(int file, ByteView bytes)
{
    while (!bytes.empty()) {
        const ssize_t written = ::write(file, bytes.data(), bytes.size());
        if (written < 0 && errno != EINTR) {
            return writeFailed("cannot write to the data folder");
        }
        bytes = bytes.subspan(written < 0 ? 0 : static_cast<std::size_t>(written));
    }
    return {};
}

Result<void> writeAndSync(const std::string &path, ByteView content, DiskSync &sync)
{
    const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FileMode);
    if (file < 0) {
        return writeFailed("cannot create " + path);
    }
    Result<void> done = writeAll(file, content);
    if (done && !sync.syncAll(file)) {
        done = writeFailed("cannot sync " + path);
    }
    ::close(file);
    return done;
}

}

DataFolder::DataFolder(std::filesystem::path path, DiskSync &sync)
    : m_path(std::move(path))
    , m_sync(sync)
{
}

DataFolder::~DataFolder()
{
    if (m_lock >= 0) {
        ::close(m_lock);
    }
}

Result<void> DataFolder::lock()
{
    std::error_code ec;
    std::filesystem::create_directories(m_path, ec);
    m_lock = ::open(pathOf("lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, FileMode);
    if (m_lock < 0) {
        return writeFailed("cannot open the lock file in " + m_path.string());
    }
    if (::flock(m_lock, LOCK_EX | LOCK_NB) != 0) {
        return failure(ResultCode::StoreLocked, "another process has locked " + m_path.string());
    }
    return {};
}

Result<std::optional<Bytes>> DataFolder::read(const std::string &name) const
{
    std::error_code ec;
    if (!std::filesystem::exists(pathOf(name), ec) && !ec) {
        return std::nullopt;
    }
    std::ifstream in(pathOf(name), std::ios::binary);
    Bytes content { std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>() };
    if (ec || !in.is_open() || in.bad()) {
        return failure(ResultCode::StoreCorrupt, "cannot read " + pathOf(name));
    }
    return content;
}

Result<void> DataFolder::replace(const std::string &name, ByteView content) const
{
    const std::string temporary = pathOf(name + ".new");
    Result<void> written = writeAndSync(temporary, content, m_sync);
    if (!written) {
        return written;
    }
    if (::rename(temporary.c_str(), pathOf(name).c_str()) != 0) {
        return writeFailed("cannot rename " + temporary);
    }
    return syncFolder();
}

std::string DataFolder::pathOf(const std::string &name) const
{
    return (m_path / name).string();
}

Result<void> DataFolder::syncFolder() const
{
    const int folder = ::open(m_path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folder < 0) {
        return writeFailed("cannot open " + m_path.string());
    }
    const bool isSynced = m_sync.syncAll(folder);
    Result<void> done = isSynced ? Result<void>() : writeFailed("cannot sync " + m_path.string());
    ::close(folder);
    return done;
}

AppendFile::AppendFile(DiskSync &sync)
    : m_sync(sync)
{
}

AppendFile::~AppendFile()
{
    if (m_file >= 0) {
        ::close(m_file);
    }
}

Result<void> AppendFile::open(const std::string &path, std::uint64_t length)
{
    if (m_file >= 0) {
        ::close(m_file);
    }
    m_file = ::open(path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
    if (m_file < 0 || ::ftruncate(m_file, static_cast<off_t>(length)) != 0) {
        return writeFailed("cannot open " + path);
    }
    return sync();
}

Result<void> AppendFile::write(ByteView bytes)
{
    return writeAll(m_file, bytes);
}

Result<void> AppendFile::sync()
{
    if (!m_sync.syncData(m_file)) {
        return writeFailed("cannot sync the log");
    }
    return {};
}

}
