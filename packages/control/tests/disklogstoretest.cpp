#include "control/disklogstore.h"

#include <filesystem>
#include <fstream>

#include <catch2/catch.hpp>

#include "base/random.h"
#include "durabledisk.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Control;
using Galenabarrow::Control::Test::DurableDisk;

namespace
{

namespace fs = std::filesystem;

/// A data folder that the destructor removes.
class TemporaryFolder
{
public:
    TemporaryFolder()
        : path(fs::temp_directory_path() / ("galenabarrow-control-" + std::to_string(makeIncarnation().value())))
    {
    }
    ~TemporaryFolder()
    {
        fs::remove_all(path);
    }
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    Bytes read(const std::string &name) const
    {
        std::ifstream in(path / name, std::ios::binary);
        return { std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>() };
    }
    void write(const std::string &name, const Bytes &content) const
    {
        std::ofstream out(path / name, std::ios::binary | std::ios::trunc);
        out.write(reinterpret_cast<const char *>(content.data()), static_cast<std::streamsize>(content.size()));
    }
    Result<StoreContents> load() const
    {
        return DiskLogStore(path).load();
    }
    ResultCode loadCode() const
    {
        const Result<StoreContents> contents = load();
        return contents ? ResultCode::Ok : contents.error().code;
    }

    const fs::path path;
};

LogEntry entryAt(std::uint64_t index, std::uint64_t term = 1)
{
    LogEntry entry;
    entry.index = LogIndex(index);
    entry.term = Term(term);
    entry.kind = EntryKind::Proposal;
    entry.command = Bytes(40, static_cast<std::uint8_t>(index));
    return entry;
}

Snapshot snapshotAt(std::uint64_t index, std::uint64_t term)
{
    Snapshot snapshot { LogIndex(index), Term(term), Duration(5), {}, Bytes(100, 3) };
    snapshot.membership.members = { Member { ReplicaId { InstanceId("c1"), Incarnation(1) }, "a:1", true } };
    return snapshot;
}

/// Appends entries and syncs after each.
void fill(DiskLogStore &store, std::uint64_t first, std::uint64_t last)
{
    for (std::uint64_t n = first; n <= last; ++n) {
        REQUIRE(store.append(std::vector<LogEntry> { entryAt(n) }));
        REQUIRE(store.sync());
    }
}

/// Writes a hard state and the entries 1 to 10 to the log in \p folder.
void prepare(const TemporaryFolder &folder)
{
    DiskLogStore store(folder.path);
    REQUIRE(store.load());
    REQUIRE(store.writeHardState(HardState { Term(4), ReplicaId { InstanceId("c2"), Incarnation(9) } }));
    fill(store, 1, 10);
}

}

// Guards against a restart that loses a vote, entries or a snapshot, and against a store that changes its identity.
TEST_CASE("a store preserves its contents over a restart", "[store]")
{
    const TemporaryFolder folder;
    const Incarnation incarnation = folder.load()->incarnation;
    REQUIRE(folder.load()->isUnused());
    prepare(folder);
    const StoreContents contents = folder.load().value();
    REQUIRE(contents.incarnation == incarnation);
    REQUIRE(contents.hardState == HardState { Term(4), ReplicaId { InstanceId("c2"), Incarnation(9) } });
    REQUIRE(contents.entries.size() == 10);
    REQUIRE(contents.entries.back() == entryAt(10));
    {
        DiskLogStore store(folder.path);
        REQUIRE(store.load());
        REQUIRE(store.append(std::vector<LogEntry> { entryAt(8, 2) })); // replaces 8 to 10
        REQUIRE(store.sync());
        REQUIRE(store.saveSnapshot(snapshotAt(6, 1), std::vector<LogEntry> { entryAt(6), entryAt(7), entryAt(8, 2) }));
    }
    const StoreContents later = folder.load().value();
    REQUIRE(*later.snapshot == snapshotAt(6, 1));
    REQUIRE(later.hardState == contents.hardState);
    REQUIRE(later.entries == std::vector<LogEntry> { entryAt(6), entryAt(7), entryAt(8, 2) });
    REQUIRE(TemporaryFolder().load()->incarnation != incarnation);
}

