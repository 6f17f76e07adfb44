#pragma once

#include "base/resultcode.h"
#include "ctl/commandcontext.h"

namespace Galenabarrow::Ctl
{

/// Asks every address. Fails with Unreachable when one of them did not answer, after all others were printed.
Result<void> status(const CommandContext &context);
/// Merges the data of every address into one report. Fails as status does, after the report of the others was printed.
Result<void> burn(const CommandContext &context);

}
