#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/id.h"
#include "base/resultcode.h"

namespace Galenabarrow::Actions
{

/// Longest instance name of a scope, in characters.
constexpr std::size_t MaxOwnerLength = 64;
/// Longest text of a key, in characters.
constexpr std::size_t MaxKeyTextLength = 128;

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

/// Reads `<instance>.<incarnation hex>.<window>`. Each scope has one spelling: lower-case hex without leading zeros.
/// Fails with HeaderInvalid.
Result<KeyScope> parseKeyScope(std::string_view text);
std::string printKeyScope(const KeyScope &scope);

/// Reads `<scope>:<text>`, or `<text>` for a key without a scope. The text has 1 to MaxKeyTextLength characters of
/// A-Z a-z 0-9 - _ . ~ + =. A colon always ends a scope, so a key with a damaged scope is refused and never taken
/// for one without a scope. Fails with HeaderInvalid.
Result<ActionKey> parseActionKey(std::string_view text);
std::string printActionKey(const ActionKey &key);

/// The key as the registry and the replicated log hold it: with the customer in its text, so that equal texts of two
/// customers are two actions. The text holds a '/', which no parsed key contains.
ActionKey qualified(const ActionKey &key, const CustomerId &customer);

}
