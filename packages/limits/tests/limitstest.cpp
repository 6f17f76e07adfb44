#include <iostream>

#include <catch2/catch.hpp>

#include "limitssimulation.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Limits;
using namespace std::chrono_literals;

namespace
{

void clearFaults(Simulation &simulation)
{
    simulation.faults().healAll();
    simulation.faults().setDelay(1ms, 5ms);
    simulation.faults().setLossPermille(0);
    for (std::size_t n = 0; n < Simulation::EntryCount; ++n) {
        simulation.cutOff(n, false);
    }
}

/// Injects one random fault; those of single entries affect \p hot, the entry with most of the leased half.
void injectFault(Simulation &simulation, std::size_t hot, const Contract &contract)
{
    Contract lowered = contract;
    lowered.ratePerSecond /= 3;
    lowered.burst = (lowered.burst + 1) / 2;
    lowered.concurrency = (lowered.concurrency + 1) / 2;
    switch (simulation.random().below(11)) {
    case 0:
        simulation.startEntry(hot);
        break;
    case 1:
        simulation.changeLeader();
        break;
    case 2:
        simulation.faults().cutOneWay(hot, simulation.leader());
        break;
    case 3:
        simulation.faults().cutOneWay(simulation.leader(), hot);
        break;
    case 4:
        simulation.faults().cut(hot, simulation.leader());
        simulation.cutOff(hot, true);
        break;
    case 5:
        simulation.faults().setDelay(1ms, 1800ms); // delays replies, some beyond later ones
        break;
    case 6:
        simulation.faults().setLossPermille(300);
        break;
    case 7:
        simulation.setContract(lowered);
        break;
    case 8:
        simulation.setContract(contract);
        break;
    case 9:
        simulation.setRegistered(Simulation::EntryCount - simulation.random().below(3));
        break;
    default:
        simulation.faults().setDelay(1ms, 700ms);
        simulation.changeLeader();
        break;
    }
}

/// Demand that uses up the baselines of all entries; the high demand, which gets the leased half, moves from entry to entry.
class Demand
{
public:
    /// The other entries make a call in one of \p ticksPerCall ticks on average; with many ticks they rarely need a lease.
    Demand(Simulation &simulation, std::uint64_t ticksPerCall)
        : m_simulation(simulation)
        , m_ticksPerCall(ticksPerCall)
    {
    }

    void call()
    {
        for (std::size_t n = 0; n < Simulation::EntryCount; ++n) {
            const bool isHot = n == m_hot || n == m_previousHot;
            for (std::uint64_t calls = isHot ? 30 : m_simulation.random().below(m_ticksPerCall) == 0 ? 1 : 0; calls > 0; --calls) {
                m_simulation.call(n);
            }
        }
    }

    std::size_t hot() const
    {
        return m_hot;
    }

    void move()
    {
        m_previousHot = m_hot;
        m_hot = m_simulation.random().below(Simulation::EntryCount);
    }

private:
    Simulation &m_simulation;
    std::uint64_t m_ticksPerCall;
    std::size_t m_hot = 0;
    std::size_t m_previousHot = 0;
};

struct Usable {
    double rate = 0;
    double concurrency = 0;
};

/// The fraction of the contract that \p hot of 17 entries can use when all demand is at them.
Usable measureUsable(std::size_t hot)
{
    Simulation simulation(makeContract(1000, 200, 200), 41);
    simulation.setLongestCall(100ms);
    Simulation longCalls(makeContract(100000, 100000, 200), 42);
    simulation.setTicksPerUpdate(20);
    longCalls.setTicksPerUpdate(20);
    const auto run = [&](Duration time) {
        std::uint64_t sum = 0;
        std::uint64_t ticks = 0;
        for (const Instant end = simulation.now() + time; simulation.now() < end; ++ticks) {
            simulation.step();
            longCalls.step();
            for (std::size_t n = 0; n < hot; ++n) {
                for (std::uint64_t call = 0; call < 20 / hot + 1; ++call) {
                    simulation.call(n);
                    longCalls.call(n);
                }
            }
            sum += longCalls.inFlight();
        }
        return static_cast<double>(sum) / static_cast<double>(ticks);
    };
    run(20s);
    const std::uint64_t before = simulation.admitted();
    const double inFlight = run(30s);
    REQUIRE((simulation.isWithinContract() && longCalls.isWithinContract()));
    return { static_cast<double>(simulation.admitted() - before) / 30 / 1000, inFlight / 200 };
}

struct BurstResult {
    std::uint64_t refused = 0;
    std::uint64_t calls = 0;
    /// Share requests of all entries in the 10 idle seconds before the burst.
    std::uint64_t idleRequests = 0;
};

/// Starts calls of up to 2 s at \p hot idle entries, evenly over \p span: at each 3 times its baseline of concurrency and burst.
BurstResult measureBurst(std::size_t hot, Duration span)
{
    constexpr std::uint32_t Baseline = 100;
    Simulation simulation(
        makeContract(2 * Baseline * Simulation::EntryCount, 2 * Baseline * Simulation::EntryCount, 2 * Baseline * Simulation::EntryCount),
        44);
    simulation.setTicksPerUpdate(20);
    simulation.faults().setDelay(1ms, 1ms);
    const auto run = [&simulation](Duration time, Duration callInterval) {
        Instant nextCall = simulation.now();
        for (const Instant end = simulation.now() + time; simulation.now() < end;) {
            simulation.step();
            for (std::size_t n = 0; n < Simulation::EntryCount && simulation.now() >= nextCall; ++n) {
                simulation.call(n);
            }
            nextCall = std::max(nextCall, simulation.now() + (simulation.now() >= nextCall ? callInterval : 0ms));
        }
    };
    run(10s, 100ms);
    run(10s, 1h);
    BurstResult result;
    const std::uint64_t before = simulation.requests();
    run(10s, 1h);
    result.idleRequests = simulation.requests() - before;
    simulation.setTick(1ms);
    simulation.setTicksPerUpdate(200);
    std::uint64_t called = 0;
    for (const Instant start = simulation.now(); called < 3 * Baseline;) {
        simulation.step();
        const auto due = std::min<Duration::rep>(3 * Baseline, 3 * Baseline * (simulation.now() - start) / std::max<Duration>(span, 1ms));
        for (; called < static_cast<std::uint64_t>(due); ++called) {
            for (std::size_t n = 0; n < hot; ++n) {
                ++result.calls;
                result.refused += simulation.call(n) ? 0 : 1;
            }
        }
    }
    REQUIRE(simulation.isWithinContract());
    return result;
}

}

