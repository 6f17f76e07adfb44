#pragma once

#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include "entry/callengine.h"

namespace Galenabarrow::Entry
{

using namespace std::chrono_literals;

using TermsResult = tl::expected<CallTerms, ResultCode>;
using AdmitResult = tl::expected<void, ResultCode>;
using BeginResult = tl::expected<void, KeyRefusal>;

}

// Trompeloeil's generic printer compares values with nullptr. tl::expected declares that comparison but it does not compile.
template<>
inline void trompeloeil::print(std::ostream &out, const Galenabarrow::Entry::TermsResult &value)
{
    out << (value ? "terms" : "refusal");
}

template<>
inline void trompeloeil::print(std::ostream &out, const Galenabarrow::Entry::AdmitResult &value)
{
    out << (value ? "admitted" : "refused");
}

template<>
inline void trompeloeil::print(std::ostream &out, const Galenabarrow::Entry::BeginResult &value)
{
    out << (value ? "begun" : "refused");
}

namespace Galenabarrow::Entry
{

class MockContracts final : public ContractView
{
public:
    MAKE_CONST_MOCK2(terms, TermsResult(const CustomerId &, const ServiceId &), override);
};

class MockAdmission final : public AdmissionControl
{
public:
    MAKE_MOCK2(admit, AdmitResult(const CustomerId &, Instant), override);
    MAKE_CONST_MOCK2(shareExpectedUntil, std::optional<Instant>(const CustomerId &, Instant), override);
    MAKE_MOCK2(release, void(const CustomerId &, Instant), override);
};

class MockKeys final : public ActionKeys
{
public:
    MAKE_MOCK2(begin, BeginResult(const Actions::ActionKey &, Instant), override);
    MAKE_MOCK3(finish, void(const Actions::ActionKey &, Outcome, Instant), override);
};

class MockFreshness final : public FreshnessView
{
public:
    MAKE_CONST_MOCK1(isFenced, bool(Instant), override);
};

inline const ServiceId OrderDesk("order-desk");

inline ServerRecord server(const std::string &id, std::uint32_t slots = 1)
{
    ServerRecord record;
    record.server = ServerId(id);
    record.service = OrderDesk;
    record.dataCentre = DataCentreId("north");
    record.incarnation = Incarnation(1);
    record.slots = slots;
    return record;
}

/// An engine with mocks that allow every call. Tests change the returned values through the members, or add expectations, which
/// take precedence.
struct EngineFixture {
    MockContracts contracts;
    MockAdmission admission;
    MockKeys keys;
    MockFreshness freshness;
    SeededRandom random { 1 };
    TermsResult terms { CallTerms { 10s, 1000, 1000 } };
    AdmitResult admitted;
    std::optional<Instant> shareUntil;
    BeginResult begun;
    bool isFenced = false;
    int releases = 0;
    std::vector<Outcome> keyOutcomes;
    ManualClock clock;
    std::vector<Effect> effects;
    std::vector<std::unique_ptr<trompeloeil::expectation>> allowed;
    EngineConfig config;
    std::unique_ptr<CallEngine> engine;

    explicit EngineFixture(std::size_t servers = 3, std::size_t queueLimit = 10)
    {
        allowed.push_back(NAMED_ALLOW_CALL(contracts, terms(trompeloeil::_, trompeloeil::_)).LR_RETURN(terms));
        allowed.push_back(NAMED_ALLOW_CALL(admission, admit(trompeloeil::_, trompeloeil::_)).LR_RETURN(admitted));
        allowed.push_back(NAMED_ALLOW_CALL(admission, shareExpectedUntil(trompeloeil::_, trompeloeil::_)).LR_RETURN(shareUntil));
        allowed.push_back(NAMED_ALLOW_CALL(admission, release(trompeloeil::_, trompeloeil::_)).LR_SIDE_EFFECT(++releases));
        allowed.push_back(NAMED_ALLOW_CALL(keys, begin(trompeloeil::_, trompeloeil::_)).LR_RETURN(begun));
        allowed.push_back(
            NAMED_ALLOW_CALL(keys, finish(trompeloeil::_, trompeloeil::_, trompeloeil::_)).LR_SIDE_EFFECT(keyOutcomes.push_back(_2)));
        allowed.push_back(NAMED_ALLOW_CALL(freshness, isFenced(trompeloeil::_)).LR_RETURN(isFenced));
        config.dataCentre = DataCentreId("north");
        config.queueLimit = queueLimit;
        engine = std::make_unique<CallEngine>(config, contracts, admission, keys, freshness, random);
        for (std::size_t n = 0; n < servers; ++n) {
            engine->upsertServer(server(std::string(1, static_cast<char>('a' + n))), clock.now());
        }
    }

    static CallRequest lookup()
    {
        CallRequest request;
        request.customer = CustomerId("sleepers-inc");
        request.service = OrderDesk;
        request.idempotent = true;
        request.deadline = Instant(1s);
        return request;
    }

    static CallRequest action()
    {
        CallRequest request = lookup();
        request.idempotent = false;
        request.actionKey = Actions::ActionKey { std::nullopt, "order-1" };
        return request;
    }

    CallId submit(const CallRequest &request)
    {
        effects.clear();
        return engine->submit(request, clock.now(), effects);
    }

    void report(AttemptId attempt, AttemptEnd end, std::uint16_t status = 0, std::optional<Instant> resetAt = std::nullopt)
    {
        effects.clear();
        AttemptReport report;
        report.attempt = attempt;
        report.end = end;
        report.httpStatus = status;
        report.elapsed = 10ms;
        report.resetAt = resetAt;
        engine->report(report, clock.now(), effects);
    }

    void tickAfter(Duration step)
    {
        clock.advance(step);
        effects.clear();
        engine->tick(clock.now(), effects);
    }

    template<typename T>
    std::vector<T> all() const
    {
        std::vector<T> found;
        for (const Effect &it : effects) {
            if (const T *effect = std::get_if<T>(&it)) {
                found.push_back(*effect);
            }
        }
        return found;
    }

    DispatchAttempt dispatched() const
    {
        const auto found = all<DispatchAttempt>();
        REQUIRE(found.size() == 1);
        return found.front();
    }

    FinishCall finished() const
    {
        const auto found = all<FinishCall>();
        REQUIRE(found.size() == 1);
        return found.front();
    }
};

}
