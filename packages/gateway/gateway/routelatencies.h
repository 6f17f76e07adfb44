#pragma once

#include <map>
#include <string>
#include <string_view>

#include "report/latencyhistogram.h"
#include "report/metricstext.h"

namespace Galenabarrow::Gateway
{

/// Time to the final response by route and outcome, with a bounded number of series.
class RouteLatencies
{
public:
    /// Routes with their own series; the others share one. A histogram takes 1.4 KB, and there are three outcomes.
    static constexpr std::size_t MaxRoutes = 24;
    /// The label value for the routes that share a series.
    static constexpr std::string_view OtherRoutes = "other";

    /// \p outcome must be a string literal: only the view is stored. The outcomes are few and fixed.
    void record(const std::string &route, std::string_view outcome, Duration latency);
    void write(Report::MetricsText &text) const;

private:
    std::map<std::string, std::map<std::string_view, Report::LatencyHistogram>> m_routes;
};

}
