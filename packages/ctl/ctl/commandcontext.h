#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "ctl/commands.h"
#include "ctl/operatorclient.h"

namespace Galenabarrow::Ctl
{

/// The inputs and outputs of one command.
struct CommandContext {
    const Invocation &invocation;
    /// The words after the name of the command, exactly as many as the command needs.
    const std::vector<std::string> &arguments;
    const OperatorClient &client;
    std::ostream &out;
    std::ostream &err;
};

}
