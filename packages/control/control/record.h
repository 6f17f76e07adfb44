#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "control/codecs.h"

namespace Galenabarrow::Control
{

/// Kinds of records in the data folder. The numbers are part of the format.
enum class RecordType : std::uint8_t { HardState = 1, Entry = 2, Snapshot = 3, Identity = 4, FirstStart = 5 };

/// Bytes before the payload: magic number, length, checksum, synced length, type.
constexpr std::size_t RecordHeaderSize = 25;

/// A record with a checksum (XXH3, 64 bits) over everything but the magic number.
struct Record {
    RecordType type = RecordType::Entry;
    /// The synced length of the file when the record was written. A damaged record within the synced length of a later record
    /// had been durable, so the damage is corruption and not a torn write.
    std::uint64_t syncedLength = 0;
    /// A copy, because FlatBuffers need aligned memory.
    Bytes payload;
    /// Size of the record in bytes, including its header.
    std::size_t size = 0;
};

Bytes encodeRecord(RecordType type, std::uint64_t syncedLength, ByteView payload);
/// The record at the start of \p bytes; absent when it is incomplete or damaged.
std::optional<Record> readRecord(ByteView bytes);
/// The largest synced length in any valid record of \p bytes, also behind damaged ones; 0 without a valid record.
std::uint64_t largestSyncedLength(ByteView bytes);

}
