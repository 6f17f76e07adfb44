#pragma once

#include "base/resultcode.h"
#include "ctl/commandcontext.h"

namespace Galenabarrow::Ctl
{

/// Prints the state of the instance at every address. Fails with Unreachable when one of them did not answer, after the
/// others were printed.
Result<void> status(const CommandContext &context);
/// Merges the data of every address into one report. Fails as status does, after the report of the others was printed.
Result<void> burn(const CommandContext &context);

}
