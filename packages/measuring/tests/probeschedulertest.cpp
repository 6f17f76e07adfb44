#include <array>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include <catch2/catch.hpp>

#include "base/random.h"
#include "measuring/probescheduler.h"
#include "usagemeter.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Measuring;
using namespace Galenabarrow::Measuring::Test;
using namespace std::chrono_literals;

namespace
{

constexpr Duration Tick = 20ms;
constexpr Duration ProbeCost = 6ms;

/// Simulates 17 entries that probe the same servers, each with its own view of entries and servers.
class Simulation
{
public:
    Simulation(const Deployment &deployment, std::uint64_t seed)
        : m_deployment(deployment)
        , m_random(seed)
        , m_usage(deployment.servers * deployment.slotsPerServer * std::chrono::duration<double>(Window).count())
        , m_isHealthy(deployment.servers, true)
    {
        for (std::size_t n = 0; n < EntryCount; ++n) {
            start(n, EntryCount, 0);
        }
    }

    /// Starts a new process that sees \p visible entries, including itself, and all but the last \p unseen servers.
    void start(std::size_t n, std::size_t visible, std::uint32_t unseen)
    {
        BudgetSettings budget;
        budget.budgetPermille = m_deployment.budgetPermille;
        m_entries[n] = Entry { std::make_unique<ProbeScheduler>(ProbeSettings {}, budget, entryId(n), m_now), {}, {} };
        setView(n, visible, unseen);
    }

    /// With \p isShared, this entry receives the probe results of others.
    void setView(std::size_t n, std::size_t visible, std::uint32_t unseen, bool isShared = true)
    {
        Entry &entry = m_entries[n];
        entry.isShared = isShared;
        entry.view = { {}, {}, EntryCount };
        for (std::size_t other = 0; other < visible; ++other) {
            entry.view.liveEntries.push_back(entryId((n + other) % EntryCount));
        }
        for (std::size_t it = 0; it + unseen < m_deployment.servers; ++it) {
            entry.view.servers.push_back({ serverId(it), m_deployment.slotsPerServer, Instant::min(), false, false, {} });
        }
    }

    void stop(std::size_t n)
    {
        m_entries[n].scheduler.reset();
        for (Entry &it : m_entries) {
            std::erase(it.view.liveEntries, entryId(n));
        }
    }

    void setHealthy(std::size_t server, bool isHealthy)
    {
        m_isHealthy[server] = isHealthy;
    }

    /// Runs while at each tick each entry gets an answer from each healthy server with a probability of \p answersPermille.
    void run(Duration time, std::uint32_t answersPermille)
    {
        for (const Instant end = m_now + time; m_now < end;) {
            m_now += Tick;
            for (std::size_t n = 0; n < EntryCount; ++n) {
                if (m_entries[n].scheduler) {
                    step(n, answersPermille);
                }
            }
        }
    }

    /// Runs without calls and returns the share of the slots' time that the probes cost, in thousandths.
    double spentIn(Duration time)
    {
        const Duration before = m_spent;
        run(time, 0);
        const double slots = m_deployment.servers * m_deployment.slotsPerServer;
        return std::chrono::duration<double>(m_spent - before) / time / slots * 1000;
    }

    UsageMeter &usage()
    {
        return m_usage;
    }

    RandomSource &random()
    {
        return m_random;
    }

    /// Servers that were probed by more than one entry.
    std::size_t doublyProbed() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_probers.begin(), m_probers.end(), [](const auto &it) { return it.second.size() > 1; }));
    }

    /// Servers that at least one entry sees.
    std::size_t seenServers() const
    {
        std::size_t maxServers = 0;
        for (const Entry &it : m_entries) {
            maxServers = std::max(maxServers, it.view.servers.size());
        }
        return maxServers;
    }

    /// Servers whose last result is not older than the idle interval plus the delay of a probe by a small budget.
    std::size_t recentlyProbed() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_shared.begin(), m_shared.end(), [this](const auto &it) { return m_now - it.second.at < m_recent; }));
    }

    ProbeCounters total() const
    {
        ProbeCounters sum;
        for (const Entry &it : m_entries) {
            if (it.scheduler) {
                sum.sent += it.scheduler->counters().sent;
                sum.failed += it.scheduler->counters().failed;
                sum.suppressed += it.scheduler->counters().suppressed;
            }
        }
        return sum;
    }

