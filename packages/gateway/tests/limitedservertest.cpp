#include "cluster.h"

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace Galenabarrow::Gateway;

namespace
{

/// What a server tolerates beyond its limit: in any window, this factor of the limit and some requests more. The limit binds from the
/// end of the notice on.
constexpr Duration Window = std::chrono::seconds(4);
constexpr Duration Notice = std::chrono::seconds(3);

std::size_t tolerated(double perSecond)
{
    return static_cast<std::size_t>(1.5 * perSecond * 4 + 5);
}

}

// Guards against entries that each stay below the limit of a server, or do not read it, while their sum is a multiple of it.
TEST_CASE("all entries together keep to the limit that a server states")
{
    struct Row {
        double limit;
        std::size_t coreInstances;
    };
    const auto [limit, coreInstances] = GENERATE(Row { 1.8, 1 }, Row { 2.7, 3 }, Row { 10, 3 });
    Cluster cluster({ coreInstances, 8, 3 });
    cluster.startCallers(60);
    cluster.runFor(std::chrono::seconds(2));
    const Instant statedAt = cluster.clock.now();
    cluster.servers[0]->limit = std::to_string(limit);
    cluster.runFor(std::chrono::seconds(15));
    CHECK(mostArrivals(cluster.servers[0]->arrivals, statedAt + Notice, Window) <= tolerated(limit));
    CHECK(cluster.statuses[200] >= 60 * 16);
    CHECK(cluster.statuses[503] == 0);
}
