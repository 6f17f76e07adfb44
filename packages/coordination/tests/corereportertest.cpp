#include "coordination/corereporter.h"

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace Galenabarrow::Coordination;

namespace
{

const CoreInstance Self { InstanceId("10.0.0.9:7000"), DataCentreId("north") };

/// A reporter with two entries on a clock that the test advances.
struct Fixture {
    CoreReporter reporter;
    Instant now = Instant {} + std::chrono::seconds(100);
    std::vector<CoreReporter::FedEntry> entries {
        { EntryInfo { InstanceId("e1"), "10.0.0.1:80", DataCentreId("north"), true }, {} },
        { EntryInfo { InstanceId("e2"), "10.0.0.2:80", DataCentreId("north"), true }, {} },
    };

    CoreReport take()
    {
        for (CoreReporter::FedEntry &it : entries) {
            it.heardAt = now;
        }
        return reporter.take(Self, entries, now);
    }

    CoreReport takeNext()
    {
        now += CoreReporter::Interval;
        REQUIRE(reporter.isDue(now));
        return take();
    }
};

}

TEST_CASE("entries are described first and only named after that")
{
    Fixture fixture;
    CHECK(fixture.take().entries.size() == 2);
    const CoreReport next = fixture.takeNext();
    CHECK(next.entries.empty());
    CHECK(next.alive.size() == 2);
}

TEST_CASE("a change of an entry is reported at once and in full")
{
    Fixture fixture;
    (void)fixture.take();
    CHECK_FALSE(fixture.reporter.isDue(fixture.now));
    fixture.reporter.noteEntryChange();
    CHECK(fixture.reporter.isDue(fixture.now));
    CHECK(fixture.take().entries.size() == 2);
}

// Found in incident inc-7eee of odmd: callers were told entries without power for up to 1.8 s, and kept that for 2 s.
TEST_CASE("an entry that fell silent is reported at once, and once only")
{
    Fixture fixture;
    (void)fixture.take();
    const EntryInfo lost = fixture.entries.back().info;
    fixture.entries.pop_back();
    fixture.reporter.noteEntryLost(lost);
    REQUIRE(fixture.reporter.isDue(fixture.now));
    const CoreReport report = fixture.take();
    REQUIRE(report.entries.size() == 2);
    CHECK(report.entries.back().info.name == lost.name);
    CHECK_FALSE(report.entries.back().info.isReady);

    EntryDirectory directory;
    directory.note(lost, fixture.now);
    CHECK(directory.choose({}, 8, "caller", fixture.now).size() == 1);
    CHECK(directory.note(report.entries.back().info, fixture.now - report.entries.back().age));
    CHECK(directory.choose({}, 8, "caller", fixture.now).empty());

    fixture.now += CoreReporter::FullInterval;
    CHECK(fixture.take().entries.size() == 1);
}

// Without this, callers that ask a restarted instance are told its own entries only, until the next full report.
TEST_CASE("an instance that started again is told all entries with the next report")
{
    Fixture fixture;
    fixture.reporter.notePeer(InstanceId("peer"), Incarnation(1));
    (void)fixture.take();
    fixture.reporter.notePeer(InstanceId("peer"), Incarnation(1));
    CHECK(fixture.takeNext().entries.empty());
    fixture.reporter.notePeer(InstanceId("peer"), Incarnation(2));
    CHECK(fixture.takeNext().entries.size() == 2);
}

TEST_CASE("a lost description is made good within the full interval")
{
    Fixture fixture;
    (void)fixture.take();
    bool wasDescribed = false;
    for (Duration passed {}; passed < CoreReporter::FullInterval; passed += CoreReporter::Interval) {
        wasDescribed = !fixture.takeNext().entries.empty();
    }
    CHECK(wasDescribed);
}

TEST_CASE("servers are reported once for each announcement, and silent entries not at all")
{
    Fixture fixture;
    fixture.reporter.noteServer(ServerId("s1"));
    fixture.reporter.noteServer(ServerId("s1"));
    CHECK(fixture.take().heard == std::vector { ServerId("s1") });
    CHECK(fixture.takeNext().heard.empty());
    fixture.now += EntryDirectory::Lifetime + std::chrono::milliseconds(1);
    const CoreReport report = fixture.reporter.take(Self, fixture.entries, fixture.now);
    CHECK(report.entries.empty());
    CHECK(report.alive.empty());
}
