#pragma once

#include <cstdint>

namespace Galenabarrow
{

/// Outcome of a call as reported to its caller.
enum class Outcome : std::uint8_t {
    /// A server answered, and its complete answer is forwarded to the caller.
    Answered,
    /// It is certain that no server ran the call.
    NotRun,
    /// A server may or may not have run the call.
    Unknown,
};

}
