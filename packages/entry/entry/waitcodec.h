#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "base/resultcode.h"
#include "entry/waitexchange.h"

namespace Galenabarrow::Entry
{

/// The payload of Wire::MessageKind::WaitReports.
std::vector<std::uint8_t> encode(const std::vector<WaitReport> &reports);
/// Fails with FrameMalformed.
Result<std::vector<WaitReport>> decodeWaitReports(std::span<const std::uint8_t> bytes);

}