private:
    struct Entry {
        std::unique_ptr<ProbeScheduler> scheduler;
        ProbeView view;
        /// Results of the probes in flight, by the time of their arrival.
        std::multimap<Instant, std::pair<std::size_t, ProbeResult>> pending;
        bool isShared = true;
    };

    void step(std::size_t n, std::uint32_t answersPermille)
    {
        Entry &entry = m_entries[n];
        while (!entry.pending.empty() && entry.pending.begin()->first <= m_now) {
            const auto [server, result] = entry.pending.begin()->second;
            entry.scheduler->finish(result, m_now);
            m_shared[server] = { m_now, result.isHealthy };
            entry.pending.erase(entry.pending.begin());
        }
        for (std::size_t it = 0; it < entry.view.servers.size(); ++it) {
            ProbeTarget &target = entry.view.servers[it];
            if (m_isHealthy[it] && answersPermille > 0 && m_random.below(1000) < answersPermille) {
                target.lastContactAt = m_now;
            }
            const auto status = m_shared.find(it);
            target.shared = entry.isShared && status != m_shared.end() ? std::optional(status->second) : std::nullopt;
            target.isAvoided = !m_isHealthy[it] && answersPermille > 0;
        }
        for (const Probe &it : entry.scheduler->tick(entry.view, m_now)) {
            const std::size_t server = std::stoul(it.server.value().substr(7));
            // One probe in 20 is slow and is aborted at its deadline, as are all probes of an unhealthy server.
            const bool isSlow = !m_isHealthy[server] || m_random.below(20) == 0;
            const Duration cost = isSlow ? it.deadline : ProbeCost;
            m_usage.add(cost, m_now);
            m_spent += cost;
            m_probers[server].insert(n);
            entry.pending.emplace(m_now + cost, std::pair(server, ProbeResult { it.number, cost, !isSlow, isSlow }));
        }
    }

    Deployment m_deployment;
    SeededRandom m_random;
    UsageMeter m_usage;
    Instant m_now = Instant(1h);
    Duration m_spent {};
    std::vector<bool> m_isHealthy;
    std::array<Entry, EntryCount> m_entries;
    /// The idle interval is 5 s for Abyssinia and 15 s for Ó Dálaigh.
    Duration m_recent = m_deployment.slotsPerServer == 3 ? 12s : 25s;
    std::map<std::size_t, ProbeStatus> m_shared;
    std::map<std::size_t, std::set<std::size_t>> m_probers;
};

/// One entry and one server with 99 slots.
struct OneEntry {
    Instant now = Instant(1h);
    ProbeScheduler scheduler { {}, {}, entryId(0), now };
    ProbeView view { { { serverId(0), 99, Instant::min(), false, false, {} } }, { entryId(0) }, 1 };

    /// Runs until a probe is sent and returns it; nullopt when none is sent within a minute.
    std::optional<Probe> runUntilProbe()
    {
        for (const Instant end = now + 60s; now < end; now += Tick) {
            if (const auto probes = scheduler.tick(view, now); !probes.empty()) {
                return probes.front();
            }
        }
        return std::nullopt;
    }

    void finish(const Probe &probe, bool isHealthy)
    {
        scheduler.finish({ probe.number, 6ms, isHealthy, false }, now);
    }
};

}

// Guards against probes that exceed the budget, summed over entries with different views of entries and servers.
TEST_CASE("scheduled probes stay within the budget in every window", "[measuring]")
{
    const Deployment deployment = GENERATE(Abyssinia, ODalaigh);
    Simulation simulation(deployment, 61);
    const auto phase = [&](const char *name, Duration time, std::uint32_t answersPermille) {
        simulation.run(time, answersPermille);
        std::cout << deployment.name << ", probes " << name << ": at most " << simulation.usage().maxPermille() << " permille of "
                  << deployment.budgetPermille << ", " << simulation.recentlyProbed() << " of " << deployment.servers
                  << " servers probed lately\n";
        REQUIRE(simulation.usage().maxPermille() <= deployment.budgetPermille);
        simulation.usage().resetMax();
    };
    phase("idle", 60s, 0);
    REQUIRE(simulation.recentlyProbed() == deployment.servers);
    const double idleShare = simulation.spentIn(100s);
    std::cout << deployment.name << ", probes idle: " << idleShare << " permille over 100 s\n";
    // Ó Dálaigh has half of Abyssinia's budget.
    REQUIRE(idleShare < 0.11 * deployment.budgetPermille);
    phase("under load", 60s, 10);
    const std::uint64_t before = simulation.total().sent;
    phase("in a 100-fold burst", 5s, 1000);
    REQUIRE(simulation.total().sent == before); // each server answered within the last 2 s
    for (std::size_t server = 0; server < deployment.servers; server += 2) {
        simulation.setHealthy(server, false);
    }
    phase("in a burst with half of the servers failing", 60s, 1000);
    for (std::size_t server = 0; server < deployment.servers; ++server) {
        simulation.setHealthy(server, true);
    }
    for (std::size_t n = 0; n < EntryCount; ++n) {
        const auto visible = 1 + simulation.random().below(EntryCount);
        simulation.setView(n, visible, static_cast<std::uint32_t>(simulation.random().below(8)), false);
    }
    phase("with views that differ and no shared results", 60s, 0);
    // Each restarted entry sees no other entry and so probes every server.
    for (int round = 0; round < 20; ++round) {
        for (std::size_t n = 0; n < EntryCount; ++n) {
            simulation.start(n, 1, static_cast<std::uint32_t>(simulation.random().below(8)));
        }
        simulation.run(round < 15 ? 500ms : 13s, 0);
    }
    phase("after mass restarts", 60s, 0);
    REQUIRE(simulation.recentlyProbed() == simulation.seenServers());
}

