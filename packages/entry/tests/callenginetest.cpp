#include "enginefixture.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Entry;

namespace
{

struct EndCase {
    AttemptEnd end;
    std::uint16_t status;
    bool isAction;
    /// True when the call is sent to another server; otherwise it finishes with outcome and code.
    bool isResent;
    Outcome outcome;
    ResultCode code;
};

constexpr EndCase EndCases[] = {
    { AttemptEnd::Answered, 200, false, false, Outcome::Answered, ResultCode::Ok },
    { AttemptEnd::Answered, 200, true, false, Outcome::Answered, ResultCode::Ok },
    { AttemptEnd::Answered, 404, false, false, Outcome::Answered, ResultCode::Ok },
    { AttemptEnd::Answered, 500, false, true, Outcome::Answered, ResultCode::Ok },
    { AttemptEnd::Answered, 500, true, false, Outcome::Answered, ResultCode::Ok },
    { AttemptEnd::RefusedByServer, 503, false, true, Outcome::NotRun, ResultCode::RefusedByServer },
    { AttemptEnd::RefusedByServer, 503, true, true, Outcome::NotRun, ResultCode::RefusedByServer },
    { AttemptEnd::ConnectFailed, 0, false, true, Outcome::NotRun, ResultCode::NotSent },
    { AttemptEnd::ConnectFailed, 0, true, true, Outcome::NotRun, ResultCode::NotSent },
    { AttemptEnd::FailedBeforeSend, 0, false, true, Outcome::NotRun, ResultCode::NotSent },
    { AttemptEnd::FailedBeforeSend, 0, true, true, Outcome::NotRun, ResultCode::NotSent },
    { AttemptEnd::FailedAfterSend, 0, false, true, Outcome::Unknown, ResultCode::ConnectionLost },
    { AttemptEnd::FailedAfterSend, 0, true, false, Outcome::Unknown, ResultCode::ConnectionLost },
    { AttemptEnd::TimedOut, 0, false, true, Outcome::Unknown, ResultCode::AttemptTimedOut },
    { AttemptEnd::TimedOut, 0, true, false, Outcome::Unknown, ResultCode::AttemptTimedOut },
    { AttemptEnd::Cancelled, 0, true, false, Outcome::Unknown, ResultCode::OutcomeUnknown },
};

}

// Guards against an action that runs twice, a lookup that fails although it may be retried, and a wrong outcome.
TEST_CASE("the result of an attempt determines whether the call is resent", "[callengine]")
{
    for (const EndCase &it : EndCases) {
        CAPTURE(static_cast<int>(it.end), it.status, it.isAction);
        EngineFixture fixture;
        fixture.submit(it.isAction ? EngineFixture::action() : EngineFixture::lookup());
        const DispatchAttempt first = fixture.dispatched();
        fixture.report(first.attempt, it.end, it.status);
        if (it.isResent) {
            REQUIRE(fixture.dispatched().server != first.server);
            continue;
        }
        const FinishCall finish = fixture.finished();
        REQUIRE(finish.outcome == it.outcome);
        REQUIRE(finish.code == it.code);
        REQUIRE(fixture.all<DispatchAttempt>().empty());
        REQUIRE(fixture.releases == 1);
        REQUIRE(fixture.keyOutcomes.size() == (it.isAction ? 1U : 0U));
    }
}

// Guards against an outcome that the attempts of the call do not prove.
TEST_CASE("without a retry the outcome states whether the call may have run", "[callengine]")
{
    for (const EndCase &it : EndCases) {
        if (it.end == AttemptEnd::RefusedByServer) {
            continue; // resending after a refusal is not a retry, see the next test
        }
        CAPTURE(static_cast<int>(it.end), it.status, it.isAction);
        EngineFixture fixture;
        CallRequest request = it.isAction ? EngineFixture::action() : EngineFixture::lookup();
        request.isRetryUpstream = true;
        fixture.submit(request);
        fixture.report(fixture.dispatched().attempt, it.end, it.status);
        REQUIRE(fixture.finished().outcome == it.outcome);
        REQUIRE(fixture.finished().code == it.code);
        REQUIRE(fixture.all<DispatchAttempt>().empty());
    }
}

