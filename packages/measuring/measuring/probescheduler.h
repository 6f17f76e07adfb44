#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/id.h"
#include "measuring/measuringbudget.h"
#include "measuring/probeassignment.h"

namespace Galenabarrow::Measuring
{

/// Intervals, deadline and concurrency of probes.
struct ProbeSettings {
    /// Server time that is reserved for one probe; the probe is aborted after it.
    Duration deadline = std::chrono::milliseconds(20);
    /// A server that answered or refused a call within this time is not probed.
    Duration passiveWindow = std::chrono::seconds(2);
    /// A healthy server without calls is probed at this interval ...
    Duration idleInterval = std::chrono::seconds(5);
    /// ... or at a longer one, up to this, when the average slots of a server times the budget are less than 3 slots times
    /// 5 permille. Probes of idle servers then cost the same part of the budget in all deployments.
    Duration maxIdleInterval = std::chrono::seconds(60);
    /// An unhealthy server is probed again after this time; the interval doubles with each further probe ...
    Duration initialUnhealthyInterval = std::chrono::seconds(1);
    /// ... up to this. It is shorter than the time for which calls avoid a server after a failed probe.
    Duration maxUnhealthyInterval = std::chrono::seconds(8);
    /// Time until the next attempt after a due probe was suppressed for lack of budget.
    Duration suppressedRetryDelay = std::chrono::milliseconds(250);
    /// Maximum number of probes that are queued or in flight.
    std::size_t maxPending = 4;
};

/// Result of the last known probe of a server, by any entry.
struct ProbeStatus {
    Instant at {};
    bool isHealthy = true;
};

/// State of a server that may be probed, as this entry knows it.
struct ProbeTarget {
    ServerId server;
    std::uint32_t slots = 0;
    /// Time of the last answer or refusal of a call at this entry; Instant::min() when there was none.
    Instant lastContactAt = Instant::min();
    /// Calls avoid the server because of failures.
    bool isAvoided = false;
    bool isLeaving = false;
    std::optional<ProbeStatus> shared;
};

/// The servers and entries as this entry knows them.
struct ProbeView {
    std::vector<ProbeTarget> servers;
    /// The entries that this one sees live, including itself.
    std::vector<InstanceId> liveEntries;
    std::size_t registeredEntries = 0;
};

/// A probe to send now.
struct Probe {
    std::uint64_t number = 0;
    ServerId server;
    Duration deadline {};
};

struct ProbeResult {
    std::uint64_t number = 0;
    /// Upper bound of the server time used by the probe; zero when it was not sent.
    Duration used {};
    bool isHealthy = false;
    bool isTimedOut = false;
};

struct ProbeCounters {
    std::uint64_t sent = 0;
    std::uint64_t failed = 0;
    std::uint64_t timedOut = 0;
    /// Due probes that were not sent for lack of budget, counted at each attempt.
    std::uint64_t suppressed = 0;
    /// Server time used by the probes that have ended.
    Duration spent {};
};

/// Decides which servers this entry probes and when, within the measuring budget.
class ProbeScheduler
{
public:
    ProbeScheduler(const ProbeSettings &settings, const BudgetSettings &budget, InstanceId self, Instant now);

    /// Returns the probes to send now. finish() must be called for each of them.
    std::vector<Probe> tick(const ProbeView &view, Instant now);
    /// Records the result of a probe and settles its reservation. An unknown number is ignored.
    void finish(const ProbeResult &result, Instant now);

    const ProbeCounters &counters() const;
    const MeasuringBudget &budget() const;

private:
    struct State {
        std::optional<ProbeStatus> last;
        /// Time until the next probe while the server is unhealthy; zero while it is healthy.
        Duration unhealthyInterval {};
        bool isPending = false;
    };

    void eraseRemovedServers(const ProbeView &view);
    std::optional<Instant> dueAt(const ProbeTarget &target, State &state, Instant now) const;
    void setIdleInterval(std::uint32_t slots, std::size_t servers);
    void send(const ProbeTarget &target, std::vector<Probe> &probes);

    ProbeSettings m_settings;
    InstanceId m_self;
    double m_budgetPermille;
    Duration m_idleInterval {};
    MeasuringBudget m_budget;
    ProbeAssignment m_assignment;
    std::map<ServerId, State> m_states;
    std::map<std::uint64_t, ServerId> m_pending;
    std::uint64_t m_lastNumber = 0;
    Instant m_suppressedUntil = Instant::min();
    ProbeCounters m_counters;
};

}
