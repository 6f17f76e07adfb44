#pragma once

#include "base/resultcode.h"

namespace Galenabarrow::Ctl
{

/// The exit status of galenabarrowctl for \p code. Result codes go up to 508 and an exit status to 255, so each hundred
/// of codes has a base to which the last two digits are added: 1xx 10, 2xx 30, 3xx 50, 4xx 70, 5xx 100. 0 is success. 1
/// stands for everything else, such as a flag that gflags refuses. Statuses from 126 on belong to the shell.
int exitCode(ResultCode code);

}
