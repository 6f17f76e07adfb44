#include <iostream>

#include <catch2/catch.hpp>

#include "limitsworld.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Limits;
using namespace std::chrono_literals;

namespace
{

void heal(World &world)
{
    world.faults().healAll();
    world.faults().setDelay(1ms, 5ms);
    world.faults().setLossPermille(0);
    for (std::size_t n = 0; n < World::EntryCount; ++n) {
        world.cutOff(n, false);
    }
}

/// One fault at the entry that has most of the leased half.
void hurt(World &world, std::size_t hot, const Contract &contract)
{
    Contract lowered = contract;
    lowered.ratePerSecond /= 3;
    lowered.burst = (lowered.burst + 1) / 2;
    lowered.concurrency = (lowered.concurrency + 1) / 2;
    switch (world.random().below(11)) {
    case 0:
        world.startEntry(hot);
        break;
    case 1:
        world.changeLeader();
        break;
    case 2:
        world.faults().cutOneWay(hot, world.leader());
        break;
    case 3:
        world.faults().cutOneWay(world.leader(), hot);
        break;
    case 4:
        world.faults().cut(hot, world.leader());
        world.cutOff(hot, true);
        break;
    case 5:
        world.faults().setDelay(1ms, 1800ms); // replies that are late, and overtaken by later ones
        break;
    case 6:
        world.faults().setLossPermille(300);
        break;
    case 7:
        world.setContract(lowered);
        break;
    case 8:
        world.setContract(contract);
        break;
    case 9:
        world.setRegistered(World::EntryCount - world.random().below(3));
        break;
    default:
        world.faults().setDelay(1ms, 700ms);
        world.changeLeader();
        break;
    }
}

/// All entries use their baselines up, and the demand that decides who gets the leased half moves from entry to entry.
class Demand
{
public:
    /// The other entries call in one of \p ticksPerCall ticks; with many ticks they need no lease most of the time.
    Demand(World &world, std::uint64_t ticksPerCall)
        : m_world(world)
        , m_ticksPerCall(ticksPerCall)
    {
    }

    void call()
    {
        for (std::size_t n = 0; n < World::EntryCount; ++n) {
            const bool isHot = n == m_hot || n == m_before;
            for (std::uint64_t calls = isHot ? 30 : m_world.random().below(m_ticksPerCall) == 0 ? 1 : 0; calls > 0; --calls) {
                m_world.call(n);
            }
        }
    }

    std::size_t hot() const
    {
        return m_hot;
    }

    void move()
    {
        m_before = m_hot;
        m_hot = m_world.random().below(World::EntryCount);
    }

private:
    World &m_world;
    std::uint64_t m_ticksPerCall;
    std::size_t m_hot = 0;
    std::size_t m_before = 0;
};

struct Usable {
    double rate = 0;
    double concurrency = 0;
};

/// The part of the contract that \p hot entries of 17 can use when all demand is at them.
Usable measureUsable(std::size_t hot)
{
    World world(makeContract(1000, 200, 200), 41);
    world.setLongestCall(100ms);
    World longCalls(makeContract(100000, 100000, 200), 42);
    world.setTicksPerNews(20);
    longCalls.setTicksPerNews(20);
    const auto run = [&](Duration time) {
        std::uint64_t sum = 0;
        std::uint64_t ticks = 0;
        for (const Instant end = world.now() + time; world.now() < end; ++ticks) {
            world.step();
            longCalls.step();
            for (std::size_t n = 0; n < hot; ++n) {
                for (std::uint64_t call = 0; call < 20 / hot + 1; ++call) {
                    world.call(n);
                    longCalls.call(n);
                }
            }
            sum += longCalls.inFlight();
        }
        return static_cast<double>(sum) / static_cast<double>(ticks);
    };
    run(20s);
    const std::uint64_t before = world.admitted();
    const double inFlight = run(30s);
    REQUIRE((world.isKept() && longCalls.isKept()));
    return { static_cast<double>(world.admitted() - before) / 30 / 1000, inFlight / 200 };
}

struct BurstResult {
    std::uint64_t refused = 0;
    std::uint64_t calls = 0;
    /// Share requests of all entries in the 10 idle seconds before the burst.
    std::uint64_t idleRequests = 0;
};

/// Calls of 2 s that start at \p hot idle entries: 3 times what the baseline of each has in flight and in tokens, evenly over \p span.
BurstResult measureBurst(std::size_t hot, Duration span)
{
    constexpr std::uint32_t Baseline = 100;
    World world(makeContract(2 * Baseline * World::EntryCount, 2 * Baseline * World::EntryCount, 2 * Baseline * World::EntryCount), 44);
    world.setTicksPerNews(20);
    world.faults().setDelay(1ms, 1ms);
    const auto run = [&world](Duration time, Duration callInterval) {
        Instant nextCall = world.now();
        for (const Instant end = world.now() + time; world.now() < end;) {
            world.step();
            for (std::size_t n = 0; n < World::EntryCount && world.now() >= nextCall; ++n) {
                world.call(n);
            }
            nextCall = std::max(nextCall, world.now() + (world.now() >= nextCall ? callInterval : 0ms));
        }
    };
    run(10s, 100ms);
    run(10s, 1h);
    BurstResult result;
    const std::uint64_t before = world.requests();
    run(10s, 1h);
    result.idleRequests = world.requests() - before;
    world.setTick(1ms);
    world.setTicksPerNews(200);
    std::uint64_t called = 0;
    for (const Instant start = world.now(); called < 3 * Baseline;) {
        world.step();
        const auto due = std::min<Duration::rep>(3 * Baseline, 3 * Baseline * (world.now() - start) / std::max<Duration>(span, 1ms));
        for (; called < static_cast<std::uint64_t>(due); ++called) {
            for (std::size_t n = 0; n < hot; ++n) {
                ++result.calls;
                result.refused += world.call(n) ? 0 : 1;
            }
        }
    }
    REQUIRE(world.isKept());
    return result;
}

}