// Guards against admitting more calls than the contract allows under any faults and delays: rate x time + burst in every time
// span, and the concurrency at any time.
TEST_CASE("the sum over all entries stays within the contract", "[limits]")
{
    const auto [rate, burst, concurrency] =
        GENERATE(table<std::uint32_t, std::uint32_t, std::uint32_t>({ { 1000, 40, 150 }, { 300, 40, 20 }, { 20, 5, 3 }, { 5000, 1, 1 } }));
    std::uint64_t admitted = 0;
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        const Contract contract = makeContract(rate, burst, concurrency);
        Simulation simulation(contract, seed);
        simulation.setLongestCall(seed % 2 == 0 ? 20ms : 2s); // short calls are limited by the rate, long ones by the concurrency
        simulation.setTicksPerUpdate(seed % 4 < 3 ? 20 : 150);
        Demand demand(simulation, seed % 3 == 0 ? 200 : 2);
        for (int tick = 0; tick < 9000; ++tick) {
            if (tick % 600 == 0) {
                clearFaults(simulation);
                demand.move();
            }
            if (tick % 600 == 350 || (tick % 600 > 350 && simulation.random().below(300) == 0)) {
                injectFault(simulation, demand.hot(), contract);
                demand.move();
            }
            simulation.step();
            demand.call();
            INFO("seed " << seed << " tick " << tick);
            REQUIRE(simulation.isWithinContract());
        }
        admitted += simulation.admitted();
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

// Guards against share requests from idle entries, and against refused bursts because an idle entry requests its lease too late.
// The bounds are the numbers of refused calls measured when idle entries kept a lease. For a burst that is shorter than the time
// of a reply (0 ms), more calls are refused now than then.
TEST_CASE("refused calls of a burst at idle entries", "[limits]")
{
    const auto [hot, span, maxRefused] = GENERATE(table<std::size_t, Duration, std::uint64_t>({ { 1, 0ms, 200 },
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
    REQUIRE(result.refused <= maxRefused);
    REQUIRE(result.idleRequests == 0);
}

// Guards against idle entries that send no request and so keep a new leader from granting concurrency for a whole deadline.
TEST_CASE("a new leader grants concurrency early when idle entries report to it", "[limits]")
{
    const bool isReporting = GENERATE(false, true);
    Contract contract = makeContract(100000, 100000, 340);
    contract.services.front().maxDeadline = 10s;
    Simulation simulation(contract, 45);
    simulation.setReporting(isReporting);
    simulation.setTicksPerUpdate(20);
    simulation.faults().setDelay(1ms, 1ms);
    const auto runUntilLeased = [&simulation](Duration limit) {
        const Instant start = simulation.now();
        while (simulation.now() - start < limit && simulation.concurrencyInForce() < 200) {
            simulation.step();
            for (int n = 0; n < 10; ++n) {
                simulation.call(0);
            }
        }
        return simulation.now() - start;
    };
    for (const Instant end = simulation.now() + 30s; simulation.now() < end;) {
        simulation.step();
    }
    for (std::size_t n = 0; n < Simulation::EntryCount; ++n) {
        simulation.faults().cut(n, simulation.leader());
    }
    simulation.changeLeader();
    const Duration time = runUntilLeased(30s);
    std::cout << "a new leader grants concurrency after " << time / 1ms << " ms, idle entries "
              << (isReporting ? "report" : "do not report") << "\n";
    REQUIRE(simulation.isWithinContract());
    REQUIRE((time < 5s) == isReporting);
}

// Guards against admitting calls of a customer whose contract was withdrawn, and against losing the count of calls in flight
// between withdrawal and a new contract.
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

// Guards against fields that are lost in encoding, and against errors other than FrameMalformed for damaged messages.
TEST_CASE("share messages survive encoding, and damaged ones are rejected or harmless", "[limits]")
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
        const bool isCut = random.below(2) != 0;
        const std::size_t cut = random.below(damaged.size());
        damaged.resize(damaged.size() - (isCut ? cut : 0));
        const Result<ShareRequest> result = decodeShareRequest(damaged);
        REQUIRE((result || result.error().code == ResultCode::FrameMalformed));
    }
}
