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

// Pattern: many servers crash and no request is at fault. Guards against requests that are held back by mistake.
TEST_CASE("when servers crash by themselves, no request is held back, and one that is repeated unchanged is served")
{
    Fixture fixture({ 1, 6, 8 }, Routing::RequestKind::Safe);
    Cluster &cluster = fixture.cluster;
    std::size_t next = 0;
    for (int n = 0; n < 40; ++n) {
        cluster.servers[next++ % 4]->crash();
        for (int call = 0; call < 4; ++call) {
            cluster.send(next++ % cluster.entries.size(), "/popular");
            cluster.runFor(std::chrono::milliseconds(100));
        }
    }
    for (const auto &it : cluster.entries) {
        CHECK(it->metrics().find("events_total{event=\"held_back\"} 0") != std::string::npos);
    }
    const std::size_t total = 40 * 16 + 160;
    CHECK(cluster.statuses[200] >= total - total / 100);
}

// Guards against requests that are blamed for servers which reset connections but go on running.
TEST_CASE("a request whose connections are only reset is not held back")
{
    Fixture fixture({ 1, 4, 4 }, Routing::RequestKind::Unsafe);
    for (const auto &it : fixture.cluster.servers) {
        it->behaviour = Behaviour::Break;
    }
    const std::size_t before = fixture.cluster.requests();
    fixture.cluster.runFor(std::chrono::seconds(2));
    CHECK(fixture.cluster.requests() - before >= 75);
    CHECK(fixture.cluster.statuses[503] == 0);
}
