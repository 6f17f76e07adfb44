#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "base/resultcode.h"

namespace Galenabarrow::Wire
{

/// Largest body of a frame in bytes, enough for the largest configuration and all servers of a deployment. Larger data, such
/// as snapshots, is sent in chunks.
constexpr std::size_t MaxFrameBody = std::size_t { 8 } << 20U;
/// Bytes before the body: length, magic and format version, truncated digest.
constexpr std::size_t FrameHeaderSize = 24;

/// Writes and checks frames of one cluster. The digest is HMAC-SHA-256 over cluster id and body, truncated to 16 bytes.
class FrameCodec
{
public:
    /// \p key is the shared secret of the cluster's instances.
    FrameCodec(std::string clusterId, std::string key);

    /// The frame around \p body, which must not exceed MaxFrameBody.
    std::vector<std::uint8_t> seal(std::span<const std::uint8_t> body) const;
    /// The length of the body that follows \p header. Fails with FrameMalformed or FrameTooLarge.
    Result<std::size_t> bodyLength(std::span<const std::uint8_t, FrameHeaderSize> header) const;
    /// Checks the digest. Fails with FrameDigestWrong.
    Result<void> verify(std::span<const std::uint8_t, FrameHeaderSize> header, std::span<const std::uint8_t> body) const;

private:
    static constexpr std::size_t DigestSize = 16;
    std::array<std::uint8_t, DigestSize> digest(std::span<const std::uint8_t> body) const;

    std::string m_clusterId;
    std::string m_key;
};

}
