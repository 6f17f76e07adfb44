#pragma once

#include <iosfwd>
#include <string>
#include <string_view>

#include "base/resultcode.h"

namespace Galenabarrow::Ctl
{

struct CommandContext;

/// Prints the story of the request \p id from the log lines of \p in, in order of time: its own lines, and what the same
/// instance believed before (configuration, core instance, starts and stops). Lines without a time are left out. Fails with
/// Unreachable when no line names the request.
Result<void> explainRequest(std::string_view id, std::istream &in, std::ostream &out);

/// The command: reads a file, or standard input for "-".
Result<void> explain(const CommandContext &context);

}
