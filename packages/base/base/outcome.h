#pragma once

#include <cstdint>

namespace Galenabarrow
{

/// What a caller is told about its call.
enum class Outcome : std::uint8_t {
    /// A server answered; the answer is passed on whole.
    Answered,
    /// Proved that no server ran the call.
    NotRun,
    /// The call may or may not have run.
    Unknown,
};

}
