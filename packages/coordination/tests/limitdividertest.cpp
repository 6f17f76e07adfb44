#include "coordination/limitdivider.h"

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace Galenabarrow::Coordination;

namespace
{

/// A divider with two data centres of entries and one of servers, on a clock that the test advances.
struct Fixture {
    explicit Fixture(std::size_t entryCount = 17, std::size_t serverCount = 1)
    {
        for (std::size_t n = 0; n < entryCount; ++n) {
            const char *dataCentre = n % 2 == 0 ? "north" : "south";
            entries.push_back(EntryInfo { InstanceId("entry-" + std::to_string(n)), "10.0.0.1:80", DataCentreId(dataCentre), true });
        }
        for (std::size_t n = 0; n < serverCount; ++n) {
            Routing::BackendServer server;
            server.id = ServerId("s" + std::to_string(n));
            server.dataCentre = DataCentreId("north");
            server.born = 5;
            servers[server.id] = server;
        }
    }

    bool state(std::optional<double> perSecond, const char *server = "s0", Duration age = {}, std::uint64_t born = 5)
    {
        return divider.record(ServerLimit { ServerId(server), born, perSecond, age }, now);
    }

    bool divide()
    {
        return divider.divide(entries, servers, now);
    }

    /// Sum of the shares of a server over all entries.
    double sum(const char *server = "s0") const
    {
        double sum = 0;
        for (const EntryInfo &it : entries) {
            const auto shares = divider.shares(it.name, now);
            sum += shares.contains(ServerId(server)) ? shares.at(ServerId(server)).perSecond : 0;
        }
        return sum;
    }

    std::set<InstanceId> holders(const char *server = "s0") const
    {
        std::set<InstanceId> names;
        for (const EntryInfo &it : entries) {
            const auto shares = divider.shares(it.name, now);
            if (shares.contains(ServerId(server)) && shares.at(ServerId(server)).perSecond > 0) {
                names.insert(it.name);
            }
        }
        return names;
    }

    std::vector<EntryInfo> entries;
    LimitDivider::Servers servers;
    LimitDivider divider;
    Instant now = Instant {} + std::chrono::seconds(1000);
};

}

// Guards against parts of a limit that add up to more than it, and against parts so small that an entry could never use them.
TEST_CASE("the shares of a limit add up to it, and each of them allows a request within seconds")
{
    const std::size_t entryCount = GENERATE(1, 17, 106, 312);
    const double limit = GENERATE(0.3, 1.8, 2.7, 50.0, 1000.0);
    Fixture fixture(entryCount);
    fixture.state(limit);
    REQUIRE(fixture.divide());
    CHECK(fixture.sum() == Approx(limit));
    const auto holders = static_cast<double>(fixture.holders().size());
    CHECK(limit / holders >= std::min(limit, LimitDivider::MinShare));
    // Each holder may accumulate one request, so the holders together may exceed the limit by that many in a burst.
    CHECK(holders <= std::max(1.0, 2 * limit));
}

TEST_CASE("entries of the server's data centre get shares first")
{
    Fixture fixture(17);
    fixture.state(2);
    fixture.divide();
    for (const InstanceId &it : fixture.holders()) {
        const auto entry =
            std::find_if(fixture.entries.begin(), fixture.entries.end(), [&](const EntryInfo &info) { return info.name == it; });
        CHECK(entry->dataCentre == DataCentreId("north"));
    }
    CHECK(fixture.holders().size() == 4);
}

