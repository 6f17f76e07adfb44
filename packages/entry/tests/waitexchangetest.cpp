#include "entry/waitexchange.h"
#include "entry/waitcodec.h"

#include "enginefixture.h"

namespace Galenabarrow::Entry
{

namespace
{

const InstanceId North("north-1");
const InstanceId South("south-1");

/// An engine with one server that has one slot and a known answer time of 10 ms, and a call that is queued after a refusal.
struct RefusedCall : EngineFixture {
    RefusedCall()
        : EngineFixture(1)
    {
        submit(lookup());
        report(dispatched().attempt, AttemptEnd::Answered, 200);
        submit(lookup());
        const AttemptId refused = dispatched().attempt;
        report(refused, AttemptEnd::RefusedByServer);
        REQUIRE(all<DispatchAttempt>().empty());
    }

    bool isDispatchedAfter(Duration step)
    {
        tickAfter(step);
        return !all<DispatchAttempt>().empty();
    }

    void receive(const InstanceId &sender, Duration wait)
    {
        engine->receiveWaitReports(sender, { { OrderDesk, wait } }, clock.now());
    }
};

}

// Guards against a change of the backoff while no other entry reports, for example when all messages are lost.
TEST_CASE("without reports of other entries there is no median wait", "[waitexchange]")
{
    WaitExchange exchange;
    for (int n = 0; n < 50; ++n) {
        exchange.recordAnswer(100ms);
    }
    REQUIRE_FALSE(exchange.medianWait(10ms, Instant(1s)));
    REQUIRE(exchange.dueReport(10ms, Instant(1s)));
}

// Guards against an entry that crashes or is partitioned and whose last report then slows the others down for ever.
TEST_CASE("reports expire after their lifetime", "[waitexchange]")
{
    WaitExchange exchange;
    exchange.receive(North, 50ms, Instant(1s));
    exchange.receive(South, 50ms, Instant(1s));
    REQUIRE(exchange.medianWait(10ms, Instant(1s)) == 50ms);
    REQUIRE(exchange.dueReport(10ms, Instant(1s)));
    const Instant later = Instant(1s) + WaitExchange::ReportLifetime;
    REQUIRE_FALSE(exchange.medianWait(10ms, later));
    REQUIRE_FALSE(exchange.dueReport(10ms, later));
    // A new report of one entry must not make the expired one of another count.
    exchange.receive(North, 50ms, later);
    REQUIRE_FALSE(exchange.medianWait(10ms, later));
}

// Guards against a duplicate that counts as a report of a second entry, and against an earlier report that still counts after a
// newer one of the same sender.
TEST_CASE("each sender counts once, with its last report", "[waitexchange]")
{
    WaitExchange exchange;
    for (int n = 0; n < 5; ++n) {
        exchange.receive(North, 80ms, Instant(1s));
    }
    REQUIRE_FALSE(exchange.medianWait(10ms, Instant(1s)));
    exchange.receive(South, 20ms, Instant(1s));
    REQUIRE(exchange.medianWait(10ms, Instant(1s)) == 20ms);
    exchange.receive(South, 60ms, Instant(1s));
    REQUIRE(exchange.medianWait(10ms, Instant(1s)) == 60ms);
}

// Guards against one wrong report that determines the backoff of all entries, and against reports of impossible waits.
TEST_CASE("a wrong report of one entry has no effect", "[waitexchange]")
{
    WaitExchange exchange;
    exchange.receive(North, 30s, Instant(1s));
    REQUIRE_FALSE(exchange.medianWait(10ms, Instant(1s)));
    exchange.receive(South, Duration::min(), Instant(1s));
    exchange.receive(InstanceId("south-2"), Duration::max(), Instant(1s));
    REQUIRE_FALSE(exchange.medianWait(10ms, Instant(1s)));
    for (int n = 0; n < 1000; ++n) {
        exchange.receive(InstanceId("made-up-" + std::to_string(n)), 30s, Instant(1s));
    }
    const auto median = exchange.medianWait(10ms, Instant(1s));
    REQUIRE(median);
    REQUIRE(WaitExchange::backoffFactor(*median, Duration(1)) == WaitExchange::MaxBackoffFactor);
    REQUIRE(WaitExchange::backoffFactor(Duration::zero(), 1s) == WaitExchange::MinBackoffFactor);
}

// Guards against more messages than the bandwidth budget allows when the queue is long.
TEST_CASE("an engine reports at most once per interval", "[waitexchange]")
{
    RefusedCall fixture;
    fixture.receive(North, 50ms);
    int sets = 0;
    for (int n = 0; n < 4000; ++n) {
        fixture.clock.advance(1ms);
        fixture.receive(North, 50ms);
        sets += fixture.engine->collectWaitReports(fixture.clock.now()).empty() ? 0 : 1;
    }
    REQUIRE(sets == 4s / WaitExchange::ReportInterval);
}

// Guards against needless messages while calls find a free slot at once.
TEST_CASE("an engine without waits reports nothing", "[waitexchange]")
{
    RefusedCall fixture;
    REQUIRE(fixture.engine->collectWaitReports(fixture.clock.now()).empty());
}

// Guards against recent calls that take free slots before calls of other entries that have waited longer. The server has one
// slot and answers within 10 ms, so the backoff without reports is 5 ms.
TEST_CASE("the backoff is longer for a call that has waited less than the median, but the call is still sent", "[waitexchange]")
{
    RefusedCall unaffected;
    REQUIRE(unaffected.isDispatchedAfter(5ms));

    RefusedCall recent;
    recent.receive(North, 200ms);
    recent.receive(South, 200ms);
    REQUIRE_FALSE(recent.isDispatchedAfter(5ms));
    REQUIRE_FALSE(recent.isDispatchedAfter(34ms));
    REQUIRE(recent.isDispatchedAfter(1ms));
}

// Guards against an entry that crashes or is partitioned after its report and still affects the backoff.
TEST_CASE("expired reports do not change the backoff", "[waitexchange]")
{
    RefusedCall call;
    call.receive(North, 200ms);
    call.receive(South, 200ms);
    call.tickAfter(WaitExchange::ReportLifetime);
    CallRequest request = EngineFixture::lookup();
    request.deadline = call.clock.now() + 1s;
    call.submit(request);
    const AttemptId refused = call.dispatched().attempt;
    call.report(refused, AttemptEnd::RefusedByServer);
    REQUIRE_FALSE(call.isDispatchedAfter(4ms));
    REQUIRE(call.isDispatchedAfter(1ms));
}

// Guards against a codec that loses a field, and against a payload that is read without being verified.
TEST_CASE("wait reports are encoded and decoded without loss, and a damaged payload is rejected", "[waitexchange]")
{
    const std::vector<std::uint8_t> bytes = encode({ { OrderDesk, 50ms }, { ServiceId("dispatch"), 7us } });
    const auto reports = decodeWaitReports(bytes);
    REQUIRE(reports);
    REQUIRE(reports->size() == 2);
    REQUIRE(reports->back().service == ServiceId("dispatch"));
    REQUIRE(reports->back().wait == 7us);
    for (std::size_t size = 0; size < bytes.size() / 2; ++size) {
        REQUIRE_FALSE(decodeWaitReports(std::span(bytes).first(size)));
    }
}

// Guards against a setting of EngineConfig::exchangesWaits that has no effect.
TEST_CASE("an engine that does not exchange waits ignores reports and sends none", "[waitexchange]")
{
    RefusedCall fixture;
    EngineConfig config = fixture.config;
    config.exchangesWaits = false;
    CallEngine engine(config, fixture.contracts, fixture.admission, fixture.keys, fixture.freshness, fixture.random);
    engine.upsertServer(server("a"), fixture.clock.now());
    engine.submit(EngineFixture::lookup(), fixture.clock.now(), fixture.effects);
    engine.receiveWaitReports(North, { { OrderDesk, 50ms } }, fixture.clock.now());
    REQUIRE(engine.collectWaitReports(fixture.clock.now()).empty());
}

}
