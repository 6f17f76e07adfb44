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

// Pattern: the whole service is in need. Guards against callers that wait in vain, and against limits that are not used up.
TEST_CASE("when all servers state limits, these are used up and the other requests are rejected at once")
{
    Cluster cluster({ 1, 8, 4 });
    cluster.startCallers(60);
    for (const auto &it : cluster.servers) {
        it->limit = "2.5";
    }
    cluster.runFor(std::chrono::seconds(4));
    const std::size_t before = cluster.requests();
    cluster.statuses.clear();
    cluster.runFor(std::chrono::seconds(20));
    const std::size_t offered = 4 * 20 * 5 / 2;
    CHECK(cluster.requests() - before >= offered * 85 / 100);
    CHECK(cluster.requests() - before <= offered * 110 / 100);
    CHECK(cluster.statuses[200] + cluster.statuses[503] >= 60 * 20 - 10);
    CHECK(cluster.statuses[0] + cluster.statuses[502] + cluster.statuses[504] == 0);
}

TEST_CASE("a server that states no limit any more gets its part again, also after a limit of 0")
{
    const std::string limit = GENERATE("1.5", "0");
    Cluster cluster({ 1, 6, 2 });
    cluster.startCallers(40);
    cluster.servers[0]->limit = limit;
    cluster.runFor(std::chrono::seconds(5));
    cluster.servers[0]->limit.clear();
    cluster.runFor(std::chrono::seconds(11));
    const std::size_t before = cluster.servers[0]->requests();
    cluster.runFor(std::chrono::seconds(2));
    CHECK(cluster.servers[0]->requests() - before >= 30);
    CHECK(cluster.statuses[503] == 0);
}
