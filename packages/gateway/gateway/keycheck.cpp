#include "gateway/keycheck.h"

#include <algorithm>
#include <optional>

namespace Galenabarrow::Gateway
{

namespace
{

constexpr std::string_view KeyField = "Authorization";
constexpr std::string_view KeyScheme = "Bearer";
constexpr std::string_view Blanks = " \t";

bool isKeyField(const Http::Field &field)
{
    return Http::equalsIgnoringCase(field.name, KeyField);
}

/// What follows the scheme in a bearer field; empty for a bearer field without a key, absent for another scheme.
std::optional<std::string_view> bearerKey(std::string_view value)
{
    const std::size_t schemeEnd = std::min(value.find_first_of(Blanks), value.size());
    if (!Http::equalsIgnoringCase(value.substr(0, schemeEnd), KeyScheme)) {
        return std::nullopt;
    }
    const std::size_t begin = value.find_first_not_of(Blanks, schemeEnd);
    return begin == std::string_view::npos ? std::string_view() : value.substr(begin);
}

/// The key of a request; empty without one. Several fields are ambiguous, as proxies and servers may read different ones.
std::string_view readKey(const Http::Fields &fields)
{
    const auto isField = [](const Http::Field &it) { return isKeyField(it); };
    if (std::count_if(fields.all().begin(), fields.all().end(), isField) != 1) {
        return {};
    }
    return bearerKey(*fields.find(KeyField)).value_or(std::string_view());
}

void removeKeys(Http::Fields &fields)
{
    std::vector<std::string> kept;
    for (const Http::Field &it : fields.all()) {
        if (isKeyField(it) && !bearerKey(it.value)) {
            kept.push_back(it.value);
        }
    }
    fields.remove(KeyField);
    for (const std::string &it : kept) {
        fields.add(KeyField, it);
    }
}

}

std::string ClientIdentity::name() const
{
    return account == nullptr ? std::string() : account->name.value();
}

int ClientIdentity::priority(const Routing::Route &route) const
{
    return account == nullptr ? route.priority : account->priority.value_or(route.priority);
}

void ClientIdentity::setFields(Http::Fields &fields, const HeaderNames &headerNames) const
{
    if (!hasAccounts) {
        return;
    }
    removeKeys(fields);
    fields.remove(headerNames.account);
    if (account != nullptr) {
        fields.add(headerNames.account, account->name.value());
    }
}

KeyCheck checkKey(const AccountIndex &accounts, const Http::Fields &fields, const Routing::Route &route)
{
    const ClientIdentity anonymous { accounts.requiresKeys(), nullptr };
    if (!accounts.requiresKeys() || route.isPublic) {
        return { KeyResult::Accepted, anonymous };
    }
    const std::string_view key = readKey(fields);
    if (key.empty()) {
        return { KeyResult::Missing, anonymous };
    }
    AccountPointer account = accounts.find(key);
    if (account == nullptr) {
        return { KeyResult::Unknown, anonymous };
    }
    return { KeyResult::Accepted, ClientIdentity { true, std::move(account) } };
}

}
