#include "simulateddisk.h"

#include <algorithm>
#include <cerrno>
#include <filesystem>

#include <fcntl.h>

namespace Galenabarrow::Control::Test
{

namespace
{

constexpr const char *Root = "/";

std::string parentOf(const std::string &path)
{
    return std::filesystem::path(path).parent_path().string();
}

}

SimulatedDisk::SimulatedDisk()
{
    m_files.push_back(File { true, {}, {}, {} });
    m_names[Root] = { FileId(0) };
}

void SimulatedDisk::stopAfter(std::size_t changes, Stop stop)
{
    m_remaining = changes;
    m_stop = stop;
}

bool SimulatedDisk::hasStopped() const
{
    return m_hasStopped;
}

void SimulatedDisk::restart()
{
    m_remaining.reset();
    m_hasStopped = false;
    m_descriptors.clear();
}

std::vector<SimulatedDisk> SimulatedDisk::lossesOfPower() const
{
    std::vector<Image> images;
    addImages(m_names.begin(), {}, images);
    std::sort(images.begin(), images.end());
    images.erase(std::unique(images.begin(), images.end()), images.end());
    std::vector<SimulatedDisk> disks;
    std::transform(images.begin(), images.end(), std::back_inserter(disks), [](const Image &it) { return fromImage(it); });
    return disks;
}

bool SimulatedDisk::createFolder(const std::string &path)
{
    if (isStopped()) {
        return false;
    }
    if (find(path) || !find(parentOf(path))) {
        return fail(find(path) ? EEXIST : ENOENT);
    }
    m_files.push_back(File { true, {}, {}, {} });
    setName(path, m_files.size() - 1);
    return true;
}

int SimulatedDisk::open(const std::string &path, int flags)
{
    std::optional<FileId> file = find(path);
    const bool isNew = !file && (flags & O_CREAT) != 0 && find(parentOf(path));
    const bool isTruncated = file && (flags & O_TRUNC) != 0;
    if (m_hasStopped || ((isNew || isTruncated) && isStopped())) {
        fail(EIO);
        return -1;
    }
    if (!file && !isNew) {
        fail(ENOENT);
        return -1;
    }
    if (isNew) {
        m_files.emplace_back();
        file = m_files.size() - 1;
        setName(path, file);
    } else if (isTruncated) {
        change(*file, Change { true, 0, {} });
    }
    m_descriptors[++m_lastDescriptor] = Descriptor { path, *file, 0 };
    return m_lastDescriptor;
}

void SimulatedDisk::close(int file)
{
    m_descriptors.erase(file);
}

bool SimulatedDisk::lock(int)
{
    return !m_hasStopped || fail(EIO);
}

ssize_t SimulatedDisk::read(int file, std::span<std::uint8_t> buffer)
{
    if (m_hasStopped) {
        fail(EIO);
        return -1;
    }
    Descriptor &descriptor = m_descriptors.at(file);
    const Bytes &content = m_files[descriptor.file].current;
    const std::size_t n = std::min(buffer.size(), content.size() - descriptor.offset);
    std::copy_n(content.begin() + static_cast<std::ptrdiff_t>(descriptor.offset), n, buffer.begin());
    descriptor.offset += n;
    return static_cast<ssize_t>(n);
}

ssize_t SimulatedDisk::write(int file, std::span<const std::uint8_t> bytes)
{
    const FileId id = m_descriptors.at(file).file;
    const bool wasStopped = m_hasStopped;
    const bool isLast = isStopped();
    if (!isLast || (!wasStopped && m_stop == Stop::Within)) {
        const std::span<const std::uint8_t> written = isLast ? bytes.first(bytes.size() / 2) : bytes;
        change(id, Change { false, m_files[id].current.size(), Bytes(written.begin(), written.end()) });
    }
    return isLast ? -1 : static_cast<ssize_t>(bytes.size());
}

bool SimulatedDisk::truncate(int file, std::uint64_t length)
{
    if (isStopped()) {
        return false;
    }
    change(m_descriptors.at(file).file, Change { true, length, {} });
    return true;
}

bool SimulatedDisk::rename(const std::string &from, const std::string &to)
{
    if (isStopped()) {
        return false;
    }
    setName(to, find(from));
    setName(from, std::nullopt);
    return true;
}

bool SimulatedDisk::syncAll(int file)
{
    if (isStopped()) {
        return false;
    }
    const Descriptor &descriptor = m_descriptors.at(file);
    File &synced = m_files[descriptor.file];
    synced.durable = synced.current;
    synced.unsynced.clear();
    for (auto &[path, name] : m_names) {
        if (synced.isFolder && path != Root && parentOf(path) == descriptor.path) {
            name = { name.back() };
        }
    }
    return true;
}

bool SimulatedDisk::syncData(int file)
{
    return syncAll(file);
}

std::vector<Bytes> SimulatedDisk::contentsAfterLoss(const File &file)
{
    std::vector<Bytes> contents { file.durable };
    for (const Change &it : file.unsynced) {
        std::vector<Change> parts { it };
        if (!it.isTruncation && it.bytes.size() > 1) {
            const auto middle = it.bytes.begin() + static_cast<std::ptrdiff_t>(it.bytes.size() / 2);
            parts.push_back(Change { false, it.offset, Bytes(it.bytes.begin(), middle) });
            parts.push_back(Change { false, it.offset + it.bytes.size() / 2, Bytes(middle, it.bytes.end()) });
        }
        const std::vector<Bytes> before = contents;
        for (const Bytes &content : before) {
            for (const Change &part : parts) {
                contents.push_back(content);
                apply(contents.back(), part);
            }
        }
        std::sort(contents.begin(), contents.end());
        contents.erase(std::unique(contents.begin(), contents.end()), contents.end());
    }
    return contents;
}

void SimulatedDisk::apply(Bytes &content, const Change &change)
{
    if (change.isTruncation) {
        content.resize(change.offset);
        return;
    }
    content.resize(std::max(content.size(), change.offset + change.bytes.size()));
    std::copy(change.bytes.begin(), change.bytes.end(), content.begin() + static_cast<std::ptrdiff_t>(change.offset));
}

SimulatedDisk SimulatedDisk::fromImage(const Image &image)
{
    SimulatedDisk disk;
    for (const auto &[path, entry] : image) {
        if (path != Root) {
            disk.m_files.push_back(File { entry.first, entry.second, {}, entry.second });
            disk.m_names[path] = { disk.m_files.size() - 1 };
        }
    }
    return disk;
}

/// Adds the images that continue \p image with the names from \p it on.
void SimulatedDisk::addImages(std::map<std::string, Name>::const_iterator it, const Image &image, std::vector<Image> &images) const
{
    if (it == m_names.end()) {
        images.push_back(image);
        return;
    }
    const auto &[path, name] = *it;
    const bool isParentLost = path != Root && !image.contains(parentOf(path));
    for (const std::optional<FileId> &file : isParentLost ? Name { std::nullopt } : name) {
        if (!file) {
            addImages(std::next(it), image, images);
            continue;
        }
        for (const Bytes &content : contentsAfterLoss(m_files[*file])) {
            Image longer = image;
            longer[path] = { m_files[*file].isFolder, content };
            addImages(std::next(it), longer, images);
        }
    }
}

/// Counts a change. True if it is not to be made.
bool SimulatedDisk::isStopped()
{
    if (!m_hasStopped && m_remaining && (*m_remaining)-- == 0) {
        m_hasStopped = true;
    }
    return m_hasStopped && !fail(EIO);
}

bool SimulatedDisk::fail(int error) const
{
    errno = error;
    return false;
}

std::optional<SimulatedDisk::FileId> SimulatedDisk::find(const std::string &path) const
{
    const auto it = m_names.find(path);
    return it == m_names.end() ? std::nullopt : it->second.back();
}

void SimulatedDisk::setName(const std::string &path, std::optional<FileId> file)
{
    Name &name = m_names[path];
    if (name.empty()) {
        name.push_back(std::nullopt);
    }
    name.push_back(file);
}

void SimulatedDisk::change(FileId file, Change change)
{
    apply(m_files[file].current, change);
    m_files[file].unsynced.push_back(std::move(change));
}

}