// Guards against a call that fails because its first server was full. A refused attempt did no work, so sending the call to
// another server does not multiply the load and needs no retry budget.
TEST_CASE("a refused call is sent to another server without using a retry", "[callengine]")
{
    EngineFixture fixture(2);
    fixture.terms = CallTerms { 10s, 0, 0 };
    CallRequest request = EngineFixture::action();
    request.isRetryUpstream = true;
    fixture.submit(request);
    fixture.report(fixture.dispatched().attempt, AttemptEnd::RefusedByServer, 503);
    REQUIRE(fixture.dispatched().number == 0);
    fixture.report(fixture.dispatched().attempt, AttemptEnd::RefusedByServer, 503);
    REQUIRE(fixture.effects.empty());
    fixture.tickAfter(1s);
    REQUIRE(fixture.finished().outcome == Outcome::NotRun);
    REQUIRE(fixture.keyOutcomes == std::vector { Outcome::NotRun });
}

namespace
{

struct RefusalCase {
    const char *name;
    void (*prepare)(EngineFixture &);
    ResultCode code;
};

const RefusalCase RefusalCases[] = {
    { "no contract", [](EngineFixture &it) { it.terms = tl::make_unexpected(ResultCode::NoContract); }, ResultCode::NoContract },
    { "other service", [](EngineFixture &it) { it.terms = tl::make_unexpected(ResultCode::ServiceNotInContract); },
      ResultCode::ServiceNotInContract },
    { "rate", [](EngineFixture &it) { it.admitted = tl::make_unexpected(ResultCode::RateLimited); }, ResultCode::RateLimited },
    { "fenced", [](EngineFixture &it) { it.isFenced = true; }, ResultCode::EntryFenced },
    { "late", [](EngineFixture &it) { it.clock.advance(1s); }, ResultCode::DeadlineExpired },
    { "stopping", [](EngineFixture &it) { it.engine->stopAccepting(); }, ResultCode::EntryStopping },
    { "deadline after the end of the entry", [](EngineFixture &it) { it.engine->rejectBeyond(it.clock.now() + 1ms); },
      ResultCode::EntryStopping },
    { "draining servers",
      [](EngineFixture &it) {
          for (const char *id : { "a", "b", "c" }) {
              ServerRecord record = server(id);
              record.draining = true;
              it.engine->upsertServer(record, it.clock.now());
          }
      },
      ResultCode::NoServer },
};

}

// Guards against a call that is dispatched although it must be refused, and against the release of an admission that it never got.
TEST_CASE("a refused call is finished at once and its key is stored as not run", "[callengine]")
{
    for (const RefusalCase &it : RefusalCases) {
        CAPTURE(it.name);
        EngineFixture fixture;
        it.prepare(fixture);
        fixture.submit(EngineFixture::action());
        REQUIRE(fixture.finished().outcome == Outcome::NotRun);
        REQUIRE(fixture.finished().code == it.code);
        REQUIRE(fixture.all<DispatchAttempt>().empty());
        REQUIRE(fixture.keyOutcomes == std::vector { Outcome::NotRun });
        REQUIRE(fixture.releases == 0);
        REQUIRE(fixture.engine->callCount() == 0);
    }
}

// Guards against a resend that a later check answers with "not run" while the first request is in progress, and against the
// resend finishing the key.
TEST_CASE("the refusal of an action key takes precedence over every other refusal", "[callengine]")
{
    for (const RefusalCase &it : RefusalCases) {
        CAPTURE(it.name);
        EngineFixture fixture;
        it.prepare(fixture);
        fixture.begun = tl::make_unexpected(KeyRefusal { Outcome::Unknown, ResultCode::KeyInProgress });
        fixture.submit(EngineFixture::action());
        REQUIRE(fixture.finished().outcome == Outcome::Unknown);
        REQUIRE(fixture.finished().code == ResultCode::KeyInProgress);
        REQUIRE(fixture.keyOutcomes.empty());
    }
}

// Guards against a process that was suspended and then sends a call whose deadline has passed, or sends while it is fenced.
TEST_CASE("deadline and fencing are checked again right before a queued call is dispatched", "[callengine]")
{
    const bool isFenced = GENERATE(false, true);
    EngineFixture fixture(1);
    fixture.submit(EngineFixture::lookup());
    const AttemptId first = fixture.dispatched().attempt;
    fixture.submit(EngineFixture::action());
    REQUIRE(fixture.effects.empty());
    fixture.clock.advance(isFenced ? 500ms : 1s);
    fixture.isFenced = isFenced;
    // The report of the first call frees the server before any tick runs.
    fixture.report(first, AttemptEnd::Answered, 200);
    REQUIRE(fixture.all<DispatchAttempt>().empty());
    REQUIRE(fixture.all<FinishCall>().back().outcome == Outcome::NotRun);
    REQUIRE(fixture.all<FinishCall>().back().code == (isFenced ? ResultCode::EntryFenced : ResultCode::DeadlineExpired));
}

