#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "control/codecs.h"
#include "control/disk.h"

namespace Galenabarrow::Control::Test
{

/// A disk in memory that stops after a number of changes, and that returns all its states after a loss of power. A copy is an
/// independent disk. Stricter than most file systems: a sync of a new file does not make its name durable.
class SimulatedDisk final : public Disk
{
public:
    /// What happens to the change at which the disk stops: it is not made at all, or half of it, if it is a write.
    enum class Stop { Before, Within };

    SimulatedDisk();

    /// From now on, lets \p changes changes succeed and makes everything after them fail.
    void stopAfter(std::size_t changes, Stop stop);
    bool hasStopped() const;
    /// Lets the disk work again, for the next process.
    void restart();
    /// The distinct states after a loss of power at this moment: each unsynced write kept, lost or torn, each unsynced change of
    /// a name kept or lost, all independently of each other.
    std::vector<SimulatedDisk> lossesOfPower() const;

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

private:
    using FileId = std::size_t;

    struct Change {
        bool isTruncation = false;
        std::size_t offset = 0;
        Bytes bytes;
    };
    struct File {
        bool isFolder = false;
        Bytes durable;
        std::vector<Change> unsynced;
        Bytes current;
    };
    /// The files that a name has referred to: the durable one, then those of the unsynced changes.
    using Name = std::vector<std::optional<FileId>>;
    struct Descriptor {
        std::string path;
        FileId file = 0;
        std::size_t offset = 0;
    };
    using Image = std::map<std::string, std::pair<bool, Bytes>>;

    static std::vector<Bytes> contentsAfterLoss(const File &file);
    static void apply(Bytes &content, const Change &change);
    static SimulatedDisk fromImage(const Image &image);
    void addImages(std::map<std::string, Name>::const_iterator it, const Image &image, std::vector<Image> &images) const;
    bool isStopped();
    bool fail(int error) const;
    std::optional<FileId> find(const std::string &path) const;
    void setName(const std::string &path, std::optional<FileId> file);
    void change(FileId file, Change change);

    std::map<std::string, Name> m_names;
    std::vector<File> m_files;
    std::map<int, Descriptor> m_descriptors;
    int m_lastDescriptor = 0;
    std::optional<std::size_t> m_remaining;
    Stop m_stop = Stop::Before;
    bool m_hasStopped = false;
};

}
