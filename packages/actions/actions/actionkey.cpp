#include "actions/actionkey.h"

#include <algorithm>
#include <charconv>

namespace Galenabarrow::Actions
{

namespace
{

constexpr int HexBase = 16;
constexpr int DecimalBase = 10;

bool isAlphanumeric(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool isOwnerCharacter(char c)
{
    return isAlphanumeric(c) || c == '-' || c == '_' || c == '.';
}

bool isTextCharacter(char c)
{
    return isOwnerCharacter(c) || c == '~' || c == '+' || c == '=';
}

/// Parses a number in its canonical form: lower-case digits, no leading zero, no sign.
template<typename Number>
std::optional<Number> parseNumber(std::string_view text, int base)
{
    if (text.empty() || (text.size() > 1 && text.front() == '0')) {
        return std::nullopt;
    }
    const bool allDigits = std::all_of(text.begin(), text.end(), [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
    Number value = 0;
    const char *end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, value, base);
    if (!allDigits || ec != std::errc() || stop != end) {
        return std::nullopt;
    }
    return value;
}

template<typename Number>
std::string printNumber(Number value, int base)
{
    char buf[24] = {};
    const auto [end, ec] = std::to_chars(buf, buf + sizeof buf, value, base);
    return ec == std::errc() ? std::string(buf, end) : std::string();
}

Result<void> checkText(std::string_view text)
{
    if (text.empty()) {
        return failure(ResultCode::HeaderInvalid, "the text of the action key is empty");
    }
    if (text.size() > MaxKeyTextLength) {
        return failure(ResultCode::HeaderInvalid,
                       "the text of the action key is longer than " + std::to_string(MaxKeyTextLength) + " characters");
    }
    if (!std::all_of(text.begin(), text.end(), isTextCharacter)) {
        return failure(ResultCode::HeaderInvalid, "the text of the action key has a character other than A-Z a-z 0-9 - _ . ~ + =");
    }
    return {};
}

}

Result<KeyScope> parseKeyScope(std::string_view text)
{
    // Searches from the right, because instance names may contain dots.
    const std::size_t windowDot = text.rfind('.');
    const std::size_t incarnationDot =
        windowDot == std::string_view::npos || windowDot == 0 ? std::string_view::npos : text.rfind('.', windowDot - 1);
    if (incarnationDot == std::string_view::npos) {
        return failure(ResultCode::HeaderInvalid, "the scope of the action key is not <instance>.<incarnation>.<window>");
    }
    const std::string_view owner = text.substr(0, incarnationDot);
    if (owner.empty() || owner.size() > MaxOwnerLength || !std::all_of(owner.begin(), owner.end(), isOwnerCharacter)) {
        return failure(ResultCode::HeaderInvalid, "the scope of the action key has an invalid instance name");
    }
    const auto incarnation = parseNumber<std::uint64_t>(text.substr(incarnationDot + 1, windowDot - incarnationDot - 1), HexBase);
    if (!incarnation || *incarnation == 0) {
        return failure(ResultCode::HeaderInvalid, "the scope of the action key has an invalid incarnation");
    }
    const auto window = parseNumber<std::uint32_t>(text.substr(windowDot + 1), DecimalBase);
    if (!window) {
        return failure(ResultCode::HeaderInvalid, "the scope of the action key has an invalid window");
    }
    return KeyScope { InstanceId(std::string(owner)), Incarnation(*incarnation), *window };
}

std::string printKeyScope(const KeyScope &scope)
{
    return scope.owner.value() + '.' + printNumber(scope.incarnation.value(), HexBase) + '.' + printNumber(scope.window, DecimalBase);
}

Result<ActionKey> parseActionKey(std::string_view text)
{
    const std::size_t colon = text.find(':');
    ActionKey key;
    if (colon != std::string_view::npos) {
        Result<KeyScope> scope = parseKeyScope(text.substr(0, colon));
        if (!scope) {
            return tl::make_unexpected(std::move(scope.error()));
        }
        key.scope = std::move(*scope);
        text.remove_prefix(colon + 1);
    }
    if (Result<void> valid = checkText(text); !valid) {
        return tl::make_unexpected(std::move(valid.error()));
    }
    key.text = std::string(text);
    return key;
}

std::string printActionKey(const ActionKey &key)
{
    return key.scope ? printKeyScope(*key.scope) + ':' + key.text : key.text;
}

ActionKey qualified(const ActionKey &key, const CustomerId &customer)
{
    return ActionKey { key.scope, customer.value() + '/' + key.text };
}

}
