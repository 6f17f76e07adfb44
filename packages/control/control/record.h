#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "control/codecs.h"

namespace Galenabarrow::Control
{

/// Kinds of records in the data folder. The numbers are part of the format.
enum class RecordType : std::uint8_t { HardState = 1, Entry = 2, Snapshot = 3, Identity = 4 };

/// Bytes before the payload: magic number, length, checksum, synced length, type.
constexpr std::size_t RecordHeaderSize = 25;

/// A record with a checksum (XXH3, 64 bits) over everything but the magic number.
struct Record {
    RecordType type = RecordType::Entry;
    /// The length of the file that was known to be synced when the record was written. A damaged record below that
    /// length of any later record was durable once, so it is corruption and not a torn write.
    std::uint64_t syncedLength = 0;
    /// A copy, because readers of FlatBuffers need aligned memory.
    Bytes payload;
    /// Bytes of the record with its header.
    std::size_t size = 0;
};

Bytes encodeRecord(RecordType type, std::uint64_t syncedLength, ByteView payload);
/// The record at the start of \p bytes; absent when it is incomplete or damaged.
std::optional<Record> readRecord(ByteView bytes);
/// The largest synced length that a valid record anywhere in \p bytes names; 0 without such a record.
std::uint64_t largestSyncedLength(ByteView bytes);

}
