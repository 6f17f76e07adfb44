#include "coordination/crashledger.h"

#include <algorithm>

#include <catch2/catch.hpp>

#include "base/random.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Coordination;

namespace
{

constexpr RequestMark Mark { 1, 2, 3 };

/// A ledger on a clock that the test advances.
struct Fixture {
    bool crash(const char *server, const RequestMark &mark = Mark, std::uint64_t born = 1, Duration age = {})
    {
        return ledger.record(CrashFact { mark, ServerId(server), born, age }, now);
    }

    bool end(const RequestMark &mark = Mark, Duration age = {})
    {
        return ledger.record(CrashFact { mark, ServerId(), 0, age }, now);
    }

    bool isHeld(const RequestMark &mark = Mark) const
    {
        return ledger.holdTime(mark, now) > Duration {};
    }

    CrashLedger ledger;
    Instant now = Instant {} + std::chrono::hours(100);
};

}

TEST_CASE("a request is held back after crashes of three incarnations of servers")
{
    Fixture fixture;
    CHECK(fixture.crash("s1"));
    CHECK_FALSE(fixture.crash("s1")); // the same crash, from another entry
    CHECK(fixture.crash("s1", Mark, 2));
    CHECK_FALSE(fixture.isHeld());
    CHECK(fixture.ledger.knowsPlace(Mark.place));
    CHECK(fixture.crash("s2"));
    CHECK(fixture.isHeld());
    CHECK(fixture.ledger.heldCount(fixture.now) == 1);
    CHECK_FALSE(fixture.isHeld(RequestMark { 1, 2, 4 }));
    CHECK_FALSE(fixture.ledger.knowsPlace(2));
}

// Guards against a request that is blamed because it ran beside another one that crashes servers.
TEST_CASE("a request that has run to an end is cleared of the crashes before, also of those reported later")
{
    Fixture fixture;
    fixture.crash("s1");
    fixture.crash("s2");
    fixture.now += std::chrono::milliseconds(50);
    CHECK(fixture.end());
    CHECK(fixture.ledger.crashes(Mark) == 0);
    CHECK_FALSE(fixture.crash("s3", Mark, 1, std::chrono::milliseconds(60)));
    fixture.now += std::chrono::milliseconds(50);
    CHECK(fixture.crash("s4"));
    CHECK(fixture.ledger.crashes(Mark) == 1);
    CHECK_FALSE(fixture.isHeld());
    CHECK_FALSE(fixture.end(Mark, std::chrono::milliseconds(20)));
}

TEST_CASE("a request that is held back is tried again, and held back longer after each further crash")
{
    Fixture fixture;
    for (const char *it : { "s1", "s2", "s3", "s4" }) {
        fixture.crash(it); // the fourth was running when the third crash became known
    }
    Duration expected = CrashLedger::FirstHold;
    for (std::uint64_t born = 2; born < 40; ++born) {
        fixture.now += expected - std::chrono::milliseconds(1);
        REQUIRE(fixture.isHeld());
        fixture.now += std::chrono::milliseconds(2);
        REQUIRE_FALSE(fixture.isHeld());
        fixture.crash("s5", Mark, born);
        REQUIRE(fixture.isHeld());
        expected = std::min<Duration>(expected * 2, CrashLedger::MaxHold);
    }
    fixture.now += CrashLedger::MaxHold + std::chrono::seconds(1);
    CHECK(fixture.end());
    CHECK(fixture.ledger.crashes(Mark) == 0);
}

// Guards against a request that crashes a server at each entry at the moment when all stop to hold it back.
TEST_CASE("instances hold a request back for different times")
{
    CrashLedger prompt(0);
    CrashLedger patient(0.5);
    const Instant now = Instant {} + std::chrono::hours(1);
    for (const char *it : { "s1", "s2", "s3" }) {
        prompt.record(CrashFact { Mark, ServerId(it), 1, {} }, now);
        patient.record(CrashFact { Mark, ServerId(it), 1, {} }, now);
    }
    CHECK(prompt.holdTime(Mark, now) == CrashLedger::FirstHold);
    CHECK(patient.holdTime(Mark, now) == CrashLedger::FirstHold * 3 / 2);
    const Instant later = now + CrashLedger::FirstHold + std::chrono::seconds(1);
    const CrashFact again { Mark, ServerId("s4"), 1, {} };
    prompt.record(again, later);
    patient.record(again, later);
    CHECK(prompt.holdTime(Mark, later) == CrashLedger::FirstHold * 2);
    CHECK(patient.holdTime(Mark, later) == CrashLedger::FirstHold * 3);
}

