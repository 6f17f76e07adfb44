#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <unordered_map>
#include <vector>

#include "bench/measurement.h"
#include "bench/permissivedependencies.h"
#include "bench/scenario.h"
#include "bench/simulationhooks.h"
#include "entry/callengine.h"

namespace Galenabarrow::Bench
{

/// Discrete-event simulation of the call engines of all entries with fake servers and links, on a manual clock.
class Simulation
{
public:
    /// \p hooks may be null; then every call is admitted.
    Simulation(const Scenario &scenario, const std::vector<PlannedCall> &calls, SimulationHooks *hooks = nullptr);
    Measurement run();

private:
    /// One attempt, from its dispatch until its end is reported to the entry.
    struct Job {
        std::uint32_t entry = 0;
        std::uint32_t server = 0;
        std::uint32_t call = 0;
        AttemptId attempt;
        std::uint8_t number = 0;
        Instant sentAt {};
        Instant startedAt {};
        Duration ran {};
        bool isRunning = false;
        bool isCancelled = false;
        std::uint16_t status = 200;
    };

    struct Server {
        Entry::ServerRecord record;
        std::uint32_t service = 0;
        std::uint32_t dataCentre = 0;
        std::uint32_t running = 0;
        bool isFaulty = false;
        bool alwaysFails = false;
    };

    struct LiveCall {
        PlannedCall plan;
        std::uint8_t depth = 0;
        bool isRetryUpstream = false;
        /// Index of the job that waits for this call; empty for an external call.
        std::optional<std::size_t> parent;
        std::vector<std::size_t> jobs;
    };

    struct EntryState {
        std::unique_ptr<Entry::CallEngine> engine;
        Instant wake = Instant::max();
        std::unordered_map<CallId, std::uint32_t> calls;
        std::vector<std::size_t> jobs;
    };

    struct Event {
        Instant at {};
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator>(const Event &other) const;
    };

    void makeServers();
    void makeEntries();
    void scheduleFaults();
    void scheduleReports();
    void scheduleTicks();
    void announce(Server &server, Duration age);

    void scheduleAfter(Duration delay, std::function<void()> run);
    void scheduleAt(Instant when, std::function<void()> run);

    void submitNext(std::size_t planned);
    void submit(LiveCall call);
    void apply(std::uint32_t entry, const std::vector<Entry::Effect> &effects);
    void apply(std::uint32_t entry, const Entry::DispatchAttempt &effect);
    void apply(std::uint32_t entry, const Entry::CancelAttempt &effect);
    void apply(std::uint32_t entry, const Entry::FinishCall &effect);
    void tick(std::uint32_t entry);
    void sendWaitReports(std::uint32_t entry);

    Duration oneWay(const Job &job) const;
    Duration workOf(const Job &job);
    void handleArrival(std::size_t job);
    void handleWorkDone(std::size_t job);
    void respond(std::size_t job, std::uint16_t status);
    void stopAttempt(std::size_t job);
    void reportAttemptEnd(std::size_t job, Entry::AttemptEnd end, Entry::ServerLoad load);

    const Scenario &m_scenario;
    const std::vector<PlannedCall> &m_planned;
    SimulationHooks *m_hooks;
    Measurement m_result;
    SeededRandom m_random;
    PermissiveDependencies m_dependencies;
    std::vector<std::unique_ptr<SeededRandom>> m_entryRandom;
    std::vector<EntryState> m_entries;
    std::vector<Server> m_servers;
    std::unordered_map<ServerId, std::uint32_t> m_serverIndex;
    std::vector<Job> m_jobs;
    std::vector<LiveCall> m_calls;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    ManualClock m_clock;
    std::uint64_t m_order = 0;
};

}
