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

    std::vector<ServerLimit> limits;
    CrashLedger crashes;

    CoreReport takeReport()
    {
        for (CoreReporter::FedEntry &it : entries) {
            it.lastContactAt = now;
        }
        return reporter.takeReport(Self, entries, limits, crashes, now);
    }

    CoreReport takeNextReport()
    {
        now += CoreReporter::Interval;
        REQUIRE(reporter.isDue(now));
        return takeReport();
    }
};

}

TEST_CASE("entries are described in the first report and only named in later ones")
{
    Fixture fixture;
    CHECK(fixture.takeReport().entries.size() == 2);
    const CoreReport next = fixture.takeNextReport();
    CHECK(next.entries.empty());
    CHECK(next.alive.size() == 2);
}

// Pattern: hundreds of entries start within a second, and each of them makes its core instance report.
TEST_CASE("a change of an entry is reported at once, without the entries and servers that have not changed")
{
    Fixture fixture;
    (void)fixture.takeReport();
    CHECK_FALSE(fixture.reporter.isDue(fixture.now));
    fixture.entries.back().info.isReady = false;
    fixture.reporter.recordEntryChange(fixture.entries.back().info.name);
    fixture.reporter.recordAnnouncement(ServerId("s1"));
    CHECK(fixture.reporter.isDue(fixture.now));
    const CoreReport urgent = fixture.takeReport();
    REQUIRE(urgent.entries.size() == 1);
    CHECK(urgent.entries[0].info == fixture.entries.back().info);
    CHECK(urgent.alive.empty());
    CHECK(urgent.heard.empty());
    CHECK_FALSE(fixture.reporter.isDue(fixture.now));
    // The regular report is not delayed by urgent ones, and contains what they left out.
    const CoreReport regular = fixture.takeNextReport();
    CHECK(regular.alive.size() == 2);
    CHECK(regular.heard == std::vector { ServerId("s1") });
}

// Guards against callers that get the addresses of entries without power: without the report this lasted up to 1.8 s, and callers
// use an answer for 2 s.
TEST_CASE("an entry that falls silent is reported at once, and only once")
{
    Fixture fixture;
    (void)fixture.takeReport();
    const EntryInfo lost = fixture.entries.back().info;
    fixture.entries.pop_back();
    fixture.reporter.recordEntryLost(lost);
    REQUIRE(fixture.reporter.isDue(fixture.now));
    const CoreReport report = fixture.takeReport();
    REQUIRE(report.entries.size() == 1);
    CHECK(report.entries.back().info.name == lost.name);
    CHECK_FALSE(report.entries.back().info.isReady);

    EntryDirectory directory;
    directory.update(lost, fixture.now);
    CHECK(directory.choose({}, 8, "caller", fixture.now).size() == 1);
    CHECK(directory.update(report.entries.back().info, fixture.now - report.entries.back().age));
    CHECK(directory.choose({}, 8, "caller", fixture.now).empty());

    fixture.now += CoreReporter::FullInterval;
    CHECK(fixture.takeReport().entries.size() == 1);
}

// Guards against a restarted instance that gives callers only the entries connected to it, until the next full report.
TEST_CASE("the next report after the restart of an instance describes all entries")
{
    Fixture fixture;
    fixture.reporter.updatePeer(InstanceId("peer"), Incarnation(1));
    (void)fixture.takeReport();
    fixture.reporter.updatePeer(InstanceId("peer"), Incarnation(1));
    CHECK(fixture.takeNextReport().entries.empty());
    fixture.reporter.updatePeer(InstanceId("peer"), Incarnation(2));
    CHECK(fixture.takeNextReport().entries.size() == 2);
}

// Guards against a starting core whose instances do not know each other's data centres for a whole interval: entries then receive the
// first state across data centres.
TEST_CASE("a change of the core's members makes a full report due at once")
{
    Fixture fixture;
    fixture.reporter.updateMembers({ InstanceId("c1") });
    (void)fixture.takeReport();
    fixture.reporter.updateMembers({ InstanceId("c1") });
    CHECK_FALSE(fixture.reporter.isDue(fixture.now));
    fixture.reporter.updateMembers({ InstanceId("c1"), InstanceId("c2") });
    REQUIRE(fixture.reporter.isDue(fixture.now));
    CHECK(fixture.takeReport().entries.size() == 2);
    CHECK_FALSE(fixture.reporter.isDue(fixture.now));
}

TEST_CASE("a lost description is repeated within the interval of full reports")
{
    Fixture fixture;
    (void)fixture.takeReport();
    bool wasDescribed = false;
    for (Duration passed {}; passed < CoreReporter::FullInterval; passed += CoreReporter::Interval) {
        wasDescribed = !fixture.takeNextReport().entries.empty();
    }
    CHECK(wasDescribed);
}

TEST_CASE("servers are reported once for each announcement, and silent entries not at all")
{
    Fixture fixture;
    fixture.reporter.recordAnnouncement(ServerId("s1"));
    fixture.reporter.recordAnnouncement(ServerId("s1"));
    CHECK(fixture.takeReport().heard == std::vector { ServerId("s1") });
    CHECK(fixture.takeNextReport().heard.empty());
    fixture.now += EntryDirectory::Lifetime + std::chrono::milliseconds(1);
    const CoreReport report = fixture.reporter.takeReport(Self, fixture.entries, {}, CrashLedger(), fixture.now);
    CHECK(report.entries.empty());
    CHECK(report.alive.empty());
}

// Guards against limits of which entries of other core instances hear late, and against their full list in each report.
TEST_CASE("a changed limit is reported at once and alone, and all limits in full reports")
{
    Fixture fixture;
    fixture.limits = { ServerLimit { ServerId("s1"), 1, 2, {} }, ServerLimit { ServerId("s2"), 1, 3, {} } };
    CHECK(fixture.takeReport().limits.size() == 2);
    CHECK(fixture.takeNextReport().limits.empty());
    fixture.reporter.recordLimitChange(ServerId("s2"));
    CHECK(fixture.reporter.isDue(fixture.now));
    const CoreReport urgent = fixture.takeReport();
    REQUIRE(urgent.limits.size() == 1);
    CHECK(urgent.limits.front().server == ServerId("s2"));
    CHECK(urgent.alive.empty());
    CHECK_FALSE(fixture.reporter.isDue(fixture.now));
}

TEST_CASE("a fact about a crash is reported at once and once, and all facts in full reports")
{
    Fixture fixture;
    fixture.takeReport();
    for (const std::uint64_t born : { 1, 2 }) {
        fixture.crashes.record(CrashFact { RequestMark { 1, 2, 3 }, ServerId("s1"), born, {} }, fixture.now);
        fixture.reporter.recordCrash();
        CHECK(fixture.reporter.isDue(fixture.now));
        CHECK(fixture.takeReport().crashes.size() == 1);
    }
    CHECK_FALSE(fixture.reporter.isDue(fixture.now));
    CHECK(fixture.takeNextReport().crashes.empty());
    fixture.now += CoreReporter::FullInterval;
    CHECK(fixture.takeReport().crashes.size() == 2);
}