// Guards against entries that disagree because facts reach them in another order.
TEST_CASE("the same facts in any order hold back the same requests")
{
    SeededRandom random(5);
    for (int round = 0; round < 50; ++round) {
        std::vector<CrashFact> facts;
        for (int n = 0; n < 12; ++n) {
            const RequestMark mark { 1, 2, random.below(3) };
            const bool isEnd = random.below(6) == 0;
            facts.push_back(CrashFact { mark, isEnd ? ServerId() : ServerId("s" + std::to_string(random.below(5))), 1,
                                        std::chrono::seconds(random.below(30)) });
        }
        // An end counts only where the crashes that it clears are known, as at the entry that reports it.
        std::stable_partition(facts.begin(), facts.end(), [](const CrashFact &it) { return it.isCrash(); });
        Fixture first;
        Fixture second;
        for (const CrashFact &it : facts) {
            first.ledger.record(it, first.now);
        }
        for (const CrashFact &it : first.ledger.factsAfter(0, first.now)) {
            second.ledger.record(it, second.now);
        }
        for (std::uint64_t n = 0; n < 3; ++n) {
            CHECK(first.isHeld({ 1, 2, n }) == second.isHeld({ 1, 2, n }));
            CHECK(first.ledger.crashes({ 1, 2, n }) == second.ledger.crashes({ 1, 2, n }));
        }
    }
}

// Pattern: an instance that has started again learns all from its peers; later only what is new.
TEST_CASE("facts are passed on once to each receiver, and all of them to a new one")
{
    Fixture fixture;
    fixture.crash("s1");
    const std::uint64_t known = fixture.ledger.revision();
    fixture.now += std::chrono::seconds(1);
    fixture.crash("s2");
    CHECK(fixture.ledger.factsAfter(known, fixture.now).size() == 1);
    CHECK(fixture.ledger.factsAfter(0, fixture.now).size() == 2);
    CHECK(fixture.ledger.factsAfter(fixture.ledger.revision(), fixture.now).empty());
    fixture.end();
    const std::vector<CrashFact> facts = fixture.ledger.factsAfter(known + 1, fixture.now);
    REQUIRE(facts.size() == 1);
    CHECK_FALSE(facts.front().isCrash());
}

// Pattern: each request is new, as when every server of a service crashes again and again.
TEST_CASE("the memory for requests is bounded, and those that are held back are forgotten last")
{
    Fixture fixture;
    for (const char *it : { "s1", "s2", "s3" }) {
        fixture.crash(it);
    }
    for (std::uint64_t n = 0; n < 2 * CrashLedger::MaxRequests; ++n) {
        fixture.now += std::chrono::milliseconds(10);
        fixture.crash("s1", RequestMark { n, n, n }, n);
    }
    CHECK(fixture.ledger.size() <= CrashLedger::MaxRequests);
    CHECK(fixture.isHeld());
    CHECK_FALSE(fixture.ledger.knowsPlace(0));
    fixture.now += 2 * CrashLedger::FactLifetime;
    fixture.crash("s1", RequestMark { 1, 2, 99 });
    CHECK(fixture.ledger.size() == 1);
    CHECK_FALSE(fixture.crash("s2", RequestMark { 7, 7, 7 }, 1, 2 * CrashLedger::FactLifetime));
}

TEST_CASE("a request that never met a crash takes no memory")
{
    Fixture fixture;
    CHECK_FALSE(fixture.end());
    CHECK(fixture.ledger.size() == 0);
}
