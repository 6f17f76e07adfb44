#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace Galenabarrow::Gateway
{

/// The load that a backend server reported with a response.
struct LoadReport {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 1;
    /// Ratio of the current duration of work to the usual one.
    double slowness = 1;
    Instant at {};
};

/// Parses "running,waiting,slots[,percent]"; absent when \p text has another form.
std::optional<LoadReport> parseLoadReport(std::string_view text, Instant at);

/// Short text for log lines: "2+1/3x1.5" for two requests running and one waiting on three slots, at 1.5 times the usual duration.
std::string describe(const LoadReport &report);

}
