#include "daemon/probenode.h"

#include <algorithm>
#include <utility>

#include "daemon/httpmessage.h"

namespace Galenabarrow::Daemon
{

namespace
{

constexpr const char *ProbePath = "/galenabarrow/probe";
constexpr std::uint16_t FirstServerError = 500;
constexpr Duration SyncInterval = std::chrono::milliseconds(100);
// The exchange ends early by the deadline divided by this, so that closing the connection is still within the reserved
// time.
constexpr int CloseMarginDivisor = 10;

Measuring::ProbeSettings probeSettings(const Settings::MeasuringSettings &settings)
{
    Measuring::ProbeSettings probes;
    probes.deadline = settings.probeDeadline;
    return probes;
}

Measuring::BudgetSettings budgetSettings(const Settings::MeasuringSettings &settings)
{
    Measuring::BudgetSettings budget;
    budget.budgetPermille = settings.budgetPermille;
    return budget;
}

// A documented refusal counts as healthy, as it does for a call: the server is alive but full.
bool isHealthy(const UpstreamResponse &response)
{
    return response.end == Entry::AttemptEnd::Answered && (response.status < FirstServerError || !response.header(RefusedHeader).empty());
}

}

ProbeNode::ProbeNode(const Settings::MeasuringSettings &settings, ClusterNode &cluster, Entry::CallEngine &engine, std::mutex &lock,
                     WakeUpTimer &wakeUp, const Clock &clock)
    : m_cluster(cluster)
    , m_engine(engine)
    , m_lock(lock)
    , m_wakeUp(wakeUp)
    , m_clock(clock)
    , m_scheduler(probeSettings(settings), budgetSettings(settings), cluster.identity().instance, clock.now())
    , m_upstream(clock)
    , m_worker([this] { runWorker(); })
{
}

ProbeNode::~ProbeNode()
{
    {
        const std::lock_guard lock(m_queueMutex);
        m_isEnding = true;
        if (m_currentExchange) {
            m_currentExchange->cancel();
        }
    }
    m_wake.notify_all();
    m_worker.join();
}

void ProbeNode::sync(bool mayProbe, bool isRegistered, Instant now)
{
    if (now < m_nextSync) {
        return;
    }
    m_nextSync = now + SyncInterval;
    applyResults();
    m_upstream.closeIdle(now);
    if (mayProbe) {
        schedule(isRegistered, now);
    }
}

void ProbeNode::expireOverdue(Instant now)
{
    const std::lock_guard lock(m_queueMutex);
    if (m_currentExchange && now >= m_currentDeadline) {
        m_currentExchange->expire();
        m_currentDeadline = Instant::max(); // expired once; the tick thread must not wake up for it any more
    }
}

Instant ProbeNode::nextExpiry()
{
    const std::lock_guard lock(m_queueMutex);
    return m_currentExchange ? m_currentDeadline : Instant::max();
}

const Measuring::ProbeScheduler &ProbeNode::scheduler() const
{
    return m_scheduler;
}

void ProbeNode::applyResults()
{
    if (m_cluster.members().changes() == m_seenChanges) {
        return;
    }
    m_seenChanges = m_cluster.members().changes();
    std::map<ServerId, SequenceNumber> applied;
    for (const Membership::Record *it : m_cluster.members().live(Membership::RecordKind::Probe)) {
        const ServerId server(it->key.id);
        const SequenceNumber sequence = std::max(it->sequence, it->loadSequence);
        const auto known = m_appliedResults.find(server);
        const bool isNew = known == m_appliedResults.end() || known->second != sequence;
        // A result for a server that the engine does not know yet is not recorded here, so that it is applied once the
        // server is known.
        if (!isNew || m_engine.recordProbe(server, std::get<Membership::ProbeInfo>(it->body).healthy, it->lastContactAt)) {
            applied.emplace(server, sequence);
        }
    }
    m_appliedResults = std::move(applied);
}

Measuring::ProbeView ProbeNode::view(bool isRegistered, Instant now) const
{
    Measuring::ProbeView view;
    for (const Membership::Record *it : m_cluster.members().live(Membership::RecordKind::Server)) {
        Measuring::ProbeTarget target;
        target.server = ServerId(it->key.id);
        target.slots = std::get<Membership::ServerInfo>(it->body).slots;
        target.isLeaving = it->leaving;
        if (const Entry::ServerRow *row = m_engine.servers().find(target.server)) {
            target.lastContactAt = row->lastContactAt;
            target.isAvoided = row->penaltyUntil > now;
        }
        if (const Membership::Record *probe = m_cluster.members().find({ Membership::RecordKind::Probe, it->key.id })) {
            target.shared = Measuring::ProbeStatus { probe->lastContactAt, std::get<Membership::ProbeInfo>(probe->body).healthy };
        }
        view.servers.push_back(std::move(target));
    }
    for (const Membership::Record *it : m_cluster.members().live(Membership::RecordKind::Instance)) {
        if (!it->leaving && (std::get<Membership::InstanceInfo>(it->body).roles & Membership::EntryRole) != 0) {
            view.liveEntries.emplace_back(it->key.id);
        }
    }
    view.registeredEntries = isRegistered ? m_cluster.feed().registeredEntries().size() : 0;
    return view;
}

void ProbeNode::schedule(bool isRegistered, Instant now)
{
    const std::vector<Measuring::Probe> probes = m_scheduler.tick(view(isRegistered, now), now);
    if (probes.empty()) {
        return;
    }
    {
        // Bounded by the number of probes that the scheduler leaves pending.
        const std::lock_guard lock(m_queueMutex);
        for (const Measuring::Probe &it : probes) {
            const Membership::Record *record = m_cluster.members().find({ Membership::RecordKind::Server, it.server.value() });
            m_queue.push_back(Job { it, std::get<Membership::ServerInfo>(record->body).address });
        }
    }
    m_wake.notify_all();
}

void ProbeNode::runWorker()
{
    std::unique_lock lock(m_queueMutex);
    while (true) {
        m_wake.wait(lock, [this] { return m_isEnding || !m_queue.empty(); });
        if (m_isEnding) {
            return;
        }
        const Job job = std::move(m_queue.front());
        m_queue.pop_front();
        lock.unlock();
        run(job);
        lock.lock();
    }
}

void ProbeNode::run(const Job &job)
{
    const auto handle = std::make_shared<ExchangeHandle>();
    const Instant start = m_clock.now();
    const Duration time = job.probe.deadline - job.probe.deadline / CloseMarginDivisor;
    // Like an action, a probe is sent only over a connection that was idle for a short time: a server that closes an idle one
    // just as the probe is sent would be avoided by every entry.
    UpstreamRequest request { job.address, "GET", ProbePath, {}, {}, start + time, true };
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    request.headers.emplace_back(DeadlineHeader, std::to_string(std::max<std::int64_t>(left, 1)));
    {
        const std::lock_guard lock(m_queueMutex);
        if (m_isEnding) {
            return;
        }
        m_currentExchange = handle;
        m_currentDeadline = request.deadline;
    }
    m_wakeUp.wakeBy(request.deadline);
    const UpstreamResponse response = m_upstream.exchange(request, *handle);
    {
        const std::lock_guard lock(m_queueMutex);
        m_currentExchange.reset();
        if (m_isEnding) {
            return;
        }
    }
    const Instant end = m_clock.now();
    Measuring::ProbeResult result { job.probe.number, end - start, isHealthy(response), false };
    result.isTimedOut = response.end == Entry::AttemptEnd::TimedOut || result.used > job.probe.deadline;
    result.isHealthy = result.isHealthy && !result.isTimedOut;
    publish(job.probe, result, end);
}

void ProbeNode::publish(const Measuring::Probe &probe, const Measuring::ProbeResult &result, Instant now)
{
    const std::lock_guard lock(m_lock);
    m_scheduler.finish(result, now);
    const Membership::Record *server = m_cluster.members().find({ Membership::RecordKind::Server, probe.server.value() });
    if (server == nullptr || server->leaving) {
        return;
    }
    m_cluster.gossip().publishProbe(probe.server, result.isHealthy, result.used, now);
    m_cluster.flush(now);
    m_nextSync = now;
}

}
