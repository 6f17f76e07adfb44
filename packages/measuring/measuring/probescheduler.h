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

/// Times and bounds of probes.
struct ProbeSettings {
    /// Time that is reserved for one probe; the probe ends by then.
    Duration deadline = std::chrono::milliseconds(20);
    /// A server that answered or refused a call within this time is not probed.
    Duration passiveWindow = std::chrono::seconds(2);
    /// A healthy server without calls is probed at this interval ...
    Duration idleInterval = std::chrono::seconds(5);
    /// ... or at a longer one, up to this, when slots times budget of a server is below that of a server with 3 slots and a
    /// budget of 5 permille; probes of idle servers so cost everywhere the same part of the budget.
    Duration maxIdleInterval = std::chrono::seconds(60);
    /// An unhealthy server is probed after this time; the interval doubles with each further probe ...
    Duration initialUnhealthyInterval = std::chrono::seconds(1);
    /// ... up to this. Shorter than the time for which a failed probe makes a server avoided.
    Duration maxUnhealthyInterval = std::chrono::seconds(8);
    /// After a probe was held back for lack of budget, the next one is tried after this time.
    Duration suppressedRetryDelay = std::chrono::milliseconds(250);
    /// Probes that are queued or in flight at once.
    std::size_t maxPending = 4;
};

/// The last known probe of a server, by any entry.
struct ProbeStatus {
    Instant at {};
    bool isHealthy = true;
};

/// What an entry knows about a server that may be probed.
struct ProbeTarget {
    ServerId server;
    std::uint32_t slots = 0;
    /// The last answer or refusal that this entry saw; Instant::min() when there was none.
    Instant lastContactAt = Instant::min();
    /// Calls avoid the server after failures.
    bool isAvoided = false;
    bool isLeaving = false;
    std::optional<ProbeStatus> shared;
};

/// What an entry knows when it decides on probes.
struct ProbeView {
    std::vector<ProbeTarget> servers;
    /// The entries seen live, this one too.
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
    /// Server time that the probe took at most; zero when it was not sent.
    Duration used {};
    bool isHealthy = false;
    bool isTimedOut = false;
};

struct ProbeCounters {
    std::uint64_t sent = 0;
    std::uint64_t failed = 0;
    std::uint64_t timedOut = 0;
    /// Due probes that were held back for lack of budget, counted once per try.
    std::uint64_t suppressed = 0;
    /// Server time of the probes that have ended.
    Duration spent {};
};

/// Decides which servers this entry probes and when, within the measuring budget.
class ProbeScheduler
{
public:
    ProbeScheduler(const ProbeSettings &settings, const BudgetSettings &budget, InstanceId self, Instant now);

    /// The probes to send now. Each of them must be ended with finish().
    std::vector<Probe> tick(const ProbeView &view, Instant now);
    /// Settles the reservation of a probe. An unknown number is ignored.
    void finish(const ProbeResult &result, Instant now);

    const ProbeCounters &counters() const;
    const MeasuringBudget &budget() const;

private:
    struct State {
        std::optional<ProbeStatus> last;
        /// Pause after the last probe while the server is unhealthy; zero while it is healthy.
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