// Guards against a queue that grows without limit.
TEST_CASE("a full queue refuses further calls", "[callengine]")
{
    EngineFixture fixture(1, 2);
    for (int n = 0; n < 3; ++n) {
        fixture.submit(EngineFixture::lookup());
    }
    fixture.submit(EngineFixture::lookup());
    REQUIRE(fixture.finished().code == ResultCode::QueueFull);
    REQUIRE(fixture.engine->waitingCount() == 2);
}

// Guards against attempts sent to a server after its record says that it is draining.
TEST_CASE("a draining server gets no further attempts, and those in flight continue", "[callengine]")
{
    EngineFixture fixture(1);
    fixture.submit(EngineFixture::lookup());
    const AttemptId first = fixture.dispatched().attempt;
    fixture.submit(EngineFixture::lookup());
    ServerRecord leaving = server("a");
    leaving.draining = true;
    fixture.engine->upsertServer(leaving, fixture.clock.now());
    fixture.engine->upsertServer(server("b"), fixture.clock.now());
    fixture.tickAfter(1ms);
    REQUIRE(fixture.dispatched().server == ServerId("b"));
    fixture.report(first, AttemptEnd::Answered, 200);
    REQUIRE(fixture.finished().outcome == Outcome::Answered);
}

// Guards against scheduling that ignores the reset time stated by a server, also after the server's record was replaced.
TEST_CASE("a server gets no attempts until its stated reset time", "[callengine]")
{
    EngineFixture fixture(1);
    fixture.submit(EngineFixture::lookup());
    fixture.report(fixture.dispatched().attempt, AttemptEnd::RefusedByServer, 429, Instant(500ms));
    fixture.engine->removeServer(ServerId("a"));
    fixture.engine->upsertServer(server("a"), fixture.clock.now());
    fixture.tickAfter(499ms);
    REQUIRE(fixture.effects.empty());
    REQUIRE(fixture.engine->nextWakeUp(fixture.clock.now()) == Instant(500ms));
    fixture.tickAfter(1ms);
    REQUIRE(fixture.dispatched().server == ServerId("a"));
}

namespace
{

/// Submits a lookup and advances the clock until its hedge is sent. Returns both attempts.
std::pair<DispatchAttempt, DispatchAttempt> startHedge(EngineFixture &fixture)
{
    fixture.submit(EngineFixture::lookup());
    const DispatchAttempt first = fixture.dispatched();
    fixture.tickAfter(500ms);
    const DispatchAttempt second = fixture.dispatched();
    REQUIRE(second.isHedge);
    REQUIRE(second.server != first.server);
    return { first, second };
}

}

// Guards against two answers for one call, a losing attempt that is not cancelled, and a late report that is processed.
TEST_CASE("the first answer of a hedged call wins and the loser is cancelled", "[callengine]")
{
    const bool hedgeWins = GENERATE(false, true);
    EngineFixture fixture;
    const auto [first, second] = startHedge(fixture);
    const AttemptId winner = hedgeWins ? second.attempt : first.attempt;
    const AttemptId loser = hedgeWins ? first.attempt : second.attempt;
    fixture.report(winner, AttemptEnd::Answered, 200);
    REQUIRE(fixture.finished().winner == winner);
    REQUIRE(fixture.all<CancelAttempt>().size() == 1);
    REQUIRE(fixture.all<CancelAttempt>().front().attempt == loser);
    fixture.report(loser, AttemptEnd::Answered, 200);
    REQUIRE(fixture.effects.empty());
}

// Guards against a hedged call that fails or is retried while its other attempt is still in flight.
TEST_CASE("a hedged call continues with one attempt when the other fails", "[callengine]")
{
    EngineFixture fixture;
    const auto [first, second] = startHedge(fixture);
    fixture.report(first.attempt, AttemptEnd::FailedAfterSend);
    REQUIRE(fixture.effects.empty());
    fixture.report(second.attempt, AttemptEnd::Answered, 200);
    REQUIRE(fixture.finished().winner == second.attempt);
}

// Guards against an action that runs twice, load that multiplies because several hops resend a call, and hedges that the
// contract excludes.
TEST_CASE("hedges are sent only where they are allowed", "[callengine]")
{
    EngineFixture fixture;
    CallRequest request = EngineFixture::lookup();
    SECTION("not for an action")
    {
        request = EngineFixture::action();
    }
    SECTION("not for a call that is retried upstream")
    {
        request.isRetryUpstream = true;
    }
    SECTION("not when the contract allows no hedges")
    {
        fixture.terms->hedgePermille = 0;
    }
    fixture.submit(request);
    fixture.tickAfter(500ms);
    REQUIRE(fixture.effects.empty());
}