// Guards against a limit of which a part is lost with each entry, or is given out twice.
TEST_CASE("an entry that comes or goes moves only its own share")
{
    Fixture fixture(106);
    fixture.state(3);
    fixture.divide();
    const std::set<InstanceId> before = fixture.holders();
    CHECK_FALSE(fixture.divide());
    std::erase_if(fixture.entries, [&](const EntryInfo &it) { return it.name == *before.begin(); });
    CHECK(fixture.divide());
    CHECK(fixture.sum() == Approx(3));
    const std::set<InstanceId> after = fixture.holders();
    std::set<InstanceId> kept;
    std::set_intersection(before.begin(), before.end(), after.begin(), after.end(), std::inserter(kept, kept.end()));
    CHECK(kept.size() == before.size() - 1);
    fixture.entries.push_back(EntryInfo { *before.begin(), "10.0.0.1:80", DataCentreId("north"), true });
    fixture.divide();
    CHECK(fixture.holders() == before);
}

// Pattern: all servers of a service state a limit at once. If few entries held the shares, the callers of the others would be rejected
// while the servers take more.
TEST_CASE("the shares of many servers are spread over all entries")
{
    constexpr std::size_t Servers = 284;
    Fixture fixture(312, Servers);
    for (std::size_t n = 0; n < Servers; ++n) {
        fixture.state(1.8, ("s" + std::to_string(n)).c_str());
    }
    fixture.divide();
    std::size_t without = 0;
    double most = 0;
    for (const EntryInfo &it : fixture.entries) {
        double sum = 0;
        for (const auto &[server, share] : fixture.divider.shares(it.name, fixture.now)) {
            sum += share.perSecond;
        }
        without += it.dataCentre == DataCentreId("north") && sum == 0 ? 1 : 0;
        most = std::max(most, sum);
    }
    CHECK(without == 0);
    CHECK(most <= 4 * Servers * 1.8 / 156);
}

TEST_CASE("of two statements about a limit the newer one counts, whichever arrives first")
{
    Fixture fixture;
    CHECK(fixture.state(2));
    fixture.divide();
    CHECK_FALSE(fixture.state(9, "s0", std::chrono::seconds(1)));
    CHECK_FALSE(fixture.state(std::nullopt, "s0", std::chrono::seconds(1)));
    CHECK(fixture.sum() == Approx(2));
    fixture.now += std::chrono::milliseconds(10);
    CHECK(fixture.state(0.5));
    fixture.divide();
    CHECK(fixture.sum() == Approx(0.5));
    fixture.now += std::chrono::milliseconds(10);
    CHECK(fixture.state(std::nullopt));
    CHECK(fixture.divide());
    CHECK(fixture.sum() == 0);
    CHECK(fixture.divider.size() == 0);
    // A late report of the limit that has ended.
    CHECK_FALSE(fixture.state(2, "s0", std::chrono::milliseconds(10)));
}

// Guards against a statement that never gets old because instances repeat it to each other: it would hide its own end.
TEST_CASE("a statement that is passed on again and again keeps its age")
{
    Fixture fixture;
    fixture.state(2);
    for (int n = 0; n < 100; ++n) {
        const Duration age = fixture.divider.limits(fixture.now).front().age;
        fixture.now += std::chrono::milliseconds(20);
        CHECK_FALSE(fixture.state(2, "s0", age));
    }
    CHECK(fixture.divider.limits(fixture.now).front().age == std::chrono::milliseconds(2000));
}

TEST_CASE("the limit of a server that has left or started again is forgotten")
{
    Fixture fixture;
    fixture.state(2);
    fixture.divide();
    SECTION("left")
    {
        fixture.servers[ServerId("s0")].state = Routing::ServerState::Gone;
    }
    SECTION("started again")
    {
        fixture.servers[ServerId("s0")].born = 6;
    }
    CHECK(fixture.divide());
    CHECK(fixture.divider.isEmpty());
    CHECK(fixture.sum() == 0);
}

// Guards against servers that get nothing for ever: only a response shows that a server takes more again.
TEST_CASE("a limit of 0 leaves one entry a request in ten seconds")
{
    Fixture fixture;
    fixture.state(0);
    fixture.divide();
    CHECK(fixture.sum() == Approx(0.1));
    CHECK(fixture.holders().size() == 1);
}
