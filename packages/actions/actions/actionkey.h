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

/// Maximum length of the instance name of a scope, in characters.
constexpr std::size_t MaxOwnerLength = 64;
/// Maximum length of the text of a key, in characters.
constexpr std::size_t MaxKeyTextLength = 128;

/// Binds an action key to the only entry incarnation that may dispatch it.
struct KeyScope {
    InstanceId owner;
    Incarnation incarnation;
    /// Sequence number of the key window at the owner.
    std::uint32_t window = 0;

    bool operator==(const KeyScope &) const = default;
};

/// Idempotency key of an action. Requests with equal keys are the same action.
struct ActionKey {
    /// Empty for a key that the caller created without a lookup; such a key must be claimed in the replicated log first.
    std::optional<KeyScope> scope;
    /// Chosen by the caller.
    std::string text;

    bool operator==(const ActionKey &) const = default;
};

/// Parses `<instance>.<incarnation hex>.<window>`. Each scope has exactly one spelling: lower-case hex, no leading zeros.
/// Fails with HeaderInvalid.
Result<KeyScope> parseKeyScope(std::string_view text);
std::string printKeyScope(const KeyScope &scope);

/// Parses `<scope>:<text>`, or `<text>` for a key without a scope. The text has 1 to MaxKeyTextLength characters of
/// A-Z a-z 0-9 - _ . ~ + =. A colon always ends a scope, so a key with a damaged scope is rejected and never accepted
/// as one without a scope. Fails with HeaderInvalid.
Result<ActionKey> parseActionKey(std::string_view text);
std::string printActionKey(const ActionKey &key);

/// The key as stored in the registry and the replicated log: its text is prefixed with the customer, so that equal texts of
/// two customers are different actions. The separator '/' cannot occur in the text of a parsed key.
ActionKey qualified(const ActionKey &key, const CustomerId &customer);

}
