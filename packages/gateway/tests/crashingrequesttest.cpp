#include "cluster.h"

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace Galenabarrow::Gateway;

namespace
{

/// A request that has crashed three servers may be sent to servers a few more times, and only within the notice.
constexpr std::size_t Crashes = 3;
constexpr std::size_t Tolerated = 3;
constexpr Duration Notice = std::chrono::seconds(3);

/// A cluster whose servers crash on the path /deadly.
struct Fixture {
    explicit Fixture(Cluster::Size size, Routing::RequestKind kind)
        : cluster(size, kind)
    {
        for (const auto &it : cluster.servers) {
            it->work = std::chrono::milliseconds(30);
            it->deadlyPath = "/deadly";
        }
        cluster.startCallers(40);
        cluster.runFor(std::chrono::seconds(2));
        cluster.statuses.clear();
    }

    /// Sends the deadly request to the entries in turn.
    void sendDeadly(Duration interval, Duration time)
    {
        for (Duration passed {}; passed < time; passed += interval) {
            cluster.send(++m_next % cluster.entries.size(), "/deadly");
            cluster.runFor(interval);
        }
    }

    Cluster cluster;

private:
    std::size_t m_next = 0;
};

}

// Guards against one request that crashes server after server because each entry takes each copy of it for a new one.
TEST_CASE("a request that has crashed three servers is not sent to further ones by any entry")
{
    const auto kind = GENERATE(Routing::RequestKind::Safe, Routing::RequestKind::Unsafe);
    Fixture fixture({ 3, 8, 8 }, kind);
    fixture.sendDeadly(std::chrono::milliseconds(300), std::chrono::seconds(20));
    const std::vector<Instant> arrivals = fixture.cluster.arrivals("/deadly");
    REQUIRE(arrivals.size() >= Crashes);
    const Instant binding = arrivals[Crashes - 1] + Notice;
    const auto later = arrivals.end() - std::lower_bound(arrivals.begin(), arrivals.end(), binding);
    CHECK(static_cast<std::size_t>(later) <= Tolerated);
    // Few of the other callers may notice.
    CHECK(fixture.cluster.statuses[200] >= 40 * 20 - 40);
}
