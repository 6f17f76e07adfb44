#include "coordination/entrydirectory.h"

#include <set>

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace Galenabarrow::Coordination;

namespace
{

EntryInfo makeEntry(const std::string &dataCentre, int n, bool isReady = true)
{
    const std::string name = dataCentre + "-" + std::to_string(n);
    return EntryInfo { InstanceId(name), name + ":80", DataCentreId(dataCentre), isReady };
}

struct Fixture {
    Fixture()
    {
        for (int n = 0; n < 6; ++n) {
            directory.update(makeEntry("a", n), now);
            directory.update(makeEntry("b", n), now);
        }
        for (int n = 0; n < 5; ++n) {
            directory.update(makeEntry("c", n), now);
        }
    }

    Instant now {};
    EntryDirectory directory;
};

}

TEST_CASE("over many callers the entries' shares follow the slots of their data centres")
{
    Fixture fixture;
    const SlotsByDataCentre slots { { DataCentreId("a"), 36 }, { DataCentreId("b"), 39 }, { DataCentreId("c"), 24 } };
    std::map<char, double> share;
    std::set<std::string> used;
    for (int n = 0; n < 2000; ++n) {
        const auto chosen = fixture.directory.choose(slots, 64, "caller" + std::to_string(n), fixture.now);
        REQUIRE(chosen.size() >= 10);
        for (const std::string &it : chosen) {
            share[it[0]] += 1.0 / static_cast<double>(chosen.size()) / 2000;
            used.insert(it);
        }
    }
    CHECK(share['a'] == Approx(36.0 / 99).margin(0.02));
    CHECK(share['b'] == Approx(39.0 / 99).margin(0.02));
    CHECK(share['c'] == Approx(24.0 / 99).margin(0.02));
    CHECK(used.size() == 17);
}

TEST_CASE("a caller is told the same entries again, and loses only those that are gone")
{
    Fixture fixture;
    const SlotsByDataCentre slots { { DataCentreId("a"), 36 }, { DataCentreId("b"), 39 }, { DataCentreId("c"), 24 } };
    const auto first = fixture.directory.choose(slots, 64, "caller", fixture.now);
    CHECK(fixture.directory.choose(slots, 64, "caller", fixture.now) == first);
}

TEST_CASE("entries that are silent or not ready are left out")
{
    Fixture fixture;
    fixture.directory.update(makeEntry("a", 0, false), fixture.now);
    fixture.now += EntryDirectory::Lifetime;
    fixture.directory.update(makeEntry("b", 1), fixture.now);
    fixture.now += std::chrono::milliseconds(1);
    const auto chosen = fixture.directory.choose({}, 64, "caller", fixture.now);
    REQUIRE(chosen.size() == 1);
    CHECK(chosen[0] == "b-1:80");
}

TEST_CASE("a data centre with few entries and many slots does not overload them")
{
    EntryDirectory directory;
    const Instant now {};
    directory.update(makeEntry("a", 0), now);
    for (int n = 0; n < 9; ++n) {
        directory.update(makeEntry("b", n), now);
    }
    const SlotsByDataCentre slots { { DataCentreId("a"), 90 }, { DataCentreId("b"), 10 } };
    double share = 0;
    for (int n = 0; n < 1000; ++n) {
        const auto chosen = directory.choose(slots, 64, "caller" + std::to_string(n), now);
        for (const std::string &it : chosen) {
            share += it[0] == 'a' ? 1.0 / static_cast<double>(chosen.size()) / 1000 : 0;
        }
    }
    CHECK(share < 0.25); // twice the equal share, and rounding
}

TEST_CASE("an entry that is only named again stays, and an unknown name is not told to callers")
{
    EntryDirectory directory;
    const Instant start {};
    const EntryInfo entry { InstanceId("e1"), "10.0.0.1:80", DataCentreId("north"), true };
    directory.update(entry, start);
    const Instant later = start + EntryDirectory::Lifetime;
    CHECK(directory.refresh(entry.name, later));
    CHECK_FALSE(directory.refresh(InstanceId("e2"), later));
    CHECK(directory.live(later + EntryDirectory::Lifetime).size() == 1);
    CHECK(directory.live(later + EntryDirectory::Lifetime + std::chrono::milliseconds(1)).empty());
    // A report that is overtaken by a newer one does not shorten the entry's life.
    CHECK(directory.refresh(entry.name, start));
    CHECK(directory.live(later + EntryDirectory::Lifetime).size() == 1);
}

TEST_CASE("no entries means no addresses")
{
    const EntryDirectory directory;
    CHECK(directory.choose({}, 64, "caller", Instant {}).empty());
}
