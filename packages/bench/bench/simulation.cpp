#include "bench/simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Galenabarrow::Bench
{

using namespace Entry;

namespace
{
constexpr Duration TickInterval = 10ms;
constexpr Duration MinReportInterval = 5ms;
constexpr std::uint16_t ServerError = 500;
constexpr std::uint32_t ParentSeedOffset = 1000;

DataCentreId dataCentreOf(std::uint32_t index)
{
    return DataCentreId("dc" + std::to_string(index % DataCentreCount));
}

ServiceId serviceName(std::uint32_t service)
{
    return ServiceId("s" + std::to_string(service));
}
}

bool Simulation::Event::operator>(const Event &other) const
{
    return std::tie(at, order) > std::tie(other.at, other.order);
}

Simulation::Simulation(const Scenario &scenario, const std::vector<PlannedCall> &calls, SimulationHooks *hooks)
    : m_scenario(scenario)
    , m_planned(calls)
    , m_hooks(hooks)
    , m_random(scenario.seed + ParentSeedOffset)
{
    m_result.callsAt.resize(scenario.deployment.services.size());
    m_result.attemptsAt.resize(scenario.deployment.services.size());
    makeServers();
    makeEntries();
    scheduleFaults();
    scheduleReports();
    scheduleTicks();
}

void Simulation::makeServers()
{
    for (std::uint32_t service = 0; service < m_scenario.deployment.services.size(); ++service) {
        const ServicePlan &plan = m_scenario.deployment.services[service];
        for (std::uint32_t n = 0; n < plan.servers; ++n) {
            Server server;
            server.record.server = ServerId("s" + std::to_string(service) + "-" + std::to_string(n));
            server.record.service = serviceName(service);
            server.record.dataCentre = dataCentreOf(n);
            server.record.incarnation = Incarnation(1);
            server.record.slots = plan.slots;
            server.service = service;
            server.dataCentre = n % DataCentreCount;
            server.isFaulty = n < faultyServers(m_scenario.fault);
            server.alwaysFails = n < static_cast<std::uint32_t>(std::lround(m_scenario.failingServers * plan.servers));
            m_serverIndex[server.record.server] = static_cast<std::uint32_t>(m_servers.size());
            m_servers.push_back(server);
        }
    }
}

void Simulation::makeEntries()
{
    m_entries.resize(EntryCount);
    for (std::uint32_t n = 0; n < EntryCount; ++n) {
        m_entryRandom.push_back(std::make_unique<SeededRandom>(m_scenario.seed * ParentSeedOffset + n));
        EngineConfig config;
        config.dataCentre = dataCentreOf(n);
        config.strategy = m_scenario.strategy;
        config.costs.refusalPrice = m_scenario.refusalPrice;
        config.refusalPermille = m_scenario.refusalPermille;
        config.exchangesWaits = m_scenario.exchangesWaits;
        AdmissionControl &admission = m_hooks ? m_hooks->admission(n) : m_dependencies;
        m_entries[n].engine =
            std::make_unique<CallEngine>(config, m_dependencies, admission, m_dependencies, m_dependencies, *m_entryRandom[n]);
        for (const Server &server : m_servers) {
            m_entries[n].engine->upsertServer(server.record, Instant {});
        }
    }
}

void Simulation::scheduleFaults()
{
    for (std::uint32_t n = 0; n < m_servers.size(); ++n) {
        if (!m_servers[n].isFaulty) {
            continue;
        }
        const auto change = [this, n](Instant when, bool ServerRecord::*flag, bool value, std::uint64_t incarnation) {
            scheduleAt(when, [this, n, flag, value, incarnation] {
                m_servers[n].record.*flag = value;
                m_servers[n].record.incarnation = Incarnation(incarnation);
                announce(m_servers[n], RecordDelay);
            });
        };
        if (m_scenario.fault == Fault::Drain) {
            change(m_scenario.windowStart(), &ServerRecord::draining, true, 1);
            change(m_scenario.windowEnd(), &ServerRecord::draining, false, 2);
        } else if (m_scenario.fault == Fault::ColdStart) {
            change(m_scenario.windowStart(), &ServerRecord::coldStart, true, 2);
            change(m_scenario.windowStart() + ColdWarmUp, &ServerRecord::coldStart, false, 2);
        }
    }
}

void Simulation::scheduleReports()
{
    const Duration interval = std::max(m_scenario.reportLag, MinReportInterval);
    for (std::uint32_t n = 0; n < m_servers.size(); ++n) {
        const Duration first = interval * n / static_cast<std::int64_t>(m_servers.size());
        for (Instant when = Instant(first); when < Instant(m_scenario.length); when += interval) {
            scheduleAt(when, [this, n] {
                ++m_result.reports;
                announce(m_servers[n], m_scenario.reportLag);
            });
        }
    }
}

void Simulation::scheduleTicks()
{
    for (Instant when {}; when < Instant(m_scenario.length); when += TickInterval) {
        scheduleAt(when, [this] {
            if (m_hooks) {
                m_hooks->tick(m_clock.now());
            }
            for (std::uint32_t n = 0; n < EntryCount; ++n) {
                tick(n);
                sendWaitReports(n);
            }
        });
    }
}

void Simulation::announce(Server &server, Duration age)
{
    const bool isLying = server.isFaulty && m_scenario.fault == Fault::Lying;
    server.record.reportedInFlight = isLying ? 0 : server.running;
    server.record.reportAge = age;
    scheduleAfter(age, [this, record = server.record] {
        for (EntryState &entry : m_entries) {
            entry.engine->upsertServer(record, m_clock.now());
        }
    });
}

void Simulation::scheduleAfter(Duration delay, std::function<void()> run)
{
    scheduleAt(m_clock.now() + delay, std::move(run));
}

void Simulation::scheduleAt(Instant when, std::function<void()> run)
{
    m_events.push(Event { when, ++m_order, std::move(run) });
}

Measurement Simulation::run()
{
    submitNext(0);
    while (!m_events.empty()) {
        const Event event = m_events.top();
        m_events.pop();
        m_clock.advance(event.at - m_clock.now());
        event.run();
    }
    for (const EntryState &entry : m_entries) {
        m_result.hedges += entry.engine->counters().hedges;
        m_result.retries += entry.engine->counters().retries;
    }
    return std::move(m_result);
}

void Simulation::submitNext(std::size_t planned)
{
    if (planned >= m_planned.size()) {
        return;
    }
    scheduleAt(m_planned[planned].at, [this, planned] {
        LiveCall call;
        call.plan = m_planned[planned];
        submit(std::move(call));
        submitNext(planned + 1);
    });
}

void Simulation::submit(LiveCall call)
{
    const std::uint32_t entry = call.plan.entry;
    CallRequest request;
    request.customer = CustomerId("c" + std::to_string(call.plan.customer));
    request.service = serviceName(call.plan.service);
    request.idempotent = call.plan.isIdempotent;
    request.deadline = m_clock.now() + CallDeadline;
    request.depth = call.depth;
    request.isRetryUpstream = call.isRetryUpstream;
    ++m_result.callsAt[call.plan.service];
    const auto index = static_cast<std::uint32_t>(m_calls.size());
    m_calls.push_back(std::move(call));
    std::vector<Effect> effects;
    const CallId id = m_entries[entry].engine->submit(request, m_clock.now(), effects);
    m_entries[entry].calls[id] = index;
    apply(entry, effects);
}

void Simulation::apply(std::uint32_t entry, const std::vector<Effect> &effects)
{
    for (const Effect &effect : effects) {
        std::visit([this, entry](const auto &it) { apply(entry, it); }, effect);
    }
    EntryState &state = m_entries[entry];
    const auto wake = state.engine->nextWakeUp(m_clock.now());
    if (wake && *wake < state.wake) {
        state.wake = std::max(*wake, m_clock.now());
        scheduleAt(state.wake, [this, entry, when = state.wake] {
            if (m_entries[entry].wake == when) {
                tick(entry);
            }
        });
    }
}

void Simulation::tick(std::uint32_t entry)
{
    m_entries[entry].wake = Instant::max();
    std::vector<Effect> effects;
    m_entries[entry].engine->tick(m_clock.now(), effects);
    apply(entry, effects);
}

void Simulation::sendWaitReports(std::uint32_t entry)
{
    const std::vector<WaitReport> reports = m_entries[entry].engine->collectWaitReports(m_clock.now());
    if (reports.empty()) {
        return;
    }
    const InstanceId sender("e" + std::to_string(entry));
    for (std::uint32_t n = 0; n < EntryCount; ++n) {
        if (n == entry) {
            continue;
        }
        ++m_result.messages;
        scheduleAfter(n % DataCentreCount == entry % DataCentreCount ? LocalOneWay : RemoteOneWay,
                      [this, n, sender, reports] { m_entries[n].engine->receiveWaitReports(sender, reports, m_clock.now()); });
    }
}

void Simulation::apply(std::uint32_t entry, const DispatchAttempt &effect)
{
    Job job;
    job.entry = entry;
    job.server = m_serverIndex.at(effect.server);
    job.call = m_entries[entry].calls.at(effect.call);
    job.attempt = effect.attempt;
    job.number = effect.number;
    job.sentAt = m_clock.now();
    const std::size_t index = m_jobs.size();
    m_entries[entry].jobs.resize(effect.attempt.value() + 1);
    m_entries[entry].jobs[effect.attempt.value()] = index;
    m_calls[job.call].jobs.push_back(index);
    scheduleAfter(oneWay(job), [this, index] { handleArrival(index); });
    m_jobs.push_back(job);
}

void Simulation::apply(std::uint32_t entry, const CancelAttempt &effect)
{
    const std::size_t index = m_entries[entry].jobs.at(effect.attempt.value());
    scheduleAfter(oneWay(m_jobs[index]), [this, index] { stopAttempt(index); });
    scheduleAfter(Duration::zero(), [this, index] { reportAttemptEnd(index, AttemptEnd::Cancelled, {}); });
}

void Simulation::apply(std::uint32_t entry, const FinishCall &effect)
{
    const std::uint32_t index = m_entries[entry].calls.at(effect.call);
    const LiveCall &call = m_calls[index];
    const bool isAnswered = effect.outcome == Outcome::Answered;
    const std::size_t winner = isAnswered ? m_entries[entry].jobs.at(effect.winner.value()) : m_jobs.size();
    const bool isSuccess = isAnswered && m_jobs[winner].status < ServerError;
    if (isSuccess) {
        m_result.lostWork -= m_jobs[winner].ran;
    }
    if (call.parent) {
        respond(*call.parent, isSuccess ? 200 : ServerError);
        return;
    }
    if (m_hooks) {
        m_hooks->callFinished(call.plan, effect.code, isSuccess, m_clock.now());
    }
    if (call.plan.at < m_scenario.windowStart() || call.plan.at >= m_scenario.windowEnd()) {
        return;
    }
    ++m_result.calls;
    if (isSuccess) {
        m_result.latencies.push_back(m_clock.now() - call.plan.at);
    } else {
        ++m_result.failures;
    }
}

Duration Simulation::oneWay(const Job &job) const
{
    return m_servers[job.server].dataCentre == job.entry % DataCentreCount ? LocalOneWay : RemoteOneWay;
}

Duration Simulation::workOf(const Job &job)
{
    const Server &server = m_servers[job.server];
    const Duration work = m_calls[job.call].plan.work;
    if (!server.isFaulty || m_clock.now() < m_scenario.windowStart()) {
        return work;
    }
    const auto scaledWork = [work](double factor) {
        return Duration(static_cast<Duration::rep>(static_cast<double>(work.count()) * factor));
    };
    if (m_scenario.fault == Fault::Straggler) {
        return scaledWork(StragglerFactor);
    }
    if (m_scenario.fault == Fault::ColdStart) {
        const double warmUpProgress = std::chrono::duration<double>(m_clock.now() - m_scenario.windowStart()) / ColdWarmUp;
        return scaledWork(1 + (ColdFactor - 1) * std::max(0.0, 1 - warmUpProgress));
    }
    return m_scenario.fault == Fault::FailFast ? FailFastTime : work;
}

void Simulation::handleArrival(std::size_t index)
{
    Job &job = m_jobs[index];
    Server &server = m_servers[job.server];
    if (job.isCancelled) {
        return;
    }
    if (server.record.draining || server.running >= server.record.slots) {
        ++m_result.refusals;
        scheduleAfter(oneWay(job), [this, index] { reportAttemptEnd(index, AttemptEnd::RefusedByServer, {}); });
        return;
    }
    ++server.running;
    ++m_result.attemptsAt[server.service];
    job.isRunning = true;
    job.startedAt = m_clock.now();
    scheduleAfter(workOf(job), [this, index] { handleWorkDone(index); });
}

void Simulation::handleWorkDone(std::size_t index)
{
    const Job &job = m_jobs[index];
    if (!job.isRunning) {
        return;
    }
    const Server &server = m_servers[job.server];
    const bool failsFast = m_scenario.fault == Fault::FailFast && server.isFaulty && m_clock.now() >= m_scenario.windowStart();
    const bool fails = failsFast || server.alwaysFails || (m_scenario.failingCalls > 0 && m_random.unit() < m_scenario.failingCalls);
    const bool hasNext = m_scenario.isChain && server.service + 1 < m_scenario.deployment.services.size();
    if (fails || !hasNext) {
        respond(index, fails ? ServerError : 200);
        return;
    }
    const LiveCall &parent = m_calls[job.call];
    LiveCall child;
    child.plan = parent.plan;
    child.plan.service = server.service + 1;
    child.plan.entry = static_cast<std::uint32_t>(m_random.below(EntryCount));
    child.depth = static_cast<std::uint8_t>(parent.depth + 1);
    child.isRetryUpstream = parent.isRetryUpstream || job.number > 0;
    child.parent = index;
    submit(std::move(child));
}

void Simulation::respond(std::size_t index, std::uint16_t status)
{
    Job &job = m_jobs[index];
    if (!job.isRunning) {
        return;
    }
    Server &server = m_servers[job.server];
    stopAttempt(index);
    job.status = status;
    const bool isLying = server.isFaulty && m_scenario.fault == Fault::Lying;
    const ServerLoad load { isLying ? 0 : server.running, server.record.slots };
    scheduleAfter(oneWay(job), [this, index, load] { reportAttemptEnd(index, AttemptEnd::Answered, load); });
}

void Simulation::stopAttempt(std::size_t index)
{
    Job &job = m_jobs[index];
    if (!job.isRunning) {
        job.isCancelled = true;
        return;
    }
    job.isRunning = false;
    job.ran = m_clock.now() - job.startedAt;
    --m_servers[job.server].running;
    m_result.work += job.ran;
    m_result.lostWork += job.ran;
}

void Simulation::reportAttemptEnd(std::size_t index, AttemptEnd end, ServerLoad load)
{
    const Job &job = m_jobs[index];
    AttemptReport report;
    report.attempt = job.attempt;
    report.end = end;
    report.httpStatus = end == AttemptEnd::Answered ? job.status : 0;
    report.elapsed = m_clock.now() - job.sentAt;
    if (end == AttemptEnd::Answered) {
        report.load = load;
    }
    const std::uint32_t entry = job.entry;
    std::vector<Effect> effects;
    m_entries[entry].engine->report(report, m_clock.now(), effects);
    apply(entry, effects);
}

}
