#include "coordination/serverfacts.h"

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace Galenabarrow::Coordination;

namespace
{

/// The facts of a core instance with three entries and one server.
struct Fixture {
    Fixture()
    {
        Routing::BackendServer server;
        server.id = ServerId("s1");
        server.born = 5;
        servers[server.id] = server;
    }

    bool state(std::optional<double> perSecond)
    {
        now += std::chrono::milliseconds(10);
        facts.record(std::vector { ServerLimit { ServerId("s1"), 5, perSecond, {} } }, now);
        return facts.divideLimits(entries, servers, now);
    }

    std::vector<LimitShare> take(ServerFacts::Receiver &receiver, const char *entry = "e1") const
    {
        return facts.takeLimitChanges(InstanceId(entry), receiver, now);
    }

    std::vector<EntryInfo> entries {
        { InstanceId("e1"), "10.0.0.1:80", DataCentreId("north"), true },
        { InstanceId("e2"), "10.0.0.2:80", DataCentreId("north"), true },
        { InstanceId("e3"), "10.0.0.3:80", DataCentreId("north"), false },
    };
    LimitDivider::Servers servers;
    ServerFacts facts;
    Instant now = Instant {} + std::chrono::seconds(1000);
};

}

TEST_CASE("each entry is sent a limit with its own share, once, and its end")
{
    Fixture fixture;
    ServerFacts::Receiver first;
    ServerFacts::Receiver stopping;
    CHECK(fixture.take(first).empty());
    REQUIRE(fixture.state(8));
    const std::vector<LimitShare> shares = fixture.take(first);
    REQUIRE(shares.size() == 1);
    CHECK(shares.front().perSecond == 4);
    CHECK(fixture.take(stopping, "e3").front().perSecond == 0); // not ready, so it gets no share but must know the limit
    CHECK(fixture.take(first).empty());
    REQUIRE(fixture.state(std::nullopt));
    const std::vector<LimitShare> end = fixture.take(first);
    REQUIRE(end.size() == 1);
    CHECK_FALSE(end.front().limit.perSecond);
    ServerFacts::Receiver late;
    CHECK(fixture.take(late).empty());
}

// Guards against entries that keep the limit of a server that has started again.
TEST_CASE("the limit of a server that has started again ends at the entries")
{
    Fixture fixture;
    ServerFacts::Receiver receiver;
    fixture.state(8);
    fixture.take(receiver);
    fixture.servers[ServerId("s1")].born = 6;
    REQUIRE(fixture.facts.divideLimits(fixture.entries, fixture.servers, fixture.now));
    const std::vector<LimitShare> end = fixture.take(receiver);
    REQUIRE(end.size() == 1);
    CHECK_FALSE(end.front().limit.perSecond);
    CHECK(end.front().limit.born == 5);
}

TEST_CASE("limits are divided again in intervals only while there are any")
{
    Fixture fixture;
    CHECK_FALSE(fixture.facts.isDivisionDue(fixture.now));
    fixture.state(8);
    CHECK_FALSE(fixture.facts.isDivisionDue(fixture.now));
    CHECK(fixture.facts.isDivisionDue(fixture.now + std::chrono::seconds(1)));
}
