#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/id.h"

namespace Galenabarrow::Actions
{

/// Binds an action key to the one entry incarnation that may dispatch it.
struct KeyScope {
    InstanceId owner;
    Incarnation incarnation;
    /// Number of the key window at the owner; rises by one for each window.
    std::uint32_t window = 0;

    bool operator==(const KeyScope &) const = default;
};

/// Names one action of a caller. Requests with equal keys are the same action.
struct ActionKey {
    /// Empty for a key that a caller made without a lookup; such a key is claimed in the replicated log first.
    std::optional<KeyScope> scope;
    /// Chosen by the caller.
    std::string text;

    bool operator==(const ActionKey &) const = default;
};

}
