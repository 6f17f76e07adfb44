#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include <catch2/catch.hpp>

#include "base/random.h"
#include "measuring/measuringbudget.h"
#include "measuring/probeassignment.h"
#include "measuring/sampler.h"
#include "usagemeter.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Measuring;
using namespace Galenabarrow::Measuring::Test;
using namespace std::chrono_literals;

namespace
{

constexpr Duration Tick = 10ms;
constexpr Duration ProbeReserve = 20ms;

/// Simulates 17 entries that measure the same servers, each with its own view of entries and servers.
class Simulation
{
public:
    Simulation(const Deployment &deployment, std::uint64_t seed)
        : m_deployment(deployment)
        , m_random(seed)
        , m_usage(deployment.servers * deployment.slotsPerServer * std::chrono::duration<double>(Window).count())
    {
        for (std::size_t n = 0; n < EntryCount; ++n) {
            start(n, EntryCount, 0);
        }
    }

    /// Starts a new process that sees \p visible entries, including itself, and all but the last \p unseen servers.
    void start(std::size_t n, std::size_t visible, std::uint32_t unseen)
    {
        BudgetSettings settings;
        settings.budgetPermille = m_deployment.budgetPermille;
        settings.window = Window;
        Entry &entry = m_entries[n];
        entry.pending.clear();
        entry.nextProbe.clear(); // a new process has probed nothing
        entry.budget = std::make_unique<MeasuringBudget>(settings, m_now);
        entry.sampler = std::make_unique<Sampler>(*entry.budget, 50us, m_random, m_now);
        setView(n, visible, unseen);
    }

    void setView(std::size_t n, std::size_t visible, std::uint32_t unseen)
    {
        Entry &entry = m_entries[n];
        std::vector<InstanceId> entries;
        for (std::size_t other = 0; other < visible; ++other) {
            entries.push_back(entryId((n + other) % EntryCount));
        }
        ProbeAssignment assignment;
        assignment.setEntries(entries);
        entry.seen = m_deployment.servers - unseen;
        entry.assigned.clear();
        for (std::size_t server = 0; server < entry.seen; ++server) {
            if (assignment.prober(serverId(server)) == entryId(n)) {
                entry.assigned.emplace_back(ProbeAssignment::weight(entryId(n), serverId(server)), server);
            }
        }
        entry.budget->setShare(entry.seen * m_deployment.slotsPerServer, EntryCount, m_now);
    }

    /// Runs with \p calls per second at each entry.
    void run(Duration time, std::uint32_t calls)
    {
        for (const Instant end = m_now + time; m_now < end;) {
            m_now += Tick;
            for (std::size_t n = 0; n < EntryCount; ++n) {
                probe(n);
                const auto perTick = std::max<std::uint64_t>(calls / 100, calls > 0 && m_random.below(100) < calls ? 1 : 0);
                for (std::uint64_t call = 0; call < perTick; ++call) {
                    measureCall(m_entries[n]);
                }
            }
        }
    }

    /// Restarts all entries 20 times, 500 ms apart, then three times, 13 s apart. None sees another, so each probes every server.
    void restartInSeries()
    {
        const auto restartAll = [this] {
            for (std::size_t n = 0; n < EntryCount; ++n) {
                start(n, 1, static_cast<std::uint32_t>(m_random.below(8)));
            }
        };
        for (int round = 0; round < 20; ++round) {
            restartAll();
            run(500ms, 100);
        }
        for (int round = 0; round < 3; ++round) {
            restartAll();
            run(13s, 100);
        }
    }

    UsageMeter &usage()
    {
        return m_usage;
    }

    std::size_t recentlyProbed() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_probedAt.begin(), m_probedAt.end(), [this](const auto &it) { return m_now - it.second < 10s; }));
    }

    RandomSource &random()
    {
        return m_random;
    }

