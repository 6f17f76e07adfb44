#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace Galenabarrow::Gateway
{

/// The duration in whole milliseconds, rounded down, as decimal text.
std::string formatMilliseconds(Duration duration);
/// The duration in seconds with three decimals.
std::string formatSeconds(Duration duration);
/// Parses a number of whole milliseconds, 0 or more, and limits it to ten minutes; absent for null and for other text.
std::optional<Duration> parseMilliseconds(const std::string *field);
/// Parses a decimal number without sign and exponent; infinite if it is out of the range of double, absent for other text.
std::optional<double> parseDecimal(std::string_view text);
/// Whether callers take \p status to mean that their request has not run.
bool statesNotExecuted(unsigned status);

}
