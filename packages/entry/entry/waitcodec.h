#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "base/resultcode.h"
#include "entry/waitexchange.h"

namespace Galenabarrow::Entry
{

/// Encodes the payload of Wire::MessageKind::WaitReports.
std::vector<std::uint8_t> encode(const std::vector<WaitReport> &reports);
/// Decodes the payload of Wire::MessageKind::WaitReports. Fails with FrameMalformed.
Result<std::vector<WaitReport>> decodeWaitReports(std::span<const std::uint8_t> bytes);

}