// Guards against more calls than the contract allows: rate x time + burst in every span, and calls in flight at every
// moment, whatever fails and whatever arrives late.
TEST_CASE("the sum over all entries stays within the contract", "[limits]")
{
    const auto [rate, burst, concurrency] =
        GENERATE(table<std::uint32_t, std::uint32_t, std::uint32_t>({ { 1000, 40, 150 }, { 300, 40, 20 }, { 20, 5, 3 }, { 5000, 1, 1 } }));
    std::uint64_t admitted = 0;
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        const Contract contract = makeContract(rate, burst, concurrency);
        World world(contract, seed);
        world.setLongestCall(seed % 2 == 0 ? 20ms : 2s); // short calls are limited by the rate, long ones by the concurrency
        world.setTicksPerNews(seed % 4 < 3 ? 20 : 150);
        Demand demand(world, seed % 3 == 0 ? 200 : 2);
        for (int tick = 0; tick < 9000; ++tick) {
            if (tick % 600 == 0) {
                heal(world);
                demand.move();
            }
            if (tick % 600 == 350 || (tick % 600 > 350 && world.random().below(300) == 0)) {
                hurt(world, demand.hot(), contract);
                demand.move();
            }
            world.step();
            demand.call();
            INFO("seed " << seed << " tick " << tick);
            REQUIRE(world.isKept());
        }
        admitted += world.admitted();
    }
    std::cout << "limits " << rate << "/" << burst << "/" << concurrency << ": " << admitted << " calls admitted in 12 runs of 90 s\n";
    REQUIRE(admitted > 0);
}

// Guards against a division that leaves most of a contract unusable.
TEST_CASE("how much of a contract is usable", "[limits]")
{
    const auto [hot, least] = GENERATE(table<std::size_t, double>({ { 17, 0.9 }, { 4, 0.6 }, { 1, 0.5 } }));
    const Usable usable = measureUsable(hot);
    std::cout << "usable with all demand at " << hot << " of 17 entries: " << usable.rate * 100 << "% of the rate, "
              << usable.concurrency * 100 << "% of the concurrency\n";
    REQUIRE(usable.rate >= least);
    REQUIRE(usable.concurrency >= least);
}

// Guards against an idle entry that sends share requests, and against bursts from idle that are refused because the entry asks
// for a lease too late. The bounds are what was refused while idle entries kept a lease; within the time of a reply (0 ms) more
// is refused now.
TEST_CASE("refused calls of a burst from idle", "[limits]")
{
    const auto [hot, span, mostRefused] = GENERATE(table<std::size_t, Duration, std::uint64_t>({ { 1, 0ms, 200 },
                                                                                                 { 1, 20ms, 98 },
                                                                                                 { 1, 100ms, 96 },
                                                                                                 { 1, 500ms, 64 },
                                                                                                 { 17, 0ms, 3400 },
                                                                                                 { 17, 20ms, 1680 },
                                                                                                 { 17, 100ms, 1597 },
                                                                                                 { 17, 500ms, 1117 } }));
    const BurstResult result = measureBurst(hot, span);
    std::cout << "burst of 3 times the baseline within " << span / 1ms << " ms at " << hot << " of 17 idle entries: " << result.refused
              << " of " << result.calls << " refused; " << result.idleRequests << " share requests in 10 idle s\n";
    REQUIRE(result.refused <= mostRefused);
    REQUIRE(result.idleRequests == 0);
}

