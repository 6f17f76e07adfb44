#include "routing/routetable.h"

#include <algorithm>
#include <cctype>

namespace Galenabarrow::Routing
{

namespace
{

std::string normalizedHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

}

RouteTable::RouteTable(const RoutingConfig &config)
{
    for (const Route &it : config.routes) {
        m_routes[normalizedHost(it.host)].push_back(std::make_shared<const Route>(it));
    }
    for (auto &[host, routes] : m_routes) {
        std::sort(routes.begin(), routes.end(),
                  [](const RoutePointer &a, const RoutePointer &b) { return a->prefix.size() > b->prefix.size(); });
    }
}

RoutePointer RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto it = m_routes.find(normalizedHost(host));
    if (it == m_routes.end()) {
        return nullptr;
    }
    const auto route = std::find_if(it->second.begin(), it->second.end(),
                                    [path](const RoutePointer &candidate) { return path.starts_with(candidate->prefix); });
    return route == it->second.end() ? nullptr : *route;
}

}
