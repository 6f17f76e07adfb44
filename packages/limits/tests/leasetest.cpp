#include <catch2/catch.hpp>

#include "limits/baseline.h"
#include "limitssimulation.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Limits;
using namespace std::chrono_literals;

namespace
{

const Contract Terms = makeContract(1000, 200, 100);
const CustomerId &Customer = Terms.customer;
const Instant Start = Instant(1h);
// At this time every entry has its baseline, and the allocator may grant the whole leased half.
const Instant Ready = Start + 20s;

/// Two registered entries and the allocator of the leader. The leased half is 500 calls/s, 100 burst, 50 in flight.
struct Pair {
    Pair()
    {
        allocator.setContract(Terms);
        allocator.setRegisteredEntries(entries);
        allocator.becomeLeader(Start);
        for (CustomerLimits *it : { &a, &b }) {
            it->setContract(Terms, Start);
            it->setRegisteredEntries(entries, Start);
        }
    }

    ShareReply answer(const ShareRequest &request, Instant now, Duration age = {})
    {
        return allocator.answer(request, age, now);
    }

    /// A request with high demand.
    static ShareRequest requestOf(CustomerLimits &entry, Instant now)
    {
        ShareRequest request = entry.makeRequest(now);
        const std::uint32_t held = request.demands.empty() ? 0 : request.demands.front().heldConcurrency;
        request.demands = { { Customer, 1000000, 100, held } };
        return request;
    }

    static Share granted(const ShareReply &reply)
    {
        return reply.grants.empty() ? Share {} : reply.grants.front().share;
    }

    static int admitAll(CustomerLimits &entry, Instant now)
    {
        int admitted = 0;
        for (; entry.admit(Customer, now); ++admitted) {
            entry.release(Customer, now);
        }
        return admitted;
    }

    /// The concurrency of \p entry above its baseline.
    static std::uint32_t leased(CustomerLimits &entry, Instant now)
    {
        return entry.effectiveShare(Customer, now)->concurrency - 25;
    }

    std::vector<InstanceId> entries { InstanceId("a"), InstanceId("b") };
    ShareAllocator allocator { {} };
    CustomerLimits a { InstanceId("a"), Incarnation(1), {}, Start };
    CustomerLimits b { InstanceId("b"), Incarnation(2), {}, Start };
};

}

// Guards against an entry that uses a lease after the leader has granted the same share to another one.
TEST_CASE("an entry counts its lease from the time of the request, and applies only the reply to its latest request", "[limits]")
{
    Pair pair;
    const ShareRequest first = Pair::requestOf(pair.a, Ready);
    const ShareReply late = pair.answer(first, Ready);
    const ShareRequest second = Pair::requestOf(pair.a, Ready + 1s);
    REQUIRE_FALSE(pair.a.applyReply(late, Ready + 1s));
    const ShareReply reply = pair.answer(second, Ready + 1s, 500ms);
    REQUIRE(reply.lease == Duration(2500ms)); // ends before a leader elected since the last confirmation grants
    REQUIRE(pair.a.applyReply(reply, Ready + 1900ms));
    REQUIRE_FALSE(pair.a.applyReply(reply, Ready + 1900ms));
    REQUIRE(Pair::leased(pair.a, Ready + 3499ms) == 50);
    REQUIRE(Pair::leased(pair.a, Ready + 3500ms) == 0);
    SECTION("a reply that arrives after the end of its lease is ignored")
    {
        const ShareReply tooLate = pair.answer(Pair::requestOf(pair.a, Ready + 4s), Ready + 4s);
        REQUIRE_FALSE(pair.a.applyReply(tooLate, Ready + 7s));
    }
    SECTION("a reply that does not contain a customer ends its lease")
    {
        REQUIRE(pair.a.applyReply(pair.answer(Pair::requestOf(pair.a, Ready + 4s), Ready + 4s), Ready + 4s));
        REQUIRE(Pair::leased(pair.a, Ready + 5s) == 50);
        const ShareRequest next = pair.a.makeRequest(Ready + 5s);
        REQUIRE(pair.a.applyReply(ShareReply { next.number, 3s, {} }, Ready + 5s));
        REQUIRE(Pair::leased(pair.a, Ready + 5s) == 0);
    }
    SECTION("the tokens of a lease expire with it")
    {
        pair.a.makeRequest(Ready + 3400ms);
        REQUIRE(Pair::admitAll(pair.a, Ready + 3500ms) == 50);
        REQUIRE(Pair::admitAll(pair.a, Ready + 3600ms) == 25); // 250 calls/s without the lease
    }
    SECTION("time before the baseline is in force adds no tokens")
    {
        CustomerLimits started(InstanceId("a"), Incarnation(3), {}, Ready);
        started.setContract(Terms, Ready);
        started.setRegisteredEntries(pair.entries, Ready);
        REQUIRE(Pair::admitAll(started, Ready + 5s) == 0);
        REQUIRE(Pair::admitAll(started, Ready + 5100ms) == 25);
    }
}