// Guards against entries whose silence keeps a new leader from granting concurrency for a whole deadline.
TEST_CASE("a new leader grants concurrency early when silent entries report to it", "[limits]")
{
    const bool isReporting = GENERATE(false, true);
    Contract contract = makeContract(100000, 100000, 340);
    contract.services.front().maxDeadline = 10s;
    World world(contract, 45);
    world.setReporting(isReporting);
    world.setTicksPerNews(20);
    world.faults().setDelay(1ms, 1ms);
    const auto runUntilLeased = [&world](Duration most) {
        const Instant start = world.now();
        while (world.now() - start < most && world.concurrencyInForce() < 200) {
            world.step();
            for (int n = 0; n < 10; ++n) {
                world.call(0);
            }
        }
        return world.now() - start;
    };
    for (const Instant end = world.now() + 30s; world.now() < end;) {
        world.step();
    }
    for (std::size_t n = 0; n < World::EntryCount; ++n) {
        world.faults().cut(n, world.leader());
    }
    world.changeLeader();
    const Duration time = runUntilLeased(30s);
    std::cout << "a new leader grants concurrency after " << time / 1ms << " ms, silent entries "
              << (isReporting ? "report" : "do not report") << "\n";
    REQUIRE(world.isKept());
    REQUIRE((time < 5s) == isReporting);
}

// Guards against calls of a customer whose contract was withdrawn, and against a count that is lost on the way.
TEST_CASE("a customer without a contract gets no service", "[limits]")
{
    const Contract contract = makeContract(1000, 200, 100);
    const CustomerId &customer = contract.customer;
    Instant now(1h);
    CustomerLimits limits(InstanceId("e1"), Incarnation(1), {}, now);
    REQUIRE(limits.admit(customer, now).error() == ResultCode::NoContract);
    limits.setContract(contract, now);
    REQUIRE(limits.admit(customer, now).error() == ResultCode::ConcurrencyLimited); // not registered yet
    limits.setRegisteredEntries(std::vector { InstanceId("e1") }, now);
    for (int n = 0; n < 6; ++n) {
        now += 1s;
        limits.makeRequest(now);
    }
    int admitted = 0;
    while (limits.admit(customer, now)) {
        ++admitted;
    }
    REQUIRE(admitted == 50);
    limits.removeContract(customer, now);
    REQUIRE(limits.admit(customer, now).error() == ResultCode::NoContract);
    REQUIRE(limits.inFlight(customer) == 50);
    limits.setContract(contract, now);
    REQUIRE(limits.admit(customer, now).error() == ResultCode::ConcurrencyLimited);
    limits.release(customer, now);
    REQUIRE(limits.admit(customer, now).error() == ResultCode::RateLimited);
}

// Guards against fields lost on the way, and against damaged messages taken for good ones.
TEST_CASE("share messages survive encoding, and damaged ones are refused or harmless", "[limits]")
{
    const ShareRequest request {
        InstanceId("e1"), Incarnation(9), 5, 4, { { CustomerId("north"), 1500, 7, 3 }, { CustomerId("south"), 0, 0, 1 } }
    };
    const ShareReply reply { 5, 3s, { { CustomerId("north"), Version(8), { 1, 2, 3 }, 4 } } };
    REQUIRE(*decodeShareRequest(encode(request)) == request);
    REQUIRE(*decodeShareReply(encode(reply)) == reply);
    std::cout << "share request and reply for one customer: "
              << encode(ShareRequest { request.entry, request.incarnation, 5, 4, { request.demands[0] } }).size() << " and "
              << encode(reply).size() << " bytes\n";
    SeededRandom random(43);
    for (int n = 0; n < 2000; ++n) {
        std::vector<std::uint8_t> damaged = encode(request);
        damaged[random.below(damaged.size())] ^= static_cast<std::uint8_t>(1 + random.below(255));
        damaged.resize(damaged.size() - random.below(2) * random.below(damaged.size()));
        const Result<ShareRequest> result = decodeShareRequest(damaged);
        REQUIRE((result || result.error().code == ResultCode::FrameMalformed));
    }
}
