#include "routing/rules.h"

#include <algorithm>
#include <cmath>
#include <set>
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
            return invalid("route " + route.name + " names the unknown service " + it.service.value());
        }
        if (!std::isfinite(it.weight) || it.weight < 0) {
            return invalid("route " + route.name + " has a weight that is not a number of 0 or more");
        }
        sum += it.weight;
    }
    if (sum <= 0) {
        return invalid("the weights of route " + route.name + " add up to 0");
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

template<typename Item, typename Name>
void upsert(std::vector<Item> &items, const std::vector<Item> &changed, Name name)
{
    for (const Item &item : changed) {
        const auto it = std::find_if(items.begin(), items.end(), [&](const Item &other) { return name(other) == name(item); });
        if (it == items.end()) {
            items.push_back(item);
        } else {
            *it = item;
        }
    }
}

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

}

Result<void> validate(const RoutingConfig &config)
{
    std::set<ServiceId> services;
    for (const Service &it : config.services) {
        if (it.name.value().empty() || !services.insert(it.name).second) {
            return invalid("a service has no name, or the name of another one: " + it.name.value());
        }
    }
    std::set<std::pair<std::string, std::string>> places;
    std::set<std::string> names;
    for (const Route &it : config.routes) {
        if (Result<void> done = validateRoute(it, services); !done) {
            return done;
        }
        if (!places.emplace(it.host, it.prefix).second) {
            return invalid("two routes share " + it.host + it.prefix);
        }
        if (!names.insert(it.name).second) {
            return invalid("two routes are named " + it.name);
        }
    }
    return {};
}

RoutingConfig apply(const ConfigChange &change, const RoutingConfig &current)
{
    if (!change.isPatch) {
        RoutingConfig config = change.config;
        config.version = change.version;
        return config;
    }
    RoutingConfig config = current;
    config.version = change.version;
    if (change.hasLimits) {
        config.limits = change.config.limits;
    }
    std::erase_if(config.routes, [&](const Route &it) { return contains(change.removedRoutes, it.name); });
    std::erase_if(config.services, [&](const Service &it) { return contains(change.removedServices, it.name.value()); });
    upsert(config.routes, change.config.routes, [](const Route &it) { return it.name; });
    upsert(config.services, change.config.services, [](const Service &it) { return it.name; });
    return config;
}

}