// Guards against a replica that cannot start after a crash in the middle of a write.
TEST_CASE("a torn tail is truncated", "[store]")
{
    const TemporaryFolder folder;
    prepare(folder);
    const Bytes whole = folder.read("log");
    const Bytes record = encodeRecord(RecordType::Entry, whole.size(), encode(entryAt(11)));
    for (std::size_t length = 1; length < record.size(); ++length) {
        Bytes torn = whole;
        torn.insert(torn.end(), record.begin(), record.begin() + static_cast<std::ptrdiff_t>(length));
        folder.write("log", torn);
        DiskLogStore store(folder.path);
        REQUIRE(store.load()->entries.size() == 10);
        REQUIRE(store.tornBytes() == length);
        fill(store, 11, 11);
    }
    REQUIRE(folder.load()->entries.size() == 11);
}

// Guards against accepted changes that are silently dropped because a damaged record is treated as a torn write.
TEST_CASE("damage before the tail is reported as corruption", "[store]")
{
    const TemporaryFolder folder;
    prepare(folder);
    const Bytes whole = folder.read("log");
    const std::size_t lastRecord = RecordHeaderSize + encode(entryAt(10)).size();
    for (std::size_t n = 0; n < whole.size() - lastRecord; n += 3) {
        Bytes damaged = whole;
        damaged[n] ^= 0x10U;
        folder.write("log", damaged);
        REQUIRE(folder.loadCode() == ResultCode::StoreCorrupt);
    }
    folder.write("log", {});
    REQUIRE(folder.loadCode() == ResultCode::StoreCorrupt);
}

// Guards against damage that is treated as a torn write in files that are replaced as a whole, which cannot have torn writes.
TEST_CASE("damage in a rewritten log, a snapshot or an identity is reported as corruption", "[store]")
{
    const TemporaryFolder folder;
    {
        DiskLogStore store(folder.path);
        REQUIRE(store.load());
        REQUIRE(store.saveSnapshot(snapshotAt(3, 1), std::vector<LogEntry> { entryAt(4), entryAt(5) }));
    }
    for (const char *name : { "log", "snapshot", "identity" }) {
        CAPTURE(name);
        const Bytes whole = folder.read(name);
        for (std::size_t n = 0; n < whole.size(); ++n) {
            Bytes damaged = whole;
            damaged[n] ^= 1U;
            folder.write(name, damaged);
            REQUIRE(folder.loadCode() == ResultCode::StoreCorrupt);
            folder.write(name, Bytes(whole.begin(), whole.begin() + static_cast<std::ptrdiff_t>(n)));
            REQUIRE(folder.loadCode() == ResultCode::StoreCorrupt);
        }
        fs::remove(folder.path / name);
        if (std::string(name) != "snapshot") {
            REQUIRE(folder.loadCode() == ResultCode::StoreCorrupt);
        }
        folder.write(name, whole);
        REQUIRE(folder.loadCode() == ResultCode::Ok);
    }
}

// Guards against a missing snapshot that is not detected although the log begins after it.
TEST_CASE("a log without its snapshot is reported as corruption", "[store]")
{
    const TemporaryFolder folder;
    {
        DiskLogStore store(folder.path);
        REQUIRE(store.load());
        REQUIRE(store.saveSnapshot(snapshotAt(3, 1), std::vector<LogEntry> { entryAt(4) }));
    }
    fs::remove(folder.path / "snapshot");
    REQUIRE(folder.loadCode() == ResultCode::StoreCorrupt);
}

// Guards against two processes that write to the same data folder.
TEST_CASE("a data folder is locked", "[store]")
{
    const TemporaryFolder folder;
    DiskLogStore store(folder.path);
    REQUIRE(store.load());
    REQUIRE(folder.loadCode() == ResultCode::StoreLocked);
}