// Guards against a share that is granted twice.
TEST_CASE("the leader grants a share to another entry only when its holder can no longer use it", "[limits]")
{
    Pair pair;
    const ShareReply toA = pair.answer(Pair::requestOf(pair.a, Ready), Ready);
    const Share all = Pair::granted(toA);
    REQUIRE((all.rate == 500000 && all.burst == 100 && all.concurrency == 50));
    SECTION("a lease counts until it ends, and its concurrency until the calls have ended")
    {
        REQUIRE(Pair::granted(pair.answer(Pair::requestOf(pair.b, Ready + 2900ms), Ready + 2900ms)) == Share {});
        REQUIRE(Pair::granted(pair.answer(Pair::requestOf(pair.b, Ready + 4900ms), Ready + 4900ms)).concurrency == 0);
        REQUIRE(Pair::granted(pair.answer(Pair::requestOf(pair.b, Ready + 5s), Ready + 5s)).concurrency == 50);
        REQUIRE(pair.allocator.answer(ShareRequest { InstanceId("a"), Incarnation(1), 1, 0, {} }, {}, Ready).lease == Duration(0));
    }
    SECTION("a restarted entry does not get what its previous process still holds")
    {
        CustomerLimits restarted(InstanceId("a"), Incarnation(3), {}, Ready + 1s);
        restarted.setContract(Terms, Ready + 1s);
        REQUIRE(Pair::granted(pair.answer(Pair::requestOf(restarted, Ready + 1s), Ready + 1s)) == Share {});
    }
    SECTION("a grant counts while its holder has not installed a later one")
    {
        pair.a.applyReply(toA, Ready);
        pair.answer(Pair::requestOf(pair.b, Ready + 100ms), Ready + 100ms);
        // The share of A decreases, but the reply is lost, so A keeps its earlier share.
        REQUIRE(Pair::granted(pair.answer(Pair::requestOf(pair.a, Ready + 1s), Ready + 1s)).rate < 300000);
        REQUIRE(Pair::granted(pair.answer(Pair::requestOf(pair.b, Ready + 2s), Ready + 2s)).rate == 0);
    }
    SECTION("calls above the baseline count as leased concurrency even after the end of the lease")
    {
        pair.a.applyReply(toA, Ready);
        for (int n = 0; n < 60; ++n) {
            pair.a.admit(Customer, Ready + Duration(20ms) * n);
        }
        REQUIRE(pair.a.inFlight(Customer) >= 55);
        pair.answer(pair.a.makeRequest(Ready + 3s), Ready + 3s);
        REQUIRE(Pair::granted(pair.answer(Pair::requestOf(pair.b, Ready + 3s), Ready + 3s)).concurrency <= 20);
        REQUIRE(Pair::granted(pair.answer(Pair::requestOf(pair.b, Ready + 6500ms), Ready + 6500ms)).concurrency <= 20);
    }
    SECTION("a request that arrives after a later one gets no lease")
    {
        const ShareRequest overtaken = Pair::requestOf(pair.a, Ready + 1s);
        pair.answer(Pair::requestOf(pair.a, Ready + 1100ms), Ready + 1100ms);
        REQUIRE(pair.answer(overtaken, Ready + 1200ms).lease == Duration(0));
    }
}

