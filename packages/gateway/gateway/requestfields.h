#pragma once

#include <optional>
#include <string>

#include "base/clock.h"

namespace Galenabarrow::Gateway
{

/// Whole milliseconds, rounded down.
std::string formatMilliseconds(Duration duration);
/// Reads whole milliseconds of 0 or more, up to ten minutes; absent for null and for other text.
std::optional<Duration> parseMilliseconds(const std::string *field);
/// Statuses that promise a caller that its request has not run.
bool statesNotExecuted(unsigned status);

}
