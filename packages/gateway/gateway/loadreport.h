#pragma once

#include <optional>
#include <string_view>

#include "base/clock.h"

namespace Galenabarrow::Gateway
{

/// What a backend server said of its load with a response.
struct LoadReport {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 1;
    /// Duration of work at that moment compared with the usual one.
    double slowness = 1;
    Instant at {};
};

/// Reads "running,waiting,slots[,percent]"; absent when \p text has another form.
std::optional<LoadReport> parseLoadReport(std::string_view text, Instant at);

}
