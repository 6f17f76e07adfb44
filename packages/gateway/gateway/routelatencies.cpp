#include "gateway/routelatencies.h"

namespace Galenabarrow::Gateway
{

void RouteLatencies::record(const std::string &route, std::string_view outcome, Duration latency)
{
    const bool hasSeries = m_routes.contains(route) || m_routes.size() < MaxRoutes;
    m_routes[hasSeries ? route : std::string(OtherRoutes)][outcome].record(latency);
}

void RouteLatencies::write(Report::MetricsText &text) const
{
    text.family("galenabarrow_gateway_latency_seconds", Report::MetricsText::Kind::Histogram,
                "Time to the final response by route and outcome.");
    for (const auto &[route, outcomes] : m_routes) {
        for (const auto &[outcome, histogram] : outcomes) {
            text.histogram({ { "route", route }, { "outcome", outcome } }, histogram);
        }
    }
}

}