// Guards against two leaders whose leases add up to more than the contract.
TEST_CASE("a new leader waits until the leases of its predecessor have expired", "[limits]")
{
    Pair pair;
    pair.allocator.becomeLeader(Ready);
    REQUIRE(pair.answer(Pair::requestOf(pair.a, Ready + 2900ms), Ready + 2900ms).lease == Duration(0));
    // B may be cut off and still have calls under an earlier lease.
    const Share early = Pair::granted(pair.answer(Pair::requestOf(pair.a, Ready + 3s), Ready + 3s));
    REQUIRE((early.rate == 500000 && early.concurrency == 0));
    SECTION("the concurrency that an entry holds counts until its calls have ended")
    {
        ShareRequest holding = Pair::requestOf(pair.b, Ready + 3s);
        holding.demands.front().heldConcurrency = 35;
        REQUIRE(pair.allocator.answer(holding, 3s, Ready + 3s).lease == Duration(0)); // the last confirmation is too old to grant a lease
        REQUIRE(Pair::granted(pair.answer(Pair::requestOf(pair.a, Ready + 7900ms), Ready + 7900ms)).concurrency == 15);
        REQUIRE(Pair::granted(pair.answer(Pair::requestOf(pair.a, Ready + 8s), Ready + 8s)).concurrency == 50);
        return;
    }
    const bool hasReported = GENERATE(false, true);
    if (hasReported) {
        pair.answer(pair.b.makeRequest(Ready + 3s), Ready + 3s);
    }
    REQUIRE(Pair::granted(pair.answer(Pair::requestOf(pair.a, Ready + 4s), Ready + 4s)).concurrency == (hasReported ? 50 : 0));
    REQUIRE(Pair::granted(pair.answer(Pair::requestOf(pair.a, Ready + 5s), Ready + 5s)).concurrency == 50);
}

// Guards against limits of an earlier contract that remain in use.
TEST_CASE("a contract with lower limits ends the lease, and grants of the earlier version are ignored", "[limits]")
{
    Pair pair;
    REQUIRE(pair.a.applyReply(pair.answer(Pair::requestOf(pair.a, Ready), Ready), Ready));
    Contract lowered = makeContract(100, 20, 10);
    lowered.version = Version(2);
    const ShareReply earlier = pair.answer(Pair::requestOf(pair.a, Ready + 1s), Ready + 1s);
    pair.a.setContract(lowered, Ready + 1s);
    REQUIRE(pair.a.effectiveShare(Customer, Ready + 1s) == Share { 25000, 5, 3 });
    REQUIRE(pair.a.applyReply(earlier, Ready + 1s));
    REQUIRE(pair.a.effectiveShare(Customer, Ready + 1s) == Share { 25000, 5, 3 });
}

// Guards against baselines that add up to more than half of the contract while entries know different lists of entries.
TEST_CASE("a baseline decreases at once and increases after a delay", "[limits]")
{
    const std::vector<InstanceId> two { InstanceId("a"), InstanceId("b") };
    const std::vector<InstanceId> one { InstanceId("a") };
    BaselineShares shares(InstanceId("a"), 5s, Start);
    shares.setRegisteredEntries(one, Start);
    REQUIRE(shares.shareOf(Terms, Start + 4900ms) == Share {}); // a restarted entry may know a list that others do not
    REQUIRE(shares.shareOf(Terms, Start + 5s).concurrency == 50);
    shares.setRegisteredEntries(two, Start + 6s);
    REQUIRE(shares.shareOf(Terms, Start + 6s).concurrency == 25);
    shares.setRegisteredEntries(one, Start + 7s);
    REQUIRE(shares.shareOf(Terms, Start + 7s + 11900ms).concurrency == 25); // two freshness limits and the longest deadline
    REQUIRE(shares.shareOf(Terms, Start + 7s + 12s).concurrency == 50);

    BaselineShares added(InstanceId("b"), 5s, Start);
    added.setRegisteredEntries(one, Start);
    added.setRegisteredEntries(two, Start + 6s);
    REQUIRE(added.shareOf(Terms, Start + 17900ms) == Share {});
    REQUIRE(added.shareOf(Terms, Start + 18s).concurrency == 25);
}

