#pragma once

#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <utility>

#include <sys/stat.h>

#include "control/codecs.h"
#include "control/disk.h"

namespace Galenabarrow::Control::Test
{

/// Records what was synced in one folder, so that a test can restore the folder as it would be after a loss of power.
class DurableDisk final : public SystemDisk
{
public:
    explicit DurableDisk(std::filesystem::path folder)
        : m_folder(std::move(folder))
    {
    }

    bool syncAll(int file) override
    {
        struct stat info {
        };
        if (m_isFailing || ::fstat(file, &info) != 0) {
            return false;
        }
        return S_ISDIR(info.st_mode) ? syncNames() : syncContents(info.st_ino);
    }

    bool syncData(int file) override
    {
        return syncAll(file);
    }

    /// Makes all further syncs fail.
    void fail()
    {
        m_isFailing = true;
    }

    /// Restores the synced names and contents of the folder; a file whose contents were never synced is empty.
    void losePower()
    {
        std::map<std::string, Bytes> survivors;
        for (const auto &[name, inode] : m_names) {
            survivors[name] = m_contents[inode];
        }
        std::filesystem::remove_all(m_folder);
        std::filesystem::create_directories(m_folder);
        m_names.clear();
        m_contents.clear();
        for (const auto &[name, content] : survivors) {
            std::ofstream out(m_folder / name, std::ios::binary);
            out.write(reinterpret_cast<const char *>(content.data()), static_cast<std::streamsize>(content.size()));
            m_names[name] = inodeOf(m_folder / name);
            m_contents[m_names[name]] = content;
        }
    }

private:
    static ino_t inodeOf(const std::filesystem::path &path)
    {
        struct stat info {
        };
        return ::stat(path.c_str(), &info) == 0 ? info.st_ino : 0;
    }

    bool syncNames()
    {
        m_names.clear();
        std::set<ino_t> present;
        for (const auto &it : std::filesystem::directory_iterator(m_folder)) {
            const ino_t inode = inodeOf(it.path());
            m_names[it.path().filename().string()] = inode;
            present.insert(inode);
        }
        // The inode of a replaced file may be reused by a new file, whose contents are not synced yet.
        std::erase_if(m_contents, [&present](const auto &it) { return present.count(it.first) == 0; });
        return true;
    }

    bool syncContents(ino_t inode)
    {
        for (const auto &it : std::filesystem::directory_iterator(m_folder)) {
            if (inodeOf(it.path()) == inode) {
                std::ifstream in(it.path(), std::ios::binary);
                m_contents[inode] = { std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>() };
                return true;
            }
        }
        return false;
    }

    std::filesystem::path m_folder;
    std::map<std::string, ino_t> m_names;
    std::map<ino_t, Bytes> m_contents;
    bool m_isFailing = false;
};

}