private:
    struct Entry {
        std::unique_ptr<MeasuringBudget> budget;
        std::unique_ptr<Sampler> sampler;
        std::uint32_t seen = 0;
        /// Servers that this entry probes according to its own view, with their weights.
        std::vector<std::pair<std::uint64_t, std::size_t>> assigned;
        std::map<std::size_t, Instant> nextProbe;
        /// Probes in flight: the time of their end, and their cost.
        std::multimap<Instant, Duration> pending;
    };

    void probe(std::size_t n)
    {
        Entry &entry = m_entries[n];
        while (!entry.pending.empty() && entry.pending.begin()->first <= m_now) {
            entry.budget->settle(MeasurementKind::Probe, ProbeReserve, entry.pending.begin()->second, m_now);
            entry.pending.erase(entry.pending.begin());
        }
        // The server that has been due longest comes first, since otherwise a small budget would never reach the last ones.
        std::vector<std::tuple<Instant, std::uint64_t, std::size_t>> due;
        for (const auto &[weight, server] : entry.assigned) {
            const Instant at = entry.nextProbe[server];
            if (m_now >= at) {
                due.emplace_back(at, weight, server);
            }
        }
        std::sort(due.begin(), due.end());
        for (const auto &[since, weight, server] : due) {
            if (!entry.budget->reserve(MeasurementKind::Probe, ProbeReserve, m_now)) {
                break;
            }
            // One probe in 20 is slow and is aborted at its reserved cost.
            const Duration cost = m_random.below(20) == 0 ? ProbeReserve : Duration(6ms);
            m_usage.add(cost, m_now);
            entry.pending.emplace(m_now + cost, cost);
            entry.nextProbe[server] = m_now + 1s;
            m_probedAt[server] = m_now;
        }
    }

    void measureCall(Entry &entry)
    {
        if (entry.sampler->sample(m_now)) {
            m_usage.add(50us, m_now);
        }
        if (entry.budget->reserve(MeasurementKind::Report, 5us, m_now)) {
            m_usage.add(5us, m_now);
        }
    }

    Deployment m_deployment;
    SeededRandom m_random;
    UsageMeter m_usage;
    Instant m_now = Instant(1h);
    std::array<Entry, EntryCount> m_entries;
    std::map<std::size_t, Instant> m_probedAt;
};

}

// Guards against measurements that exceed the budget, summed over entries with different views of entries and servers.
TEST_CASE("the measurements of all entries stay within the budget", "[measuring]")
{
    const Deployment deployment = GENERATE(Abyssinia, ODalaigh);
    Simulation simulation(deployment, 51);
    const auto phase = [&](const char *name, Duration time, std::uint32_t calls) {
        simulation.run(time, calls);
        std::cout << deployment.name << ", " << name << ": at most " << simulation.usage().maxPermille() << " permille of "
                  << deployment.budgetPermille << ", " << simulation.recentlyProbed() << " of " << deployment.servers
                  << " servers probed in the last 10 s\n";
        REQUIRE(simulation.usage().maxPermille() <= deployment.budgetPermille);
        simulation.usage().resetMax();
    };
    phase("idle", 60s, 0);
    REQUIRE(simulation.recentlyProbed() == deployment.servers);
    phase("under load", 60s, 100);
    phase("in a 100-fold burst", 3s, 10000);
    for (std::size_t n = 0; n < EntryCount; ++n) {
        const std::size_t visible = 1 + simulation.random().below(EntryCount);
        const auto unseen = static_cast<std::uint32_t>(simulation.random().below(8));
        simulation.setView(n, visible, unseen);
    }
    phase("with views that differ", 60s, 100);
    simulation.restartInSeries();
    phase("after mass restarts", 30s, 100);
    REQUIRE(simulation.recentlyProbed() >= deployment.servers / 2);
}

// Guards against restarted entries that all probe the same servers first, so that the budget never reaches the others.
TEST_CASE("half of the servers are probed although all entries were restarted and none sees another", "[measuring]")
{
    const Deployment deployment = GENERATE(Abyssinia, ODalaigh);
    const auto seed = static_cast<std::uint64_t>(GENERATE(range(51, 101)));
    CAPTURE(deployment.name, seed);
    Simulation simulation(deployment, seed);
    simulation.run(20s, 100);
    simulation.restartInSeries();
    simulation.run(30s, 100);
    CHECK(simulation.usage().maxPermille() <= deployment.budgetPermille);
    CHECK(simulation.recentlyProbed() >= deployment.servers / 2);
}