// Guards against an entry that keeps the remainder of the division for ever.
TEST_CASE("the remainder of the division rotates among the entries", "[limits]")
{
    Pair pair;
    pair.allocator.setContract(makeContract(100, 1, 1));
    int toA = 0;
    int toB = 0;
    for (int n = 0; n < 60; ++n) {
        const Instant now = Ready + n * 1s;
        toA += static_cast<int>(Pair::granted(pair.answer(Pair::requestOf(pair.a, now), now)).burst);
        toB += static_cast<int>(Pair::granted(pair.answer(Pair::requestOf(pair.b, now), now)).burst);
    }
    REQUIRE((toA > 5 && toB > 5));
}

// Guards against an idle entry without a leased share, where the first calls of a burst are refused (ConcurrencyLimited, code 103)
// until the next grant.
TEST_CASE("an idle entry gets an equal part of the headroom", "[limits]")
{
    Pair pair;
    Share toBusy;
    Share toIdle;
    for (int n = 0; n < 10; ++n) {
        const Instant now = Ready + n * 1s;
        ShareRequest busy = Pair::requestOf(pair.a, now);
        busy.demands.front().rate /= 2;
        busy.demands.front().concurrency = 10;
        ShareRequest idle = Pair::requestOf(pair.b, now);
        idle.demands.front().rate = 0;
        idle.demands.front().concurrency = 0;
        toBusy = Pair::granted(pair.answer(busy, now));
        toIdle = Pair::granted(pair.answer(idle, now));
    }
    REQUIRE(toBusy.concurrency == 25);
    REQUIRE(toIdle.concurrency == 25);
}

// Guards against tokens that are granted twice, by one leader or by a new leader after its predecessor.
TEST_CASE("a grant includes the tokens of the unleased part", "[limits]")
{
    Pair pair;
    const auto tokens = [&pair](CustomerLimits &entry, Instant now) {
        ShareRequest request = entry.makeRequest(now);
        request.demands = { { Customer, 0, 0, 0 } };
        const ShareReply reply = pair.answer(request, now);
        REQUIRE(entry.applyReply(reply, now));
        REQUIRE(Pair::granted(reply).burst == 50);
        return reply.grants.front().tokens;
    };
    pair.a.takeRequest(Start + 6s); // the baseline has just come into force
    REQUIRE(tokens(pair.a, Ready) == 50);
    REQUIRE(Pair::admitAll(pair.a, Ready) == 100); // 50 of them are tokens of the baseline
    REQUIRE(tokens(pair.a, Ready + 1s) == 0);
    REQUIRE(tokens(pair.b, Ready + 1s) == 50);
    REQUIRE(tokens(pair.a, Ready + 20s) == 50);
    pair.allocator.becomeLeader(Ready + 20s);
    REQUIRE(tokens(pair.b, Ready + 23s) == 0);
}

// Guards against an entry that requests a lease without demand, or requests it too late or too often when demand rises.
TEST_CASE("an entry requests a lease when its demand is high", "[limits]")
{
    Pair pair;
    const auto call = [&pair](int count, Instant now) {
        for (int n = 0; n < count; ++n) {
            pair.a.admit(Customer, now);
        }
    };
    REQUIRE_FALSE(pair.a.takeRequest(Start + 6s)); // the baseline of 25 has just come into force
    call(12, Ready);
    REQUIRE_FALSE(pair.a.isRequestDue());
    REQUIRE_FALSE(pair.a.takeRequest(Ready));
    call(1, Ready);
    REQUIRE(pair.a.isRequestDue());
    const std::optional<ShareRequest> request = pair.a.takeRequest(Ready);
    REQUIRE(request);
    REQUIRE(request->demands.front().concurrency == 13);
    call(10, Ready);
    REQUIRE_FALSE(pair.a.takeRequest(Ready)); // waits for the reply
    REQUIRE(pair.a.applyReply(pair.answer(*request, Ready), Ready));
    int sent = 1;
    for (Instant now = Ready; now < Ready + 900ms; now += 1ms) {
        call(10, now);
        if (const auto next = pair.a.takeRequest(now)) {
            ++sent;
            pair.a.applyReply(pair.answer(*next, now), now);
        }
    }
    REQUIRE(sent >= 3);
    REQUIRE(sent <= 5); // 4 at once and one per second
    while (pair.a.inFlight(Customer) > 0) {
        pair.a.release(Customer, Ready + 1s);
    }
    for (Instant now = Ready + 1s; now < Ready + 20s; now += 10ms) {
        const auto next = pair.a.takeRequest(now);
        REQUIRE((!next || now < Ready + 6s)); // demand was high until 2 s, and the lease is kept for 3 s more
        if (next) {
            pair.a.applyReply(pair.answer(*next, now), now);
        }
    }
}

