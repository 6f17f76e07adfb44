#include "stubdependencies.h"

#include <algorithm>

#include "entry/routingstrategy.h"
#include "entry/servertable.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Entry;
using namespace std::chrono_literals;

namespace
{

const ServiceId Service("s");

struct TableFixture {
    ServerTable table { DataCentreId("north") };
    Instant now { 1s };
    std::vector<RowIndex> available;

    explicit TableFixture(std::size_t servers = 4, std::uint32_t slots = 3)
    {
        for (std::size_t n = 0; n < servers; ++n) {
            table.upsert(stubServer(std::string(1, static_cast<char>('a' + n)), slots), now);
        }
    }

    void runAttempt(RowIndex row, AttemptEnd end, Duration elapsed, std::uint16_t status = 200,
                    std::optional<ServerLoad> load = std::nullopt)
    {
        table.attemptSent(row, now);
        AttemptReport report;
        report.end = end;
        report.elapsed = elapsed;
        report.httpStatus = status;
        report.load = load;
        now += elapsed;
        table.attemptEnded(row, report, {}, now);
    }

    bool isAvailable(RowIndex row)
    {
        table.collectAvailable(Service, std::nullopt, now, available);
        return std::find(available.begin(), available.end(), row) != available.end();
    }

    /// How many of \p count decisions of \p strategy select \p row.
    int countChosen(RowIndex row, int count, SeededRandom &random, RoutingStrategy &strategy)
    {
        int hits = 0;
        for (int n = 0; n < count; ++n) {
            table.collectAvailable(Service, std::nullopt, now, available);
            hits += strategy.choose({ table, Service, available, random, now }) == row ? 1 : 0;
        }
        return hits;
    }
};

}

// Guards against a server that fails within 0.1 ms and attracts calls because it always has free slots.
TEST_CASE("the penalty of a server that fails fast grows with each failure", "[servertable]")
{
    TableFixture fixture;
    int attempts = 0;
    const Instant end = fixture.now + 10s;
    while (fixture.now < end) {
        if (fixture.isAvailable(0)) {
            fixture.runAttempt(0, AttemptEnd::Answered, 100us, 500);
            ++attempts;
        } else {
            fixture.now += 1ms;
        }
    }
    REQUIRE(attempts <= 8);
    // An answer ends the penalty.
    fixture.now += 10s;
    fixture.runAttempt(0, AttemptEnd::Answered, 10ms);
    REQUIRE(fixture.isAvailable(0));
}

// Guards against sending all load to the last healthy server when a dependency shared by all servers fails.
TEST_CASE("penalties are ignored when most servers fail", "[servertable]")
{
    TableFixture fixture;
    for (const RowIndex it : { 0U, 1U, 2U }) {
        fixture.runAttempt(it, AttemptEnd::Answered, 100us, 500);
    }
    REQUIRE(fixture.isAvailable(0));
    REQUIRE(fixture.isAvailable(3));
}

// Guards against a slow server that gets as many calls as the others, and one that is avoided after it has recovered.
TEST_CASE("a straggler is detected by its latency and restored when it is fast again", "[servertable]")
{
    TableFixture fixture;
    for (int n = 0; n < 5; ++n) {
        for (const RowIndex it : { 1U, 2U, 3U }) {
            fixture.runAttempt(it, AttemptEnd::Answered, 20ms);
        }
        fixture.runAttempt(0, AttemptEnd::Answered, 200ms);
        fixture.table.tick(fixture.now);
    }
    REQUIRE(fixture.table.row(0).isStraggler);
    REQUIRE_FALSE(fixture.isAvailable(0));
    for (int n = 0; n < 20 && fixture.table.row(0).isStraggler; ++n) {
        fixture.now += 10s;
        REQUIRE(fixture.isAvailable(0));
        fixture.runAttempt(0, AttemptEnd::Answered, 20ms);
        fixture.now += 1s;
        fixture.table.tick(fixture.now);
    }
    REQUIRE_FALSE(fixture.table.row(0).isStraggler);
}

// Guards against a burst of calls to a server whose caches are empty.
TEST_CASE("a cold server gets calls at a limited rate that rises with its answers", "[servertable]")
{
    TableFixture fixture;
    ServerRecord cold = stubServer("a", 3);
    cold.incarnation = Incarnation(2);
    cold.coldStart = true;
    fixture.table.upsert(cold, fixture.now);
    REQUIRE(fixture.isAvailable(0));
    fixture.table.attemptSent(0, fixture.now);
    REQUIRE_FALSE(fixture.isAvailable(0));
    fixture.now += 1s;
    for (int n = 0; n < 10; ++n) {
        fixture.runAttempt(0, AttemptEnd::Answered, 20ms);
        fixture.now += 1s;
    }
    fixture.table.attemptSent(0, fixture.now);
    REQUIRE(fixture.isAvailable(0));
}

// Guards against attempts sent in quick succession to a full server.
TEST_CASE("after a refusal a server gets no attempts until the backoff ends", "[servertable]")
{
    TableFixture fixture;
    fixture.runAttempt(0, AttemptEnd::RefusedByServer, 1ms);
    REQUIRE_FALSE(fixture.isAvailable(0));
    const auto availableAt = fixture.table.nextAvailable(Service, fixture.now);
    REQUIRE(availableAt);
    fixture.now = *availableAt;
    REQUIRE(fixture.isAvailable(0));
}

