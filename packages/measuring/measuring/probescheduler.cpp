#include "measuring/probescheduler.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace Galenabarrow::Measuring
{

namespace
{

// Slots times budget in permille, for 3 slots and a budget of 5 permille. Below it, idle servers are probed less often.
constexpr double ReferenceBudget = 15;

BudgetSettings withProbeDeadline(BudgetSettings budget, Duration deadline)
{
    budget.maxCost[static_cast<std::size_t>(MeasurementKind::Probe)] = deadline;
    return budget;
}

}

ProbeScheduler::ProbeScheduler(const ProbeSettings &settings, const BudgetSettings &budget, InstanceId self, Instant now)
    : m_settings(settings)
    , m_self(std::move(self))
    , m_budgetPermille(budget.budgetPermille)
    , m_budget(withProbeDeadline(budget, settings.deadline), now)
{
}

std::vector<Probe> ProbeScheduler::tick(const ProbeView &view, Instant now)
{
    eraseRemovedServers(view);
    m_assignment.setEntries(view.liveEntries);
    std::uint32_t slots = 0;
    std::size_t activeServers = 0;
    for (const ProbeTarget &it : view.servers) {
        slots += it.isLeaving ? 0 : it.slots;
        activeServers += it.isLeaving ? 0 : 1;
    }
    setIdleInterval(slots, activeServers);
    m_budget.setShare(slots, static_cast<std::uint32_t>(view.registeredEntries), now);
    struct Due {
        Instant at;
        std::uint64_t weight;
        const ProbeTarget *target;
    };
    std::vector<Due> due;
    for (const ProbeTarget &it : view.servers) {
        if (const auto at = dueAt(it, m_states[it.server], now); at && m_assignment.prober(it.server) == m_self) {
            due.push_back(Due { *at, ProbeAssignment::weight(m_self, it.server), &it });
        }
    }
    std::vector<Probe> probes;
    if (now < m_suppressedUntil) {
        return probes;
    }
    // The server that has been due longest comes first, since otherwise a small budget would never reach the last ones. After a restart
    // of all entries, all servers are due at once for each of them; in the same order, they would all probe the same few.
    std::sort(due.begin(), due.end(), [](const Due &a, const Due &b) {
        return std::tie(a.at, a.weight, a.target->server) < std::tie(b.at, b.weight, b.target->server);
    });
    for (std::size_t n = 0; n < due.size() && m_pending.size() < m_settings.maxPending; ++n) {
        if (!m_budget.reserve(MeasurementKind::Probe, m_settings.deadline, now)) {
            m_counters.suppressed += due.size() - n;
            m_suppressedUntil = now + m_settings.suppressedRetryDelay;
            break;
        }
        send(*due[n].target, probes);
    }
    return probes;
}

void ProbeScheduler::finish(const ProbeResult &result, Instant now)
{
    const auto it = m_pending.find(result.number);
    if (it == m_pending.end()) {
        return;
    }
    m_budget.settle(MeasurementKind::Probe, m_settings.deadline, result.used, now);
    m_counters.spent += result.used;
    m_counters.failed += result.isHealthy ? 0 : 1;
    m_counters.timedOut += result.isTimedOut ? 1 : 0;
    if (const auto state = m_states.find(it->second); state != m_states.end()) {
        state->second.last = ProbeStatus { now, result.isHealthy };
        state->second.isPending = false;
    }
    m_pending.erase(it);
}

const ProbeCounters &ProbeScheduler::counters() const
{
    return m_counters;
}

const MeasuringBudget &ProbeScheduler::budget() const
{
    return m_budget;
}

void ProbeScheduler::eraseRemovedServers(const ProbeView &view)
{
    std::set<ServerId> known;
    for (const ProbeTarget &it : view.servers) {
        known.insert(it.server);
    }
    std::erase_if(m_states, [&known](const auto &it) { return !known.contains(it.first); });
}

// Returns the time since which the server is due for a probe; nullopt when it is not due.
std::optional<Instant> ProbeScheduler::dueAt(const ProbeTarget &target, State &state, Instant now) const
{
    std::optional<ProbeStatus> last = state.last;
    if (target.shared && (!last || target.shared->at > last->at)) {
        last = target.shared;
    }
    // An avoided server counts as unhealthy even after a successful probe: its calls fail although its probes do not, and a
    // successful probe each second would direct a call to it each second.
    const bool isUnhealthy = target.isAvoided || (last && !last->isHealthy);
    if (!isUnhealthy) {
        state.unhealthyInterval = Duration::zero();
    } else if (state.unhealthyInterval == Duration::zero()) {
        state.unhealthyInterval = m_settings.initialUnhealthyInterval;
    }
    if (target.isLeaving || state.isPending) {
        return std::nullopt;
    }
    Instant due = Instant::min();
    if (last) {
        due = last->at + (isUnhealthy ? state.unhealthyInterval : m_idleInterval);
    }
    if (target.lastContactAt != Instant::min()) {
        due = std::max(due, target.lastContactAt + m_settings.passiveWindow);
    }
    return due <= now ? std::optional(due) : std::nullopt;
}

void ProbeScheduler::setIdleInterval(std::uint32_t slots, std::size_t servers)
{
    const double budget = servers == 0 ? 0 : m_budgetPermille * slots / static_cast<double>(servers);
    const double maxFactor = std::chrono::duration<double>(m_settings.maxIdleInterval) / m_settings.idleInterval;
    const double factor = budget * maxFactor <= ReferenceBudget ? maxFactor : std::max(1.0, ReferenceBudget / budget);
    m_idleInterval = std::chrono::duration_cast<Duration>(m_settings.idleInterval * factor);
}

void ProbeScheduler::send(const ProbeTarget &target, std::vector<Probe> &probes)
{
    State &state = m_states[target.server];
    state.isPending = true;
    state.unhealthyInterval = std::min(2 * state.unhealthyInterval, m_settings.maxUnhealthyInterval);
    ++m_counters.sent;
    ++m_lastNumber;
    m_pending.emplace(m_lastNumber, target.server);
    probes.push_back(Probe { m_lastNumber, target.server, m_settings.deadline });
}

}