// Guards against a store that is inconsistent after a crash between the write of the new snapshot and the rewrite of the log.
TEST_CASE("an old log is reconciled with a new snapshot", "[store]")
{
    struct Case {
        Snapshot snapshot;
        std::size_t entries;
    };
    const std::vector<Case> cases { { snapshotAt(6, 1), 10 }, { snapshotAt(6, 2), 0 }, { snapshotAt(20, 2), 0 } };
    for (const Case &it : cases) {
        const TemporaryFolder folder;
        prepare(folder);
        const Bytes oldLog = folder.read("log");
        {
            DiskLogStore store(folder.path);
            REQUIRE(store.load());
            REQUIRE(store.saveSnapshot(it.snapshot, {}));
        }
        folder.write("log", oldLog);
        const std::uint64_t following = std::max<std::uint64_t>(it.snapshot.index.value(), it.entries) + 1;
        {
            DiskLogStore store(folder.path);
            const StoreContents contents = store.load().value();
            REQUIRE(contents.entries.size() == it.entries);
            REQUIRE(contents.hardState.term == Term(4));
            fill(store, following, following);
        }
        REQUIRE(folder.load()->entries.back().index == LogIndex(following));
    }
}

// Guards against a loss of power that undoes a new store, entries, a vote or a snapshot after they were reported as durable.
TEST_CASE("everything that was reported as durable survives a loss of power", "[store]")
{
    const TemporaryFolder folder;
    DurableDisk disk(folder.path);
    Incarnation incarnation;
    {
        DiskLogStore store(folder.path, disk);
        incarnation = store.load()->incarnation;
    }
    disk.losePower();
    REQUIRE(folder.load()->incarnation == incarnation);
    const HardState vote { Term(4), ReplicaId { InstanceId("c2"), Incarnation(9) } };
    {
        DiskLogStore store(folder.path, disk);
        REQUIRE(store.load());
        REQUIRE(store.writeHardState(vote));
        fill(store, 1, 10);
        REQUIRE(store.append(std::vector<LogEntry> { entryAt(11) })); // not synced, so not reported as durable
    }
    disk.losePower();
    REQUIRE(folder.load()->hardState == vote);
    REQUIRE(folder.load()->entries.size() == 10);
    {
        DiskLogStore store(folder.path, disk);
        REQUIRE(store.load());
        REQUIRE(store.saveSnapshot(snapshotAt(6, 1), std::vector<LogEntry> { entryAt(7), entryAt(8) }));
    }
    disk.losePower();
    const StoreContents contents = folder.load().value();
    REQUIRE(*contents.snapshot == snapshotAt(6, 1));
    REQUIRE(contents.hardState == vote);
    REQUIRE(contents.entries == std::vector<LogEntry> { entryAt(7), entryAt(8) });
}

// Guards against the loss of acknowledged entries: a replica is killed between write and sync, reads its entries after the
// restart, acknowledges them without a further write, and loses them in a loss of power. So load() has to sync the log.
TEST_CASE("entries returned by load survive a loss of power", "[store]")
{
    const TemporaryFolder folder;
    DurableDisk disk(folder.path);
    {
        DiskLogStore store(folder.path, disk);
        REQUIRE(store.load());
        fill(store, 1, 3);
    }
    {
        // Writes the same record as DiskLogStore::sync(), without the sync.
        const Bytes record = encodeRecord(RecordType::Entry, folder.read("log").size(), encode(entryAt(4)));
        std::ofstream log(folder.path / "log", std::ios::binary | std::ios::app);
        log.write(reinterpret_cast<const char *>(record.data()), static_cast<std::streamsize>(record.size()));
    }
    {
        DiskLogStore store(folder.path, disk);
        REQUIRE(store.load()->entries.size() == 4);
    }
    disk.losePower();
    REQUIRE(folder.load()->entries.size() == 4);
}

// Guards against a failed sync that is reported as success.
TEST_CASE("a failed sync is reported", "[store]")
{
    const TemporaryFolder folder;
    DurableDisk disk(folder.path);
    {
        DiskLogStore store(folder.path, disk);
        REQUIRE(store.load());
        REQUIRE(store.append(std::vector<LogEntry> { entryAt(1) }));
        disk.fail();
        REQUIRE(store.sync().error().code == ResultCode::StoreWriteFailed);
        REQUIRE(store.saveSnapshot(snapshotAt(1, 1), {}).error().code == ResultCode::StoreWriteFailed);
    }
    DiskLogStore store(folder.path, disk);
    REQUIRE(store.load().error().code == ResultCode::StoreWriteFailed);
}
