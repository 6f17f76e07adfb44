#include "control/memorylogstore.h"

#include <cassert>

namespace Galenabarrow::Control
{

namespace
{

void appendTo(StoreContents &contents, const std::vector<LogEntry> &entries)
{
    const LogIndex first = entries.front().index;
    while (!contents.entries.empty() && contents.entries.back().index >= first) {
        contents.entries.pop_back();
    }
    assert(contents.entries.empty() || next(contents.entries.back().index) == first);
    contents.entries.insert(contents.entries.end(), entries.begin(), entries.end());
}

}

MemoryDisk::MemoryDisk(Incarnation incarnation)
{
    m_durable.incarnation = incarnation;
}

void MemoryDisk::crash(RandomSource &random)
{
    const std::size_t kept = static_cast<std::size_t>(random.below(m_unsynced.size() + 1));
    for (std::size_t n = 0; n < kept; ++n) {
        m_unsynced[n](m_durable);
    }
    m_unsynced.clear();
}

std::size_t MemoryDisk::unsyncedCount() const
{
    return m_unsynced.size();
}

void MemoryDisk::queueWrite(std::function<void(StoreContents &)> write)
{
    m_unsynced.push_back(std::move(write));
}

MemoryLogStore::MemoryLogStore(std::shared_ptr<MemoryDisk> disk)
    : m_disk(std::move(disk))
{
}

Result<StoreContents> MemoryLogStore::load()
{
    const Result<void> reconciled = reconcile(m_disk->m_durable);
    if (!reconciled) {
        return tl::make_unexpected(reconciled.error());
    }
    return m_disk->m_durable;
}

Result<void> MemoryLogStore::writeHardState(const HardState &state)
{
    m_disk->queueWrite([state](StoreContents &contents) { contents.hardState = state; });
    return {};
}

Result<void> MemoryLogStore::append(std::span<const LogEntry> entries)
{
    const std::vector<LogEntry> copy(entries.begin(), entries.end());
    m_disk->queueWrite([copy](StoreContents &contents) { appendTo(contents, copy); });
    return {};
}

Result<void> MemoryLogStore::saveSnapshot(const Snapshot &snapshot, std::span<const LogEntry> entries)
{
    const std::vector<LogEntry> copy(entries.begin(), entries.end());
    auto pointer = std::make_shared<const Snapshot>(snapshot);
    m_disk->queueWrite([pointer, copy](StoreContents &contents) {
        contents.snapshot = pointer;
        contents.entries = copy;
    });
    return sync();
}

Result<void> MemoryLogStore::rewrite(const StoreContents & /*contents*/)
{
    return sync();
}

Result<void> MemoryLogStore::sync()
{
    for (const auto &write : m_disk->m_unsynced) {
        write(m_disk->m_durable);
    }
    m_disk->m_unsynced.clear();
    return {};
}

}
