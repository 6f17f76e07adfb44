#include "wire/frame.h"

#include <algorithm>
#include <cassert>

#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>

namespace Galenabarrow::Wire
{

namespace
{

constexpr std::size_t LengthSize = 4;
constexpr std::size_t DigestOffset = 8;
constexpr std::uint32_t Magic = 0x47424601; // "GBF" and format version 1
constexpr unsigned BitsPerByte = 8;

/// POCO's SHA-256 with the sizes that its HMAC template expects.
class Sha256 : public Poco::SHA2Engine
{
public:
    enum { // NOLINT(readability-enum-initial-value): names required by Poco::HMACEngine
        BLOCK_SIZE = 64, // NOLINT(readability-identifier-naming)
        DIGEST_SIZE = 32, // NOLINT(readability-identifier-naming)
    };
};

void storeLittleEndian(std::uint8_t *out, std::uint32_t value)
{
    for (std::size_t n = 0; n < LengthSize; ++n) {
        out[n] = static_cast<std::uint8_t>(value >> (BitsPerByte * n));
    }
}

std::uint32_t loadLittleEndian(const std::uint8_t *in)
{
    std::uint32_t value = 0;
    for (std::size_t n = 0; n < LengthSize; ++n) {
        value |= static_cast<std::uint32_t>(in[n]) << (BitsPerByte * n);
    }
    return value;
}

}

FrameCodec::FrameCodec(std::string clusterId, std::string key)
    : m_clusterId(std::move(clusterId))
    , m_key(std::move(key))
{
}

std::vector<std::uint8_t> FrameCodec::seal(std::span<const std::uint8_t> body) const
{
    assert(body.size() <= MaxFrameBody);
    std::vector<std::uint8_t> frame(FrameHeaderSize + body.size());
    storeLittleEndian(frame.data(), static_cast<std::uint32_t>(body.size()));
    storeLittleEndian(frame.data() + LengthSize, Magic);
    const auto mac = digest(body);
    std::copy(mac.begin(), mac.end(), frame.begin() + DigestOffset);
    std::copy(body.begin(), body.end(), frame.begin() + FrameHeaderSize);
    return frame;
}

Result<std::size_t> FrameCodec::bodyLength(std::span<const std::uint8_t, FrameHeaderSize> header) const
{
    if (loadLittleEndian(header.data() + LengthSize) != Magic) {
        return failure(ResultCode::FrameMalformed, "the frame header does not contain the magic number of this format version");
    }
    const std::size_t length = loadLittleEndian(header.data());
    if (length > MaxFrameBody) {
        return failure(ResultCode::FrameTooLarge,
                       "the frame states " + std::to_string(length) + " bytes, the limit is " + std::to_string(MaxFrameBody));
    }
    return length;
}

Result<void> FrameCodec::verify(std::span<const std::uint8_t, FrameHeaderSize> header, std::span<const std::uint8_t> body) const
{
    const auto expected = digest(body);
    // Constant-time comparison: its duration does not reveal the position of a difference.
    std::uint8_t difference = 0;
    for (std::size_t n = 0; n < DigestSize; ++n) {
        difference |= static_cast<std::uint8_t>(expected[n] ^ header[DigestOffset + n]);
    }
    if (difference != 0) {
        return failure(ResultCode::FrameDigestWrong, "the digest of the frame does not match; check cluster id and key file of the sender");
    }
    return {};
}

std::array<std::uint8_t, FrameCodec::DigestSize> FrameCodec::digest(std::span<const std::uint8_t> body) const
{
    Poco::HMACEngine<Sha256> engine(m_key);
    engine.update(m_clusterId.data(), m_clusterId.size());
    engine.update('\0');
    engine.update(body.data(), body.size());
    const auto &full = engine.digest();
    std::array<std::uint8_t, DigestSize> mac {};
    std::copy_n(full.begin(), DigestSize, mac.begin());
    return mac;
}

}
