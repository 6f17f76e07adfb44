#pragma once

#include "base/resultcode.h"
#include "ctl/call.h"

namespace Galenabarrow::Ctl
{

Result<void> contractList(const Call &call);
Result<void> contractShow(const Call &call);
/// Reads and validates the file before anything is sent.
Result<void> contractPut(const Call &call);
Result<void> contractWithdraw(const Call &call);

}