// Guards against a burst whose first calls use up all samples, and against a sampled share that does not fall.
TEST_CASE("the sampled share falls as the call rate rises", "[measuring]")
{
    SeededRandom random(52);
    Instant now(1h);
    MeasuringBudget budget({}, now);
    budget.setShare(99, EntryCount, now);
    now += 20s;
    Sampler sampler(budget, 50us, random, now);
    double before = 1.1;
    for (const int callsPerTick : { 1, 10, 100, 1000 }) {
        int fewest = callsPerTick * 100;
        for (int span = 0; span < 20; ++span) {
            int samples = 0;
            for (int tick = 0; tick < 50; ++tick) {
                now += Tick;
                for (int call = 0; call < callsPerTick; ++call) {
                    samples += sampler.sample(now) ? 1 : 0;
                }
            }
            fewest = std::min(fewest, samples);
        }
        std::cout << "sampling at " << callsPerTick * 100 << " calls/s: share " << sampler.probability(now) << "\n";
        REQUIRE(sampler.probability(now) < before);
        REQUIRE(fewest > 10);
        before = sampler.probability(now);
    }
}

// Guards against an overrun of a reservation that is not charged to the budget.
TEST_CASE("an overrun is counted and charged to later budget", "[measuring]")
{
    Instant now(1h);
    MeasuringBudget budget({}, now);
    REQUIRE_FALSE(budget.reserve(MeasurementKind::Probe, 6ms, now));
    budget.setShare(99, EntryCount, now);
    REQUIRE_FALSE(budget.reserve(MeasurementKind::Probe, 6ms, now + 10s)); // the share rises after its delay
    now += 30s;
    REQUIRE_FALSE(budget.reserve(MeasurementKind::Probe, 21ms, now));
    REQUIRE(budget.reserve(MeasurementKind::Probe, 20ms, now));
    REQUIRE_FALSE(budget.reserve(MeasurementKind::Probe, 20ms, now));
    budget.settle(MeasurementKind::Probe, 20ms, 120ms, now);
    REQUIRE((budget.overruns() == 1 && budget.spent() == Duration(120ms)));
    REQUIRE_FALSE(budget.reserve(MeasurementKind::Probe, 1ms, now + 5s));
    REQUIRE(budget.reserve(MeasurementKind::Probe, 1ms, now + 10s));
    budget.setShare(99, 0, now + 10s);
    REQUIRE(budget.rate(MeasurementKind::Probe, now + 10s) == 0);
}

// Guards against a server that is probed by no entry or by several, and against one lost entry that moves all servers.
TEST_CASE("each server is assigned to one entry, and the loss of an entry moves only its own servers", "[measuring]")
{
    std::vector<InstanceId> entries;
    for (std::size_t n = 0; n < EntryCount; ++n) {
        entries.push_back(entryId(n));
    }
    ProbeAssignment all;
    all.setEntries(entries);
    std::vector<InstanceId> reversed(entries.rbegin(), entries.rend());
    ProbeAssignment other;
    other.setEntries(reversed);
    entries.erase(entries.begin() + 4);
    ProbeAssignment fewer;
    fewer.setEntries(entries);
    std::map<std::string, int> counts;
    for (std::size_t n = 0; n < 3400; ++n) {
        const InstanceId prober = all.prober(serverId(n)).value();
        REQUIRE(other.prober(serverId(n)) == prober);
        REQUIRE((prober == entryId(4) || fewer.prober(serverId(n)) == prober));
        ++counts[prober.value()];
    }
    for (const auto &[entry, count] : counts) {
        REQUIRE((count > 140 && count < 260)); // 200 on average
    }
    REQUIRE(counts.size() == EntryCount);
    REQUIRE_FALSE(ProbeAssignment().prober(serverId(1)));
}
