#pragma once

#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "routing/model.h"

namespace Galenabarrow::Routing
{

/// An immutable route; stays valid for requests in progress after a change of the configuration.
using RoutePointer = std::shared_ptr<const Route>;

/// Finds the route of a request.
class RouteTable
{
public:
    explicit RouteTable(const RoutingConfig &config);

    /// The route of \p host (case-insensitive, without regard to a port) with the longest prefix of \p path; null without one.
    RoutePointer find(std::string_view host, std::string_view path) const;

private:
    /// Routes by host, longest prefix first.
    std::unordered_map<std::string, std::vector<RoutePointer>> m_routes;
};

}