// Guards against an action whose key is stored as unknown although its answer arrives, and a lookup that runs on without a caller.
TEST_CASE("an abandoned lookup is cancelled, an abandoned action runs to its end", "[callengine]")
{
    EngineFixture fixture;
    const CallId lookup = fixture.submit(EngineFixture::lookup());
    const AttemptId lookupAttempt = fixture.dispatched().attempt;
    fixture.effects.clear();
    fixture.engine->abandon(lookup, fixture.clock.now(), fixture.effects);
    REQUIRE(fixture.finished().outcome == Outcome::Unknown);
    REQUIRE(fixture.all<CancelAttempt>().front().attempt == lookupAttempt);

    const CallId action = fixture.submit(EngineFixture::action());
    const AttemptId actionAttempt = fixture.dispatched().attempt;
    fixture.effects.clear();
    fixture.engine->abandon(action, fixture.clock.now(), fixture.effects);
    REQUIRE(fixture.effects.empty());
    fixture.report(actionAttempt, AttemptEnd::Answered, 200);
    REQUIRE(fixture.finished().outcome == Outcome::Answered);
    REQUIRE(fixture.keyOutcomes == std::vector { Outcome::Answered });
}

// Guards against retries that multiply the load when all servers fail.
TEST_CASE("retries stay within their budget relative to first attempts", "[callengine]")
{
    EngineFixture fixture(3);
    fixture.terms = CallTerms { 10s, 0, 100 };
    std::size_t attempts = 0;
    constexpr std::size_t Calls = 200;
    for (std::size_t n = 0; n < Calls; ++n) {
        CallRequest request = EngineFixture::lookup();
        request.deadline = fixture.clock.now() + 10s;
        fixture.submit(request);
        for (auto sent = fixture.all<DispatchAttempt>(); !sent.empty(); sent = fixture.all<DispatchAttempt>()) {
            ++attempts;
            fixture.report(sent.front().attempt, AttemptEnd::Answered, 500);
        }
        fixture.tickAfter(10s);
        REQUIRE(fixture.engine->callCount() == 0);
    }
    REQUIRE(attempts >= Calls);
    REQUIRE(attempts <= Calls * 11 / 10 + 1);
}

// Guards against two needless wake-ups for each ended call: one for its hedge and one for its deadline.
TEST_CASE("the timers of ended calls can be dropped", "[callengine]")
{
    EngineFixture fixture;
    fixture.submit(EngineFixture::lookup());
    const AttemptId ended = fixture.dispatched().attempt;
    fixture.clock.advance(1ms);
    fixture.submit(EngineFixture::action());
    const DispatchAttempt running = fixture.dispatched();
    fixture.engine->dropEndedTimers();
    REQUIRE(fixture.engine->nextWakeUp(fixture.clock.now()) < running.deadline);
    fixture.report(ended, AttemptEnd::Answered, 200);
    fixture.engine->dropEndedTimers();
    REQUIRE(fixture.engine->nextWakeUp(fixture.clock.now()) == running.deadline);
    fixture.report(running.attempt, AttemptEnd::Answered, 200);
    fixture.engine->dropEndedTimers();
    REQUIRE(!fixture.engine->nextWakeUp(fixture.clock.now()));
}

// Guards against a caller that waits for ever for a silent server, a false "not run", and a late answer that is processed.
TEST_CASE("an attempt in flight at the deadline is cancelled and the outcome is unknown", "[callengine]")
{
    EngineFixture fixture;
    fixture.terms = CallTerms { 300ms, 0, 0 };
    fixture.submit(EngineFixture::action());
    const DispatchAttempt sent = fixture.dispatched();
    REQUIRE(sent.deadline == Instant(300ms));
    REQUIRE(fixture.engine->nextWakeUp(fixture.clock.now()) == sent.deadline);
    fixture.tickAfter(300ms);
    REQUIRE(fixture.finished().outcome == Outcome::Unknown);
    REQUIRE(fixture.finished().code == ResultCode::AttemptTimedOut);
    REQUIRE(fixture.all<CancelAttempt>().front().attempt == sent.attempt);
    fixture.report(sent.attempt, AttemptEnd::Answered, 200);
    REQUIRE(fixture.effects.empty());
}
