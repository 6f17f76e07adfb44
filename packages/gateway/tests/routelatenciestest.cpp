#include "gateway/routelatencies.h"

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace Galenabarrow::Gateway;

namespace
{

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

}

// Guards against a metrics page and memory use that grow with the configuration: operators may have hundreds of routes.
TEST_CASE("latencies have a bounded number of series, and every request is counted in one")
{
    constexpr std::size_t Routes = 400;
    RouteLatencies latencies;
    for (std::size_t n = 0; n < Routes; ++n) {
        latencies.record("r" + std::to_string(n), "answered", std::chrono::milliseconds(5));
        latencies.record("r" + std::to_string(n), "rejected", std::chrono::milliseconds(1));
    }
    Report::MetricsText page;
    latencies.write(page);
    const std::string text = page.text();
    CHECK(countOf(text, "galenabarrow_gateway_latency_seconds_count{") == (RouteLatencies::MaxRoutes + 1) * 2);
    const std::string others = std::to_string(Routes - RouteLatencies::MaxRoutes);
    CHECK(text.find("latency_seconds_count{route=\"other\",outcome=\"answered\"} " + others + "\n") != std::string::npos);
    CHECK(text.find("latency_seconds_count{route=\"r0\",outcome=\"rejected\"} 1\n") != std::string::npos);
}
