#pragma once

#include "base/resultcode.h"
#include "ctl/commandcontext.h"

namespace Galenabarrow::Ctl
{

Result<void> contractList(const CommandContext &context);
Result<void> contractShow(const CommandContext &context);
/// Reads and validates the file before anything is sent.
Result<void> contractPut(const CommandContext &context);
Result<void> contractWithdraw(const CommandContext &context);

}
