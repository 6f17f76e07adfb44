#include "control/disklogstore.h"

#include <algorithm>

#include "base/random.h"

namespace Galenabarrow::Control
{

namespace
{

constexpr const char *IdentityFile = "identity";
constexpr const char *SnapshotFile = "snapshot";
constexpr const char *LogFile = "log";
constexpr const char *FirstStartFile = "first-start";

tl::unexpected<Error> corrupt(const std::string &detail)
{
    return failure(ResultCode::StoreCorrupt, detail);
}

void appendRecord(Bytes &out, RecordType type, std::uint64_t syncedLength, ByteView payload)
{
    const Bytes record = encodeRecord(type, syncedLength, payload);
    out.insert(out.end(), record.begin(), record.end());
}

Bytes encodeNumber(std::uint64_t value)
{
    Bytes payload(sizeof(std::uint64_t));
    for (std::size_t n = 0; n < payload.size(); ++n) {
        payload[payload.size() - 1 - n] = static_cast<std::uint8_t>(value >> (8U * n));
    }
    return payload;
}

/// The number in a file with one record; absent if the file is damaged.
std::optional<std::uint64_t> decodeNumber(const Bytes &content, RecordType type)
{
    const std::optional<Record> record = readRecord(content);
    if (!record || record->type != type || record->payload.size() != sizeof(std::uint64_t)) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    for (const std::uint8_t byte : record->payload) {
        value = (value << 8U) | byte;
    }
    return value;
}

/// The log is as createFiles() writes it: one record with the initial hard state.
bool isUnusedLog(const Bytes &content)
{
    const std::optional<Record> record = readRecord(content);
    if (!record || record->type != RecordType::HardState || record->size != content.size()) {
        return false;
    }
    const Result<HardState> state = decodeHardState(record->payload);
    return state && *state == HardState {};
}

}

DiskLogStore::DiskLogStore(std::filesystem::path folder, Disk &disk, std::uint64_t firstStart)
    : m_folder(std::move(folder), disk)
    , m_firstStart(firstStart)
    , m_log(disk)
{
}

Result<StoreContents> DiskLogStore::load()
{
    const Result<void> locked = m_folder.lock();
    if (!locked) {
        return tl::make_unexpected(locked.error());
    }
    const Result<Incarnation> incarnation = loadIdentity();
    if (!incarnation) {
        return tl::make_unexpected(incarnation.error());
    }
    StoreContents contents;
    contents.incarnation = *incarnation;
    const Result<void> done =
        loadFirstStart(contents).and_then([&] { return loadSnapshot(contents); }).and_then([&] { return loadLog(contents); });
    if (!done) {
        return tl::make_unexpected(done.error());
    }
    const std::size_t count = contents.entries.size();
    const Result<void> reconciled = reconcile(contents).and_then([&]() -> Result<void> {
        m_hardState = contents.hardState;
        return count == contents.entries.size() ? Result<void>() : rewriteLog(contents.entries);
    });
    if (!reconciled) {
        return tl::make_unexpected(reconciled.error());
    }
    return contents;
}

Result<Incarnation> DiskLogStore::loadIdentity()
{
    const auto content = m_folder.read(IdentityFile);
    if (!content) {
        return tl::make_unexpected(content.error());
    }
    if (!*content) {
        return createFiles();
    }
    const std::optional<std::uint64_t> value = decodeNumber(**content, RecordType::Identity);
    if (!value) {
        return corrupt("the identity file is damaged");
    }
    return Incarnation(*value);
}

Result<Incarnation> DiskLogStore::createFiles()
{
    const auto log = m_folder.read(LogFile);
    const auto snapshot = m_folder.read(SnapshotFile);
    if (!log || !snapshot || *snapshot || (*log && !isUnusedLog(**log))) {
        return corrupt("the data folder has a snapshot or a log that was used, but no identity file");
    }
    // The identity is written last, so that a folder with an identity always has a log, and a folder without one was never used:
    // load() returns nothing before. A creation that was interrupted is begun anew, with a new identity.
    const Incarnation incarnation = makeIncarnation();
    Result<void> done;
    if (m_firstStart != 0) {
        done = m_folder.replace(FirstStartFile, encodeRecord(RecordType::FirstStart, 0, encodeNumber(m_firstStart)));
    }
    done = done.and_then([&] { return rewriteLog({}); }).and_then([&] {
        return m_folder.replace(IdentityFile, encodeRecord(RecordType::Identity, 0, encodeNumber(incarnation.value())));
    });
    if (!done) {
        return tl::make_unexpected(done.error());
    }
    return incarnation;
}

Result<void> DiskLogStore::loadFirstStart(StoreContents &contents) const
{
    const auto content = m_folder.read(FirstStartFile);
    if (!content) {
        return tl::make_unexpected(content.error());
    }
    if (!*content) {
        return {};
    }
    const std::optional<std::uint64_t> value = decodeNumber(**content, RecordType::FirstStart);
    if (!value) {
        return corrupt("the file with the permission of the first start is damaged");
    }
    contents.firstStart = *value;
    return {};
}

Result<void> DiskLogStore::loadSnapshot(StoreContents &contents) const
{
    const auto content = m_folder.read(SnapshotFile);
    if (!content) {
        return tl::make_unexpected(content.error());
    }
    if (!*content) {
        return {};
    }
    const std::optional<Record> record = readRecord(**content);
    if (!record || record->type != RecordType::Snapshot) {
        return corrupt("the snapshot is damaged");
    }
    Result<Snapshot> snapshot = decodeSnapshot(record->payload);
    if (!snapshot) {
        return corrupt("the snapshot cannot be decoded: " + snapshot.error().detail);
    }
    contents.snapshot = std::make_shared<const Snapshot>(std::move(*snapshot));
    return {};
}

Result<void> DiskLogStore::loadLog(StoreContents &contents)
{
    const auto content = m_folder.read(LogFile);
    if (!content || !*content) {
        return corrupt("the log is missing or cannot be read");
    }
    const ByteView bytes(**content);
    std::size_t offset = 0;
    std::uint64_t syncedLength = 1; // a log begins with a hard state, synced before the file was renamed to its final name
    while (const std::optional<Record> record = readRecord(bytes.subspan(offset))) {
        syncedLength = std::max(syncedLength, record->syncedLength);
        Result<void> done = replay(*record, contents);
        if (!done) {
            return done;
        }
        offset += record->size;
    }
    syncedLength = std::max(syncedLength, largestSyncedLength(bytes.subspan(offset)));
    if (syncedLength > offset) {
        return corrupt("the log is damaged at byte " + std::to_string(offset) + " of " + std::to_string(syncedLength) + " synced bytes");
    }
    m_tornBytes = bytes.size() - offset;
    m_syncedLength = offset;
    return m_log.open(m_folder.pathOf(LogFile), offset);
}

Result<void> DiskLogStore::replay(const Record &record, StoreContents &contents) const
{
    if (record.type == RecordType::HardState) {
        Result<HardState> state = decodeHardState(record.payload);
        if (!state) {
            return corrupt(state.error().detail);
        }
        contents.hardState = std::move(*state);
        return {};
    }
    Result<LogEntry> entry = decodeLogEntry(record.payload);
    if (!entry || record.type != RecordType::Entry) {
        return corrupt("the log has a record that cannot be decoded");
    }
    std::vector<LogEntry> &entries = contents.entries;
    while (!entries.empty() && entries.back().index >= entry->index) {
        entries.pop_back();
    }
    if (!entries.empty() && entry->index != next(entries.back().index)) {
        return corrupt("the log lacks entries before " + std::to_string(entry->index.value()));
    }
    entries.push_back(std::move(*entry));
    return {};
}

Result<void> DiskLogStore::writeHardState(const HardState &state)
{
    m_hardState = state;
    appendRecord(m_buffer, RecordType::HardState, m_syncedLength, encode(state));
    return {};
}

Result<void> DiskLogStore::append(std::span<const LogEntry> entries)
{
    for (const LogEntry &entry : entries) {
        appendRecord(m_buffer, RecordType::Entry, m_syncedLength, encode(entry));
    }
    return {};
}

Result<void> DiskLogStore::saveSnapshot(const Snapshot &snapshot, std::span<const LogEntry> entries)
{
    // A crash between the two writes leaves the new snapshot with the old log; load() reconciles them.
    return m_folder.replace(SnapshotFile, encodeRecord(RecordType::Snapshot, 0, encode(snapshot))).and_then([&] {
        return rewriteLog(entries);
    });
}

Result<void> DiskLogStore::rewriteLog(std::span<const LogEntry> entries)
{
    const auto build = [&](std::uint64_t syncedLength) {
        Bytes content;
        appendRecord(content, RecordType::HardState, syncedLength, encode(m_hardState));
        for (const LogEntry &entry : entries) {
            appendRecord(content, RecordType::Entry, syncedLength, encode(entry));
        }
        return content;
    };
    // The whole file is synced before it is renamed to its final name, so every record stores the full length as synced. The
    // length itself does not depend on the stored value.
    const Bytes content = build(build(0).size());
    m_buffer.clear();
    m_syncedLength = content.size();
    return m_folder.replace(LogFile, content).and_then([&] { return m_log.open(m_folder.pathOf(LogFile), m_syncedLength); });
}

Result<void> DiskLogStore::rewrite(const StoreContents &contents)
{
    // Files are replaced as a whole: entries that are appended again would remove the durable ones after them while they are written.
    m_hardState = contents.hardState;
    return contents.snapshot != nullptr ? saveSnapshot(*contents.snapshot, contents.entries) : rewriteLog(contents.entries);
}

Result<void> DiskLogStore::sync()
{
    return m_log.write(m_buffer).and_then([&] { return m_log.sync(); }).map([&] {
        m_syncedLength += m_buffer.size();
        m_buffer.clear();
    });
}

std::uint64_t DiskLogStore::tornBytes() const
{
    return m_tornBytes;
}

}
