#include <map>

#include <catch2/catch.hpp>

#include "stubdependencies.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Entry;

namespace
{

constexpr int Sequences = 10'000;
constexpr int Steps = 60;

struct SentAttempt {
    CallId call;
    bool hasEnded = false;
};

struct CallHistory {
    bool isAction = false;
    int finishes = 0;
    int dispatches = 0;
    int provedNotRun = 0;
};

/// Sends random events to an engine and checks the invariants after each one.
class RandomRun
{
public:
    explicit RandomRun(std::uint64_t seed)
        : m_random(seed)
        , m_engine(EngineConfig { DataCentreId("north"), std::string(DefaultRoutingStrategy), {}, 4 }, m_dependencies, m_dependencies,
                   m_dependencies, m_dependencies, m_random)
    {
        for (const char *it : { "a", "b", "c" }) {
            m_servers.push_back(stubServer(it, 1 + static_cast<std::uint32_t>(m_random.below(2))));
            m_engine.upsertServer(m_servers.back(), m_now);
        }
    }

    void run()
    {
        for (int n = 0; n < Steps; ++n) {
            m_now += std::chrono::microseconds(m_random.below(20'000));
            step();
            checkEffects();
        }
        // Ends every attempt and lets every deadline pass.
        for (std::uint64_t n = 1; n <= m_sent.size(); ++n) {
            report(AttemptId(n), AttemptEnd::TimedOut);
            checkEffects();
        }
        m_now += std::chrono::seconds(10);
        m_engine.tick(m_now, m_effects);
        checkEffects();
        for (const auto &[id, history] : m_calls) {
            REQUIRE(history.finishes == 1);
        }
        REQUIRE(m_engine.callCount() == 0);
        REQUIRE(m_engine.waitingCount() == 0);
        REQUIRE(m_dependencies.admitted == 0);
        REQUIRE(m_dependencies.openKeys.empty());
    }

private:
    void step()
    {
        switch (m_random.below(8)) {
        case 0:
        case 1:
            submit();
            break;
        case 2:
        case 3:
        case 4:
            if (!m_sent.empty()) {
                const AttemptId attempt(1 + m_random.below(m_sent.size()));
                report(attempt, static_cast<AttemptEnd>(m_random.below(7)));
            }
            break;
        case 5:
            if (!m_calls.empty()) {
                m_engine.abandon(CallId(1 + m_random.below(m_calls.size())), m_now, m_effects);
            }
            break;
        case 6:
            changeEnvironment();
            break;
        default:
            m_engine.tick(m_now, m_effects);
            break;
        }
    }

    void submit()
    {
        CallRequest request;
        request.customer = CustomerId(m_random.below(2) == 0 ? "x" : "y");
        request.service = ServiceId("s");
        request.idempotent = m_random.below(2) == 0;
        request.isRetryUpstream = m_random.below(4) == 0;
        request.deadline = m_now + std::chrono::microseconds(m_random.below(200'000));
        if (!request.idempotent) {
            request.actionKey = Actions::ActionKey { std::nullopt, std::to_string(m_calls.size()) };
        }
        const CallId id(m_calls.size() + 1);
        m_calls[id].isAction = !request.idempotent;
        REQUIRE(m_engine.submit(request, m_now, m_effects) == id);
    }

    void report(AttemptId attempt, AttemptEnd end)
    {
        SentAttempt &sent = m_sent.at(attempt);
        if (!sent.hasEnded) {
            const bool isProof =
                end == AttemptEnd::RefusedByServer || end == AttemptEnd::ConnectFailed || end == AttemptEnd::FailedBeforeSend;
            m_calls[sent.call].provedNotRun += isProof ? 1 : 0;
        }
        sent.hasEnded = true; // a second report of the attempt must have no effect
        AttemptReport report;
        report.attempt = attempt;
        report.end = end;
        report.httpStatus = m_random.below(3) == 0 ? 500 : 200;
        report.elapsed = std::chrono::microseconds(m_random.below(50'000));
        if (m_random.below(8) == 0) {
            report.resetAt = m_now + std::chrono::microseconds(m_random.below(50'000));
        }
        m_engine.report(report, m_now, m_effects);
    }

    void changeEnvironment()
    {
        ServerRecord &record = m_servers[m_random.below(m_servers.size())];
        switch (m_random.below(4)) {
        case 0:
            m_dependencies.isFencedNow = !m_dependencies.isFencedNow;
            return;
        case 1:
            m_engine.removeServer(record.server);
            return;
        case 2:
            record.draining = !record.draining;
            break;
        default:
            record.incarnation = next(record.incarnation);
            record.coldStart = m_random.below(2) == 0;
            break;
        }
        m_engine.upsertServer(record, m_now);
    }

    void checkEffects()
    {
        for (const Effect &effect : m_effects) {
            if (const auto *sent = std::get_if<DispatchAttempt>(&effect)) {
                REQUIRE(!m_dependencies.isFencedNow);
                REQUIRE(sent->deadline > m_now);
                REQUIRE(sent->attempt.value() == m_sent.size() + 1);
                m_sent[sent->attempt].call = sent->call;
                CallHistory &history = m_calls[sent->call];
                REQUIRE(history.finishes == 0);
                ++history.dispatches;
                REQUIRE((!history.isAction || history.dispatches - history.provedNotRun <= 1));
            } else if (const auto *finish = std::get_if<FinishCall>(&effect)) {
                CallHistory &history = m_calls[finish->call];
                REQUIRE(++history.finishes == 1);
                REQUIRE((finish->outcome != Outcome::NotRun || history.dispatches == history.provedNotRun));
                REQUIRE((finish->outcome != Outcome::Unknown || history.dispatches > history.provedNotRun));
            }
        }
        m_effects.clear();
    }

    SeededRandom m_random;
    StubDependencies m_dependencies;
    CallEngine m_engine;
    Instant m_now {};
    std::vector<ServerRecord> m_servers;
    std::map<AttemptId, SentAttempt> m_sent;
    std::map<CallId, CallHistory> m_calls;
    std::vector<Effect> m_effects;
};

}

// Guards against a call that finishes twice or never, an action that runs twice, a false "not run", a dispatch while fenced or
// after the deadline, and admissions or keys that are never released, in any order of events.
TEST_CASE("random sequences of events keep the invariants of calls", "[callengine]")
{
    for (std::uint64_t seed = 1; seed <= Sequences; ++seed) {
        CAPTURE(seed);
        RandomRun(seed).run();
    }
}
