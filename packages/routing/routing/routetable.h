#pragma once

#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "routing/model.h"

namespace Galenabarrow::Routing
{

/// A route as it was when a request chose it; it stays valid while requests use it.
using RoutePointer = std::shared_ptr<const Route>;

/// Finds the route of a request.
class RouteTable
{
public:
    explicit RouteTable(const RoutingConfig &config);

    /// The route of \p host (in any case, a port is ignored) with the longest prefix that begins \p path; null without one.
    RoutePointer find(std::string_view host, std::string_view path) const;

private:
    /// Routes by host, longest prefix first.
    std::unordered_map<std::string, std::vector<RoutePointer>> m_routes;
};

}
