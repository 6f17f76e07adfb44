#pragma once

#include <iosfwd>
#include <string>
#include <string_view>

#include "base/resultcode.h"

namespace Galenabarrow::Ctl
{

struct CommandContext;

/// Prints a timeline of the request \p id from the log lines of \p in, sorted by time: the lines of the request, marked with
/// ">", and for each source the newest state event of each kind (configuration, core instance, starts and stops) up to the
/// last line of the request. Lines without a time are left out. Fails with Unreachable when no line names the request.
Result<void> explainRequest(std::string_view id, std::istream &in, std::ostream &out);

/// The command "explain": reads a file, or standard input for "-".
Result<void> explain(const CommandContext &context);

}
