#include "routing/confighistory.h"

#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace Galenabarrow::Routing
{

namespace
{

const std::string &nameOf(const Route &route)
{
    return route.name;
}

const std::string &nameOf(const Service &service)
{
    return service.name.value();
}

const std::string &nameOf(const ClientAccount &account)
{
    return account.name.value();
}

/// Names of the items that were added, changed or removed between two lists.
template<typename Item>
std::vector<std::string> changedNames(const std::vector<Item> &before, const std::vector<Item> &after)
{
    std::unordered_map<std::string, const Item *> old;
    for (const Item &it : before) {
        old.emplace(nameOf(it), &it);
    }
    std::vector<std::string> names;
    for (const Item &it : after) {
        const auto same = old.find(nameOf(it));
        if (same == old.end() || !(*same->second == it)) {
            names.push_back(nameOf(it));
        }
        if (same != old.end()) {
            old.erase(same);
        }
    }
    for (const auto &[name, item] : old) {
        names.push_back(name);
    }
    return names;
}

template<typename Item>
std::vector<std::string> patchedNames(const std::vector<Item> &items, const std::vector<std::string> &removed)
{
    std::vector<std::string> names = removed;
    for (const Item &it : items) {
        names.push_back(nameOf(it));
    }
    return names;
}

/// Copies the named items of \p current to \p changed, and the names without an item to \p removed.
template<typename Item>
void splitByPresence(const std::vector<Item> &current, std::unordered_set<std::string> names, std::vector<Item> &changed,
                     std::vector<std::string> &removed)
{
    if (names.empty()) {
        return;
    }
    for (const Item &it : current) {
        if (names.erase(nameOf(it)) > 0) {
            changed.push_back(it);
        }
    }
    removed.assign(names.begin(), names.end());
}

}

void ConfigHistory::record(LogIndex at, const ConfigChange &change, const RoutingConfig &before, const RoutingConfig &after)
{
    // A patch carries only routes, services, accounts and limits: a change of other members requires the whole configuration.
    if (before.version == Version() || before.extra != after.extra || before.hasAccounts != after.hasAccounts) {
        restart(at);
        return;
    }
    Edit edit;
    edit.at = at;
    if (change.isPatch) {
        edit.routes = patchedNames(change.config.routes, change.removedRoutes);
        edit.services = patchedNames(change.config.services, change.removedServices);
        edit.accounts = patchedNames(change.config.accounts, change.removedAccounts);
    } else {
        edit.routes = changedNames(before.routes, after.routes);
        edit.services = changedNames(before.services, after.services);
        edit.accounts = changedNames(before.accounts, after.accounts);
    }
    m_nameCount += edit.nameCount();
    m_edits.push_back(std::move(edit));
    prune();
}

void ConfigHistory::restart(LogIndex at)
{
    m_edits.clear();
    m_nameCount = 0;
    m_missingUpTo = at;
}

void ConfigHistory::prune()
{
    while (m_nameCount > MaxNames) {
        m_nameCount -= m_edits.front().nameCount();
        m_missingUpTo = m_edits.front().at;
        m_edits.pop_front();
    }
}

ConfigChange ConfigHistory::changeSince(LogIndex known, const RoutingConfig &current) const
{
    ConfigChange change;
    change.version = current.version;
    if (known < m_missingUpTo || known == LogIndex()) {
        change.config = current;
        return change;
    }
    std::unordered_set<std::string> routes;
    std::unordered_set<std::string> services;
    std::unordered_set<std::string> accounts;
    for (auto it = m_edits.rbegin(); it != m_edits.rend() && it->at > known; ++it) {
        routes.insert(it->routes.begin(), it->routes.end());
        services.insert(it->services.begin(), it->services.end());
        accounts.insert(it->accounts.begin(), it->accounts.end());
    }
    change.isPatch = true;
    change.hasLimits = true;
    change.config.limits = current.limits;
    splitByPresence(current.routes, std::move(routes), change.config.routes, change.removedRoutes);
    splitByPresence(current.services, std::move(services), change.config.services, change.removedServices);
    splitByPresence(current.accounts, std::move(accounts), change.config.accounts, change.removedAccounts);
    return change;
}

}
