#include "enginefixture.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Entry;

namespace
{

const AdmitResult Limited = tl::make_unexpected(ResultCode::RateLimited);

struct ShareWaitFixture : EngineFixture {
    explicit ShareWaitFixture(std::size_t queueLimit = 10)
        : EngineFixture(3, queueLimit)
    {
        admitted = Limited;
        shareUntil = Instant(20ms);
    }

    void grantShare()
    {
        effects.clear();
        engine->admitWaitingCalls(clock.now(), effects);
    }
};

}

// Guards against refusing the call of a customer within its contract only because a larger share has not reached this entry yet.
TEST_CASE("a call waits for a requested share and then runs", "[entry][admission]")
{
    ShareWaitFixture it;
    const CallId first = it.submit(EngineFixture::lookup());
    const CallId second = it.submit(EngineFixture::action());
    REQUIRE(it.effects.empty());
    it.clock.advance(2ms);
    it.grantShare();
    REQUIRE(it.effects.empty()); // the share was too small
    it.admitted = {};
    it.grantShare();
    const auto dispatched = it.all<DispatchAttempt>();
    REQUIRE(dispatched.size() == 2);
    REQUIRE(dispatched[0].call == first);
    REQUIRE(dispatched[1].call == second);
    for (const DispatchAttempt &attempt : dispatched) {
        it.report(attempt.attempt, AttemptEnd::Answered, 200);
        REQUIRE(it.finished().outcome == Outcome::Answered);
    }
    REQUIRE(it.releases == 2);
    it.tickAfter(1s);
    REQUIRE(it.effects.empty());
    REQUIRE(it.engine->counters().shareWaits == 2);
}

// Guards against calls that wait for ever when the control leader does not reply, and against a release of a call that was
// never admitted, which would raise the limit.
TEST_CASE("a call whose share is not granted in time is refused with the limit's code", "[entry][admission]")
{
    ShareWaitFixture it;
    it.submit(EngineFixture::action());
    it.tickAfter(19ms);
    REQUIRE(it.effects.empty());
    it.tickAfter(1ms);
    REQUIRE(it.finished().outcome == Outcome::NotRun);
    REQUIRE(it.finished().code == ResultCode::RateLimited);
    REQUIRE(it.keyOutcomes == std::vector { Outcome::NotRun });
    it.admitted = {};
    it.grantShare();
    REQUIRE(it.effects.empty());
    REQUIRE(it.releases == 0);
}

// Guards against a call that waits beyond its deadline, and one that waits although its caller has disconnected.
TEST_CASE("a wait for a share ends at the deadline and when the caller disconnects", "[entry][admission]")
{
    ShareWaitFixture it;
    CallRequest request = EngineFixture::lookup();
    request.deadline = Instant(5ms);
    it.submit(request);
    const CallId abandoned = it.submit(EngineFixture::action());
    it.effects.clear();
    it.engine->abandon(abandoned, it.clock.now(), it.effects);
    REQUIRE(it.finished().outcome == Outcome::NotRun);
    it.tickAfter(5ms);
    REQUIRE(it.finished().code == ResultCode::DeadlineExpired);
    it.admitted = {};
    it.grantShare();
    REQUIRE(it.effects.empty());
    REQUIRE(it.releases == 0);
    REQUIRE(it.engine->callCount() == 0);
}

// Guards against an unlimited number of waiting calls, and against a limit that counts ended calls.
TEST_CASE("the number of calls that wait for a share is limited", "[entry][admission]")
{
    ShareWaitFixture it(2);
    it.submit(EngineFixture::lookup());
    it.submit(EngineFixture::lookup());
    it.submit(EngineFixture::lookup());
    REQUIRE(it.finished().code == ResultCode::RateLimited);
    it.tickAfter(20ms);
    REQUIRE(it.all<FinishCall>().size() == 2);
    it.shareUntil = Instant(40ms);
    it.submit(EngineFixture::lookup());
    REQUIRE(it.effects.empty());
}