// Guards against a new server that inherits the counts of a removed one whose attempts are still in flight.
TEST_CASE("a removed row is not reused before its attempts have ended", "[servertable]")
{
    TableFixture fixture(1);
    fixture.table.attemptSent(0, fixture.now);
    fixture.table.remove(ServerId("a"));
    REQUIRE(fixture.table.upsert(stubServer("b", 3), fixture.now) != 0);
    AttemptReport report;
    fixture.table.attemptEnded(0, report, {}, fixture.now);
    REQUIRE(fixture.table.upsert(stubServer("c", 3), fixture.now) == 0);
    REQUIRE(fixture.table.row(0).inFlight == 0);
}

// Guards against a server that always reports 0 calls in flight and thereby attracts all traffic.
TEST_CASE("load reports lose their weight when refusals contradict them", "[routing]")
{
    TableFixture fixture;
    SeededRandom random(1);
    const auto strategy = makeRoutingStrategy(DefaultRoutingStrategy, {});
    for (int n = 0; n < 20; ++n) {
        for (const RowIndex it : { 1U, 2U, 3U }) {
            fixture.runAttempt(it, AttemptEnd::Answered, 1ms, 200, ServerLoad { 1, 3 });
        }
        ServerRecord misreporting = stubServer("a", 3);
        fixture.table.upsert(misreporting, fixture.now);
        fixture.runAttempt(0, AttemptEnd::RefusedByServer, 1ms);
        fixture.now += 100ms;
    }
    ServerRecord misreporting = stubServer("a", 3);
    fixture.table.upsert(misreporting, fixture.now);
    REQUIRE(fixture.table.row(0).reportTrust == 0);
    REQUIRE(fixture.countChosen(0, 1000, random, *strategy) < 500);
}

// Guards against a listed strategy name that is not implemented, and a strategy that selects a server outside its candidates.
TEST_CASE("every listed strategy can be created and selects a candidate", "[routing]")
{
    TableFixture fixture;
    SeededRandom random(1);
    REQUIRE_FALSE(makeRoutingStrategy("no-such-strategy", {}));
    for (const std::string_view it : routingStrategyNames()) {
        CAPTURE(it);
        const auto strategy = makeRoutingStrategy(it, {});
        REQUIRE(strategy);
        int hits = 0;
        for (const RowIndex row : fixture.table.rowsOf(Service)) {
            hits += fixture.countChosen(row, 50, random, *strategy);
        }
        REQUIRE(hits > 0);
    }
}

// Guards against a failed probe that has no effect, a wrong probe result that never expires, and a recovered server that is
// avoided until a caller's call succeeds.
TEST_CASE("a failed probe starts the avoidance of a server and a healthy one ends it", "[servertable]")
{
    TableFixture fixture;
    REQUIRE(fixture.table.recordProbe(ServerId("a"), false, fixture.now));
    REQUIRE_FALSE(fixture.isAvailable(0));
    REQUIRE(fixture.table.avoidedCount(fixture.now) == 1);
    fixture.now += 1s;
    REQUIRE(fixture.table.recordProbe(ServerId("a"), true, fixture.now));
    REQUIRE(fixture.isAvailable(0));
    fixture.table.recordProbe(ServerId("a"), false, fixture.now - 500ms); // a result older than the last one has no effect
    REQUIRE(fixture.isAvailable(0));
    fixture.now += 1s;
    fixture.table.recordProbe(ServerId("a"), false, fixture.now);
    fixture.now += 14s;
    REQUIRE_FALSE(fixture.isAvailable(0));
    fixture.now += 2s;
    REQUIRE(fixture.isAvailable(0));
    REQUIRE_FALSE(fixture.table.recordProbe(ServerId("unknown"), false, fixture.now));
}

// Guards against a probe result that overrides the result of a later call.
TEST_CASE("the result of a call takes precedence over an earlier probe", "[servertable]")
{
    TableFixture fixture;
    const Instant before = fixture.now;
    for (int n = 0; n < 3; ++n) {
        fixture.runAttempt(0, AttemptEnd::Answered, 1ms, 500);
    }
    fixture.table.recordProbe(ServerId("a"), true, before);
    REQUIRE_FALSE(fixture.isAvailable(0));
    fixture.table.recordProbe(ServerId("a"), true, fixture.now + 1ms);
    REQUIRE(fixture.isAvailable(0));
    fixture.runAttempt(1, AttemptEnd::Answered, 1ms);
    fixture.table.recordProbe(ServerId("b"), false, fixture.now - 1ms);
    REQUIRE(fixture.isAvailable(1));
    REQUIRE(fixture.table.row(1).lastContactAt == fixture.now);
}

// Guards against failed probes that exclude the last server of a service.
TEST_CASE("servers stay available when every server that accepts calls has failed its probe", "[servertable]")
{
    TableFixture fixture(3);
    for (const char *name : { "a", "b", "c" }) {
        fixture.table.recordProbe(ServerId(name), false, fixture.now);
    }
    REQUIRE((fixture.isAvailable(0) && fixture.isAvailable(1) && fixture.isAvailable(2)));
    TableFixture others(3);
    ServerRecord draining = stubServer("b", 3);
    draining.draining = true;
    others.table.upsert(draining, others.now);
    others.table.blockUntil(2, others.now + 1h);
    others.table.recordProbe(ServerId("a"), false, others.now);
    REQUIRE(others.isAvailable(0));
    TableFixture last(1);
    last.runAttempt(0, AttemptEnd::RefusedByServer, 1ms);
    last.table.recordProbe(ServerId("a"), false, last.now + 1ms);
    const auto availableAt = last.table.nextAvailable(Service, last.now + 1ms);
    REQUIRE((availableAt && *availableAt < last.now + 1s)); // the wake-up is due when the backoff ends, not when the probe's penalty does
}