// Guards against refusing a call while the reply that would admit it is pending, and against useless waits: without a request,
// after the reply, when the reply is late, and for a customer that the request does not contain.
TEST_CASE("a call should wait while a reply to a share request is pending", "[limits]")
{
    Pair pair;
    pair.a.takeRequest(Start + 6s); // the baseline of 25 in flight has just come into force
    for (int n = 0; n < 25; ++n) {
        REQUIRE(pair.a.admit(Customer, Ready));
    }
    REQUIRE_FALSE(pair.a.admit(Customer, Ready));
    REQUIRE_FALSE(pair.a.shareExpectedUntil(Customer, Ready));
    const std::optional<ShareRequest> request = pair.a.takeRequest(Ready);
    REQUIRE(request);
    REQUIRE(pair.a.shareExpectedUntil(Customer, Ready + 5ms) == Ready + 20ms);
    REQUIRE_FALSE(pair.a.shareExpectedUntil(CustomerId("other"), Ready + 5ms));
    REQUIRE_FALSE(pair.a.shareExpectedUntil(Customer, Ready + 20ms));
    REQUIRE_FALSE(pair.a.admitWaiting(Customer, Ready + 5ms));
    REQUIRE(pair.a.applyReply(pair.answer(*request, Ready + 5ms), Ready + 5ms));
    REQUIRE(pair.a.admitWaiting(Customer, Ready + 5ms));
    REQUIRE(pair.a.inFlight(Customer) == 26);
    REQUIRE_FALSE(pair.a.shareExpectedUntil(Customer, Ready + 5ms));
    pair.a.removeContract(Customer, Ready + 5ms);
    REQUIRE(pair.a.admitWaiting(Customer, Ready + 5ms).error() == ResultCode::NoContract);
}

// Guards against a lost report to a new leader, and against a report that is repeated for ever.
TEST_CASE("an entry without demand reports to a new leader until it gets a reply", "[limits]")
{
    Pair pair;
    REQUIRE_FALSE(pair.a.takeRequest(Ready));
    pair.a.reportToNewLeader();
    REQUIRE(pair.a.takeRequest(Ready + 1s));
    const std::optional<ShareRequest> repeated = pair.a.takeRequest(Ready + 2s);
    REQUIRE(repeated);
    REQUIRE(repeated->demands.empty());
    pair.allocator.becomeLeader(Ready + 2s);
    REQUIRE_FALSE(pair.a.applyReply(pair.answer(*repeated, Ready + 2s), Ready + 2s)); // the leader replied, but too early for a lease
    REQUIRE_FALSE(pair.a.takeRequest(Ready + 3s));
}

// Guards against holders that get all calls of a contract that has fewer calls than there are entries: the first call at another
// entry would be refused until they had returned some.
TEST_CASE("a small contract reserves calls for entries that have none yet", "[limits]")
{
    const Contract small = makeContract(150, 30, 20); // the leased half is 10 in flight
    ShareAllocator allocator { {} };
    allocator.setContract(small);
    std::vector<InstanceId> entries;
    for (int n = 0; n < 17; ++n) {
        entries.emplace_back("e" + std::to_string(n));
    }
    allocator.setRegisteredEntries(entries);
    allocator.becomeLeader(Start);
    for (std::size_t n = 0; n < 5; ++n) {
        const ShareRequest request { entries[n], Incarnation(1), 1, 0, { { small.customer, 1000, 1, 0 } } };
        const ShareReply reply = allocator.answer(request, {}, Ready);
        INFO(n);
        REQUIRE(Pair::granted(reply).concurrency == 2);
    }
}
