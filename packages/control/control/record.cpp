#include "control/record.h"

#include <algorithm>
#include <array>
#include <cstring>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace Galenabarrow::Control
{

namespace
{

constexpr std::array<std::uint8_t, 4> Magic { 'G', 'B', 'R', 1 };
constexpr std::size_t LengthOffset = 4;
constexpr std::size_t ChecksumOffset = 8;
constexpr std::size_t SyncedOffset = 16;
constexpr std::size_t TypeOffset = 24;
constexpr unsigned BitsPerByte = 8;

template<typename Number>
void storeLittleEndian(std::uint8_t *out, Number value)
{
    for (std::size_t n = 0; n < sizeof(Number); ++n) {
        out[n] = static_cast<std::uint8_t>(value >> (BitsPerByte * n));
    }
}

template<typename Number>
Number loadLittleEndian(const std::uint8_t *in)
{
    Number value = 0;
    for (std::size_t n = 0; n < sizeof(Number); ++n) {
        value |= static_cast<Number>(in[n]) << (BitsPerByte * n);
    }
    return value;
}

std::uint64_t checksum(ByteView record)
{
    XXH3_state_t state;
    XXH3_64bits_reset(&state);
    XXH3_64bits_update(&state, record.data() + LengthOffset, ChecksumOffset - LengthOffset);
    XXH3_64bits_update(&state, record.data() + SyncedOffset, record.size() - SyncedOffset);
    return XXH3_64bits_digest(&state);
}

}

Bytes encodeRecord(RecordType type, std::uint64_t syncedLength, ByteView payload)
{
    Bytes record(RecordHeaderSize + payload.size());
    std::copy(Magic.begin(), Magic.end(), record.begin());
    storeLittleEndian(record.data() + LengthOffset, static_cast<std::uint32_t>(payload.size()));
    storeLittleEndian(record.data() + SyncedOffset, syncedLength);
    record[TypeOffset] = static_cast<std::uint8_t>(type);
    std::copy(payload.begin(), payload.end(), record.begin() + RecordHeaderSize);
    storeLittleEndian(record.data() + ChecksumOffset, checksum(record));
    return record;
}

std::optional<Record> readRecord(ByteView bytes)
{
    if (bytes.size() < RecordHeaderSize || !std::equal(Magic.begin(), Magic.end(), bytes.begin())) {
        return std::nullopt;
    }
    const std::size_t length = loadLittleEndian<std::uint32_t>(bytes.data() + LengthOffset);
    if (length > bytes.size() - RecordHeaderSize) {
        return std::nullopt;
    }
    const ByteView whole = bytes.first(RecordHeaderSize + length);
    if (checksum(whole) != loadLittleEndian<std::uint64_t>(bytes.data() + ChecksumOffset)) {
        return std::nullopt;
    }
    const ByteView payload = whole.subspan(RecordHeaderSize);
    return Record { static_cast<RecordType>(bytes[TypeOffset]), loadLittleEndian<std::uint64_t>(bytes.data() + SyncedOffset),
                    Bytes(payload.begin(), payload.end()), whole.size() };
}

std::uint64_t largestSyncedLength(ByteView bytes)
{
    std::uint64_t largest = 0;
    auto it = bytes.begin();
    while ((it = std::search(it, bytes.end(), Magic.begin(), Magic.end())) != bytes.end()) {
        const auto offset = static_cast<std::size_t>(it - bytes.begin());
        const std::optional<Record> record = readRecord(bytes.subspan(offset));
        if (record) {
            largest = std::max(largest, record->syncedLength);
        }
        it += static_cast<std::ptrdiff_t>(record ? record->size : Magic.size());
    }
    return largest;
}

}
