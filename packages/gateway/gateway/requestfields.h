#pragma once

#include <optional>
#include <string>

#include "base/clock.h"

namespace Galenabarrow::Gateway
{

/// The duration in whole milliseconds, rounded down, as decimal text.
std::string formatMilliseconds(Duration duration);
/// The duration in seconds with three decimals.
std::string formatSeconds(Duration duration);
/// Parses a number of whole milliseconds, 0 or more, and limits it to ten minutes; absent for null and for other text.
std::optional<Duration> parseMilliseconds(const std::string *field);
/// Whether callers take \p status to mean that their request has not run.
bool statesNotExecuted(unsigned status);

}
