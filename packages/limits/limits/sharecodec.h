#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "base/resultcode.h"
#include "limits/shares.h"

namespace Galenabarrow::Limits
{

/// The payload of Wire::MessageKind::ShareRequest.
std::vector<std::uint8_t> encode(const ShareRequest &request);
/// Fails with FrameMalformed.
Result<ShareRequest> decodeShareRequest(std::span<const std::uint8_t> bytes);

/// The payload of Wire::MessageKind::ShareReply.
std::vector<std::uint8_t> encode(const ShareReply &reply);
/// Fails with FrameMalformed.
Result<ShareReply> decodeShareReply(std::span<const std::uint8_t> bytes);

}
