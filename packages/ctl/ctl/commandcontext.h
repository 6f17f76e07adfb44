#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "ctl/commands.h"
#include "ctl/operatorclient.h"

namespace Galenabarrow::Ctl
{

/// What a command works with.
struct CommandContext {
    const Invocation &invocation;
    /// The words after the name of the command; their number was checked.
    const std::vector<std::string> &arguments;
    const OperatorClient &client;
    std::ostream &out;
    std::ostream &err;
};

}
