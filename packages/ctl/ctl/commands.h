#pragma once

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "ctl/operatorclient.h"

namespace Galenabarrow::Ctl
{

/// The parsed command line.
struct Invocation {
    /// The command and its arguments.
    std::vector<std::string> words;
    ClientOptions client;
    /// File with the bearer token; read when a command needs it.
    std::string tokenFile;
    /// Version that a change replaces.
    std::optional<std::uint64_t> expectedVersion;
    /// Id of a change that is resent; empty for a new change.
    std::string changeId;
    bool wantsJson = false;
};

/// The text of --help.
std::string helpText();

/// Runs one command. Results go to \p out, errors and warnings to \p err. Returns the exit status.
int run(const Invocation &invocation, std::ostream &out, std::ostream &err);

}