// Guards against servers that are no longer probed after the entry that probed them has stopped.
TEST_CASE("the servers of a stopped entry are probed by other entries", "[measuring]")
{
    const Deployment deployment = GENERATE(Abyssinia, ODalaigh);
    Simulation simulation(deployment, 62);
    simulation.run(30s, 0);
    for (const std::size_t n : { 3, 8, 15 }) {
        simulation.stop(n);
    }
    simulation.run(30s, 0);
    REQUIRE(simulation.recentlyProbed() == deployment.servers);
    REQUIRE(simulation.usage().maxPermille() <= deployment.budgetPermille);
}

// Guards against two entries that both probe the same servers and together exceed the budget.
TEST_CASE("two entries that probe the same servers stay within the budget", "[measuring]")
{
    const Deployment deployment = GENERATE(Abyssinia, ODalaigh);
    Simulation simulation(deployment, 63);
    for (std::size_t n = 0; n < EntryCount; ++n) {
        simulation.setView(n, n == 4 ? 1 : EntryCount, 0, false); // entry 4 sees no other entry and so probes every server
    }
    simulation.run(80s, 0);
    REQUIRE(simulation.doublyProbed() > deployment.servers / 2);
    REQUIRE(simulation.usage().maxPermille() <= deployment.budgetPermille);
}

// Guards against probes of servers whose calls already show their health, and against frequent probes of a failing server.
TEST_CASE("answers to calls replace probes, and the interval doubles while a server is unhealthy", "[measuring]")
{
    OneEntry entry;
    std::optional<Probe> probe = entry.runUntilProbe();
    REQUIRE(probe);
    std::vector<Instant> sent;
    for (int n = 0; n < 6; ++n) {
        entry.finish(*probe, false);
        sent.push_back(entry.now);
        probe = entry.runUntilProbe();
        REQUIRE(probe);
        const Duration pause = entry.now - sent.back();
        const Duration expected = std::min<Duration>(1s * (1 << n), 8s);
        REQUIRE((pause >= expected && pause <= expected + Tick));
    }
    REQUIRE(entry.scheduler.counters().failed == 6);
    entry.finish(*probe, true);
    const Instant healthy = entry.now;
    probe = entry.runUntilProbe();
    REQUIRE(entry.now - healthy == 5s);
    entry.finish(*probe, true);
    for (int n = 0; n < 1000; ++n) { // an answer at each tick
        entry.now += Tick;
        entry.view.servers[0].lastContactAt = entry.now;
        REQUIRE(entry.scheduler.tick(entry.view, entry.now).empty());
    }
    REQUIRE(entry.runUntilProbe());
    REQUIRE(entry.now - entry.view.servers[0].lastContactAt == 2s);
}

// Guards against probes without budget, of a leaving server, or of a server that is assigned to another entry.
TEST_CASE("no probe is sent without budget, to a leaving server, or to another entry's server", "[measuring]")
{
    OneEntry entry;
    entry.view.registeredEntries = 0;
    REQUIRE_FALSE(entry.runUntilProbe());
    REQUIRE(entry.scheduler.counters().suppressed > 0);
    entry.view.registeredEntries = 1;
    entry.view.servers[0].isLeaving = true;
    REQUIRE_FALSE(entry.runUntilProbe());
    entry.view.servers[0].isLeaving = false;
    entry.view.liveEntries = { entryId(1) };
    REQUIRE_FALSE(entry.runUntilProbe());
    REQUIRE(entry.scheduler.counters().sent == 0);
    entry.view.liveEntries = { entryId(0) };
    const std::optional<Probe> probe = entry.runUntilProbe();
    REQUIRE(probe);
    REQUIRE(entry.scheduler.budget().spent(MeasurementKind::Probe) == probe->deadline);
    entry.scheduler.finish({ probe->number, 50ms, false, true }, entry.now);
    REQUIRE(entry.scheduler.budget().overruns() == 1);
    REQUIRE(entry.scheduler.budget().spent(MeasurementKind::Probe) == Duration(50ms));
    REQUIRE(entry.scheduler.counters().timedOut == 1);
}

// Guards against entries that were restarted together and all probe the same servers first.
TEST_CASE("entries to which all servers are due at once begin with different ones", "[measuring]")
{
    constexpr std::size_t Servers = 30;
    std::set<ServerId> first;
    for (std::size_t n = 0; n < EntryCount; ++n) {
        Instant now(1h);
        ProbeScheduler scheduler({}, {}, entryId(n), now);
        ProbeView view;
        view.liveEntries = { entryId(n) };
        view.registeredEntries = EntryCount;
        for (std::size_t server = 0; server < Servers; ++server) {
            ProbeTarget target;
            target.server = serverId(server);
            target.slots = 3;
            view.servers.push_back(target);
        }
        std::vector<Probe> probes = scheduler.tick(view, now);
        for (int tick = 0; tick < 6000 && probes.empty(); ++tick) {
            now += 10ms;
            probes = scheduler.tick(view, now);
        }
        REQUIRE_FALSE(probes.empty());
        first.insert(probes.front().server);
    }
    CHECK(first.size() > EntryCount / 2);
}
