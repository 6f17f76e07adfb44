#include "routing/rules.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace Galenabarrow::Routing
{

namespace
{

tl::unexpected<Error> invalid(const std::string &detail)
{
    return failure(ResultCode::ConfigInvalid, detail);
}

Result<void> validateSplit(const Route &route, const std::set<ServiceId> &services)
{
    double sum = 0;
    for (const SplitPart &it : route.split) {
        if (!services.contains(it.service)) {
            return invalid("route " + route.name + " refers to the unknown service " + it.service.value());
        }
        if (!std::isfinite(it.weight) || it.weight < 0) {
            return invalid("route " + route.name + " has a weight that is not a finite number of at least 0");
        }
        sum += it.weight;
    }
    if (sum <= 0) {
        return invalid("the sum of the weights of route " + route.name + " must be above 0");
    }
    return {};
}

Result<void> validateRoute(const Route &route, const std::set<ServiceId> &services)
{
    if (route.name.empty() || route.host.empty()) {
        return invalid("a route needs a name and a host");
    }
    if (route.prefix.empty() || route.prefix.front() != '/' || route.prefix.back() != '/') {
        return invalid("the prefix of route " + route.name + " must begin and end with a slash");
    }
    if (route.timeout <= Duration {}) {
        return invalid("the timeout of route " + route.name + " must be above 0");
    }
    return validateSplit(route, services);
}

bool isNonNegative(double value)
{
    return std::isfinite(value) && value >= 0;
}

/// Whether servers can receive \p text as the value of a header field.
bool isFieldValue(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char c) { return static_cast<unsigned char>(c) < ' ' || c == '\x7f'; });
}

/// The messages name accounts by name or position and contain no key.
Result<void> validateAccounts(const std::vector<ClientAccount> &accounts)
{
    std::unordered_set<std::string> names;
    std::unordered_set<std::string> keys;
    for (std::size_t n = 0; n < accounts.size(); ++n) {
        const ClientAccount &account = accounts[n];
        const std::string place = "client account " + std::to_string(n) + " (" + account.name.value() + ")";
        if (account.name.value().empty() || !names.insert(account.name.value()).second) {
            return invalid(place + " has no name or a duplicate name");
        }
        if (!isFieldValue(account.name.value())) {
            return invalid("the name of client account " + std::to_string(n) + " contains control characters");
        }
        if (!isNonNegative(account.perSecond) || !isNonNegative(account.burst)) {
            return invalid(place + " has a rate or a burst that is not a finite number of at least 0");
        }
        for (const std::string &key : account.keys) {
            if (key.empty() || !keys.insert(key).second) {
                return invalid(place + " has an empty key or one that occurs twice");
            }
        }
    }
    return {};
}

/// Replaces or adds items by name. A patch may contain thousands of items, so existing ones are found by an index of names.
template<typename Item, typename Name>
void upsert(std::vector<Item> &items, const std::vector<Item> &changed, Name name)
{
    if (changed.empty()) {
        return;
    }
    std::unordered_map<std::string, std::size_t> positions;
    for (std::size_t n = 0; n < items.size(); ++n) {
        positions.emplace(name(items[n]), n);
    }
    for (const Item &item : changed) {
        const auto [position, isNew] = positions.try_emplace(name(item), items.size());
        if (isNew) {
            items.push_back(item);
        } else {
            items[position->second] = item;
        }
    }
}

template<typename Item, typename Name>
void removeNamed(std::vector<Item> &items, const std::vector<std::string> &removed, Name name)
{
    const std::unordered_set<std::string> names(removed.begin(), removed.end());
    std::erase_if(items, [&](const Item &it) { return names.contains(name(it)); });
}

}

std::size_t encodedBound(const RoutingConfig &config)
{
    // Upper bounds for offsets, lengths, numbers and padding.
    constexpr std::size_t ItemBytes = 200;
    constexpr std::size_t PartBytes = 40;
    std::size_t bytes = ItemBytes + config.extra.size() + config.limits.extra.size();
    for (const Route &it : config.routes) {
        bytes += ItemBytes + it.name.size() + it.host.size() + it.prefix.size() + it.extra.size();
        for (const SplitPart &part : it.split) {
            bytes += PartBytes + part.service.value().size();
        }
    }
    for (const Service &it : config.services) {
        bytes += ItemBytes + it.name.value().size() + it.healthPath.size() + it.extra.size();
    }
    for (const ClientAccount &it : config.accounts) {
        bytes += ItemBytes + it.name.value().size() + it.extra.size();
        for (const std::string &key : it.keys) {
            bytes += PartBytes + key.size();
        }
    }
    return bytes;
}

Result<void> validate(const RoutingConfig &config)
{
    if (const std::size_t bytes = encodedBound(config); bytes > MaxConfigBytes) {
        return invalid("the configuration takes " + std::to_string(bytes) + " bytes, the limit is " + std::to_string(MaxConfigBytes));
    }
    std::set<ServiceId> services;
    for (const Service &it : config.services) {
        if (it.name.value().empty() || !services.insert(it.name).second) {
            return invalid("a service has no name or a duplicate name: " + it.name.value());
        }
        if (!isNonNegative(it.coldPerSecond)) {
            return invalid("the rate of cold servers of service " + it.name.value() + " is not a finite number of at least 0");
        }
    }
    std::set<std::pair<std::string, std::string>> hostPrefixes;
    std::set<std::string> names;
    for (const Route &it : config.routes) {
        if (Result<void> done = validateRoute(it, services); !done) {
            return done;
        }
        if (!hostPrefixes.emplace(it.host, it.prefix).second) {
            return invalid("two routes have the same host and prefix: " + it.host + it.prefix);
        }
        if (!names.insert(it.name).second) {
            return invalid("two routes are named " + it.name);
        }
    }
    return validateAccounts(config.accounts);
}

RoutingConfig apply(const ConfigChange &change, const RoutingConfig &current)
{
    if (!change.isPatch) {
        RoutingConfig config = change.config;
        config.version = change.version;
        config.hasAccounts = config.requiresKeys();
        return config;
    }
    RoutingConfig config = current;
    config.version = change.version;
    if (change.hasLimits) {
        config.limits = change.config.limits;
    }
    const auto routeName = [](const Route &it) -> const std::string & { return it.name; };
    const auto serviceName = [](const Service &it) -> const std::string & { return it.name.value(); };
    const auto accountName = [](const ClientAccount &it) -> const std::string & { return it.name.value(); };
    removeNamed(config.routes, change.removedRoutes, routeName);
    removeNamed(config.services, change.removedServices, serviceName);
    removeNamed(config.accounts, change.removedAccounts, accountName);
    upsert(config.routes, change.config.routes, routeName);
    upsert(config.services, change.config.services, serviceName);
    upsert(config.accounts, change.config.accounts, accountName);
    // A patch that removes the last account leaves the empty list.
    config.hasAccounts = config.requiresKeys();
    return config;
}

}
