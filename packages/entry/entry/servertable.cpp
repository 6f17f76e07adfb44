#include "entry/servertable.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Galenabarrow::Entry
{

namespace
{
using namespace std::chrono_literals;

/// Weight of a new value in the moving mean of one server.
constexpr double MeanWeight = 0.2;
/// Weight of a new value in the moving means of a service.
constexpr double ServiceMeanWeight = 0.05;

/// The first failure excludes a server for about one service time, so that a single error has little effect. Each further
/// consecutive failure quadruples the time, so that a server that fails within 0.1 ms does not attract calls.
constexpr Duration FirstPenalty = 20ms;
constexpr Duration MaxPenalty = 5s;
/// How long a server is avoided after a failed probe. Longer than the longest interval between probes of an unhealthy server,
/// and short enough that a wrong result expires soon when the entry that probed has stopped.
constexpr Duration ProbePenalty = 15s;
constexpr int PenaltyGrowthShift = 2;
constexpr std::uint32_t MaxPenaltySteps = 5;

/// Assumed answer time before the first answer.
constexpr Duration AssumedLatency = 20ms;
/// The backoff doubles with each consecutive refusal, up to this many times, but only for servers in other data centres. A
/// refusal in the local data centre costs only 0.2 ms, and a short backoff there keeps free slots idle for the shortest time.
constexpr std::uint32_t MaxRefusalSteps = 3;
/// Factor of the backoff while the budget of refused attempts is used up.
constexpr int OverBudgetFactor = 8;
constexpr Duration MinRefusalBackoff = 300us;

/// A cold server gets a first attempt at once and then one per interval; each answer halves the interval.
constexpr Duration ColdStartInterval = 200ms;
constexpr Duration MinAdmissionInterval = 2ms;

/// A server becomes a straggler above this multiple of the median latency of its service, and stops being one below half of
/// that.
constexpr int StragglerFactor = 4;
constexpr std::uint32_t StragglerMinAnswers = 3;
constexpr std::size_t StragglerMinServers = 3;
constexpr Duration StragglerCheckInterval = 50ms;
constexpr Duration StragglerInitialInterval = 1s;
/// Slow answers double the interval up to this limit, so that the attempts of all entries together do not fill the straggler's
/// slots.
constexpr Duration StragglerMaxInterval = 8s;
constexpr Duration StragglerMinInterval = 100ms;

/// A refusal contradicts the load report of a server when more than this fraction of its slots is free according to the report.
constexpr double ContradictionFraction = 0.67;
constexpr double TrustLoss = 0.25;
constexpr double TrustGain = 0.02;

Duration movingMean(Duration mean, Duration value, double weight)
{
    if (mean == Duration::zero()) {
        return value;
    }
    const double next = static_cast<double>(mean.count()) * (1 - weight) + static_cast<double>(value.count()) * weight;
    return Duration(static_cast<Duration::rep>(next));
}

std::uint32_t slotCount(const ServerRecord &record)
{
    return std::max<std::uint32_t>(record.slots, 1);
}

bool acceptsAttempts(const ServerRow &row)
{
    return !row.isRemoved && !row.record.draining && row.inFlight < slotCount(row.record);
}

Instant availableFrom(const ServerRow &row, double backoffFactor)
{
    Instant refusedUntil = Instant::min();
    if (row.refusedAt) {
        const auto backoff = static_cast<Duration::rep>(static_cast<double>(row.refusalBackoff.count()) * backoffFactor);
        refusedUntil = *row.refusedAt + std::max(MinRefusalBackoff, Duration(backoff));
    }
    return std::max({ refusedUntil, row.blockedUntil, row.admitAfter });
}

bool isFailure(const AttemptReport &report)
{
    constexpr std::uint16_t FirstServerError = 500;
    switch (report.end) {
    case AttemptEnd::Answered:
        return report.httpStatus >= FirstServerError;
    case AttemptEnd::RefusedByServer:
    case AttemptEnd::Cancelled:
        return false;
    case AttemptEnd::ConnectFailed:
    case AttemptEnd::FailedBeforeSend:
    case AttemptEnd::FailedAfterSend:
    case AttemptEnd::TimedOut:
        return true;
    }
    return true;
}

}

ServerTable::ServerTable(DataCentreId localDataCentre)
    : m_localDataCentre(std::move(localDataCentre))
{
}

RowIndex ServerTable::upsert(const ServerRecord &record, Instant now)
{
    const auto known = m_byServer.find(record.server);
    if (known != m_byServer.end() && m_rows[known->second].record.service != record.service) {
        remove(record.server);
    }
    const auto [it, isNew] = m_byServer.try_emplace(record.server, 0);
    if (isNew) {
        if (m_freeRows.empty()) {
            m_freeRows.push_back(static_cast<RowIndex>(m_rows.size()));
            m_rows.emplace_back();
        }
        it->second = m_freeRows.back();
        m_freeRows.pop_back();
        m_rows[it->second] = ServerRow {};
        m_services[record.service].rows.push_back(it->second);
    }
    ServerRow &row = m_rows[it->second];
    const bool hasRestarted = isNew || row.record.incarnation != record.incarnation;
    const bool startsCold = record.coldStart && (hasRestarted || !row.record.coldStart);
    row.record = record;
    row.isLocal = record.dataCentre == m_localDataCentre;
    if (hasRestarted) {
        resetEstimates(row, now);
    }
    if (startsCold) {
        row.admissionInterval = ColdStartInterval;
    }
    updateLoad(row, record, now);
    return it->second;
}

void ServerTable::resetEstimates(ServerRow &row, Instant now)
{
    ServerRow fresh;
    fresh.record = row.record;
    fresh.isLocal = row.isLocal;
    fresh.inFlight = row.inFlight;
    fresh.blockedUntil = row.blockedUntil;
    fresh.admitAfter = now;
    row = std::move(fresh);
}

void ServerTable::updateLoad(ServerRow &row, const ServerRecord &record, Instant now)
{
    const Instant at = now - record.reportAge;
    if (row.load.isKnown && row.load.at >= at) {
        return;
    }
    row.load = LoadSample { static_cast<double>(record.reportedInFlight), at, true };
    row.sentSinceSample = std::min(row.sentSinceSample, row.inFlight);
}

void ServerTable::remove(const ServerId &server)
{
    const auto it = m_byServer.find(server);
    if (it == m_byServer.end()) {
        return;
    }
    const RowIndex index = it->second;
    m_byServer.erase(it);
    std::erase(m_services[m_rows[index].record.service].rows, index);
    m_rows[index].isRemoved = true;
    recycleIfUnused(index);
}

void ServerTable::recycleIfUnused(RowIndex index)
{
    if (m_rows[index].isRemoved && m_rows[index].inFlight == 0) {
        m_freeRows.push_back(index);
    }
}

const ServerRow &ServerTable::row(RowIndex index) const
{
    return m_rows[index];
}

const ServiceAverages &ServerTable::averages(const ServiceId &service) const
{
    static const ServiceAverages None;
    const auto it = m_services.find(service);
    return it == m_services.end() ? None : it->second.averages;
}

const std::vector<RowIndex> &ServerTable::rowsOf(const ServiceId &service) const
{
    static const std::vector<RowIndex> None;
    const auto it = m_services.find(service);
    return it == m_services.end() ? None : it->second.rows;
}

bool ServerTable::hasServer(const ServiceId &service) const
{
    const auto &rows = rowsOf(service);
    return std::any_of(rows.begin(), rows.end(), [this](RowIndex it) { return !m_rows[it].record.draining; });
}

void ServerTable::collectAvailable(const ServiceId &service, std::optional<RowIndex> excluded, Instant now, std::vector<RowIndex> &rows,
                                   double backoffFactor) const
{
    rows.clear();
    const std::vector<RowIndex> &all = rowsOf(service);
    for (const RowIndex it : all) {
        const ServerRow &row = m_rows[it];
        if (row.penaltyUntil <= now && it != excluded && acceptsAttempts(row) && availableFrom(row, backoffFactor) <= now) {
            rows.push_back(it);
        }
    }
    if (!areMostAvoided(all, now)) {
        return;
    }
    for (const RowIndex it : all) {
        if (m_rows[it].penaltyUntil > now && it != excluded && acceptsAttempts(m_rows[it])
            && availableFrom(m_rows[it], backoffFactor) <= now) {
            rows.push_back(it);
        }
    }
}

// When most servers fail, the likely cause is a shared dependency, and concentrating the load on the rest would make it worse.
// Draining servers and those blocked until a reset time are not counted; otherwise a failed probe could exclude the last server
// that accepts attempts.
bool ServerTable::areMostAvoided(const std::vector<RowIndex> &rows, Instant now) const
{
    std::size_t avoided = 0;
    std::size_t eligible = 0;
    for (const RowIndex it : rows) {
        const bool isEligible = !m_rows[it].record.draining && m_rows[it].blockedUntil <= now;
        eligible += isEligible ? 1 : 0;
        avoided += isEligible && m_rows[it].penaltyUntil > now ? 1 : 0;
    }
    return avoided * 2 > eligible;
}

std::optional<Instant> ServerTable::nextAvailable(const ServiceId &service, Instant now, double backoffFactor) const
{
    std::optional<Instant> next;
    const bool ignoresPenalties = areMostAvoided(rowsOf(service), now);
    for (const RowIndex it : rowsOf(service)) {
        const ServerRow &row = m_rows[it];
        if (!acceptsAttempts(row)) {
            continue;
        }
        const Instant availableAt =
            ignoresPenalties ? availableFrom(row, backoffFactor) : std::max(availableFrom(row, backoffFactor), row.penaltyUntil);
        if (availableAt > now && (!next || availableAt < *next)) {
            next = availableAt;
        }
    }
    return next;
}

void ServerTable::attemptSent(RowIndex index, Instant now)
{
    ServerRow &row = m_rows[index];
    ++row.inFlight;
    ++row.sentSinceSample;
    if (row.admissionInterval > Duration::zero()) {
        row.admitAfter = now + row.admissionInterval;
    }
}

void ServerTable::attemptEnded(RowIndex index, const AttemptReport &report, const RefusalContext &refusal, Instant now)
{
    ServerRow &row = m_rows[index];
    assert(row.inFlight > 0);
    --row.inFlight;
    ServiceAverages &averages = m_services[row.record.service].averages;
    if (report.end == AttemptEnd::RefusedByServer) {
        row.lastContactAt = now;
        recordRefusal(row, averages, refusal, now);
    } else if (isFailure(report)) {
        recordFailure(row, now);
    } else if (report.end == AttemptEnd::Answered) {
        recordAnswer(row, averages, report, now);
    }
    // The elapsed time of a cancelled or timed out attempt is a lower bound of the answer time.
    const bool wasAbandoned = report.end == AttemptEnd::Cancelled || report.end == AttemptEnd::TimedOut;
    if (wasAbandoned && report.elapsed > row.latency) {
        recordLatency(row, averages, report.elapsed);
    }
    if (wasAbandoned && row.isStraggler) {
        adjustAdmissionInterval(row, report.elapsed);
    }
    recycleIfUnused(index);
}

void ServerTable::recordAnswer(ServerRow &row, ServiceAverages &averages, const AttemptReport &report, Instant now)
{
    row.lastContactAt = now;
    row.consecutiveFailures = 0;
    row.penaltyUntil = Instant::min();
    // The answer has just freed a slot, so the backoff ends.
    row.consecutiveRefusals = 0;
    row.refusedAt.reset();
    row.reportTrust = std::min(1.0, row.reportTrust + TrustGain);
    recordLatency(row, averages, report.elapsed);
    adjustAdmissionInterval(row, report.elapsed);
    if (!report.load) {
        return;
    }
    row.load = LoadSample { static_cast<double>(report.load->inFlight), now, true };
    row.sentSinceSample = 0;
    const double used = std::min(1.0, row.load.inFlight / slotCount(row.record));
    averages.utilization += ServiceMeanWeight * (used - averages.utilization);
}

void ServerTable::recordLatency(ServerRow &row, ServiceAverages &averages, Duration elapsed)
{
    ++row.answers;
    row.latency = movingMean(row.latency, elapsed, std::max(MeanWeight, 1.0 / row.answers));
    averages.latency = movingMean(averages.latency, elapsed, ServiceMeanWeight);
}

void ServerTable::adjustAdmissionInterval(ServerRow &row, Duration elapsed)
{
    if (row.admissionInterval == Duration::zero()) {
        return;
    }
    if (row.isStraggler) {
        const bool isFaster = elapsed * 2 < row.latency;
        const Duration interval = isFaster ? row.admissionInterval / 2 : row.admissionInterval * 2;
        row.admissionInterval = std::clamp(interval, StragglerMinInterval, StragglerMaxInterval);
        return;
    }
    row.admissionInterval /= 2;
    if (row.admissionInterval < MinAdmissionInterval) {
        row.admissionInterval = Duration::zero();
    }
}

void ServerTable::recordRefusal(ServerRow &row, ServiceAverages &averages, const RefusalContext &refusal, Instant now)
{
    const double slots = slotCount(row.record);
    if (row.load.isKnown && row.load.inFlight + row.sentSinceSample < slots * (1 - ContradictionFraction) + 1) {
        row.reportTrust = std::max(0.0, row.reportTrust - TrustLoss);
    }
    row.load = LoadSample { slots, now, true };
    row.sentSinceSample = 0;
    averages.utilization += ServiceMeanWeight * (1 - averages.utilization);
    // On average a slot becomes free after the mean answer time divided by the number of slots.
    const Duration latency = averages.latency == Duration::zero() ? AssumedLatency : averages.latency;
    const std::uint32_t steps = row.isLocal ? 0 : std::min(row.consecutiveRefusals, MaxRefusalSteps);
    const int overBudget = refusal.isOverBudget ? OverBudgetFactor : 1;
    const Duration backoff = latency / slotCount(row.record) * (1U << steps) * overBudget / 2;
    // A call that has waited long is retried sooner, so that the entries with the longest queues get the free slots.
    const double urgency = std::max(1.0, std::chrono::duration<double>(refusal.waited) / std::chrono::duration<double>(latency));
    row.refusedAt = now;
    row.refusalBackoff = std::max(MinRefusalBackoff, std::chrono::duration_cast<Duration>(backoff / urgency));
    ++row.consecutiveRefusals;
}

void ServerTable::recordFailure(ServerRow &row, Instant now)
{
    const std::uint32_t steps = std::min(row.consecutiveFailures, MaxPenaltySteps);
    const Duration penalty = std::min(MaxPenalty, FirstPenalty * (1U << (steps * PenaltyGrowthShift)));
    row.failedAt = now;
    // The penalty of a failed probe is longer than that of the first failures and must not be shortened.
    row.penaltyUntil = std::max(row.penaltyUntil, now + penalty);
    ++row.consecutiveFailures;
}

void ServerTable::blockUntil(RowIndex index, Instant resetAt)
{
    m_rows[index].blockedUntil = std::max(m_rows[index].blockedUntil, resetAt);
}

bool ServerTable::recordProbe(const ServerId &server, bool isHealthy, Instant at)
{
    const auto it = m_byServer.find(server);
    if (it == m_byServer.end()) {
        return false;
    }
    ServerRow &row = m_rows[it->second];
    if (at <= row.probedAt) {
        return true;
    }
    row.probedAt = at;
    if (!isHealthy && at > row.lastContactAt) {
        row.penaltyUntil = std::max(row.penaltyUntil, at + ProbePenalty);
    } else if (isHealthy && at > row.failedAt) {
        // The failure count is not reset, so that a server whose calls still fail gets a long penalty after the next failure.
        row.penaltyUntil = Instant::min();
    }
    return true;
}

const ServerRow *ServerTable::find(const ServerId &server) const
{
    const auto it = m_byServer.find(server);
    return it == m_byServer.end() ? nullptr : &m_rows[it->second];
}

std::size_t ServerTable::avoidedCount(Instant now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_byServer.begin(), m_byServer.end(), [&](const auto &it) { return m_rows[it.second].penaltyUntil > now; }));
}

void ServerTable::tick(Instant now)
{
    if (now < m_nextStragglerCheck) {
        return;
    }
    m_nextStragglerCheck = now + StragglerCheckInterval;
    for (auto &[id, service] : m_services) {
        detectStragglers(service, now);
    }
}

void ServerTable::detectStragglers(ServiceRows &service, Instant now)
{
    service.latencies.clear();
    for (const RowIndex it : service.rows) {
        if (m_rows[it].answers >= StragglerMinAnswers) {
            service.latencies.push_back(m_rows[it].latency);
        }
    }
    if (service.latencies.size() < StragglerMinServers) {
        return;
    }
    const auto middle = service.latencies.begin() + static_cast<std::ptrdiff_t>(service.latencies.size() / 2);
    std::nth_element(service.latencies.begin(), middle, service.latencies.end());
    const Duration median = *middle;
    for (const RowIndex it : service.rows) {
        ServerRow &row = m_rows[it];
        if (!row.isStraggler && row.answers >= StragglerMinAnswers && row.latency > median * StragglerFactor) {
            row.isStraggler = true;
            row.admissionInterval = StragglerInitialInterval;
            row.admitAfter = now + row.admissionInterval;
        } else if (row.isStraggler && row.latency < median * StragglerFactor / 2) {
            row.isStraggler = false;
            row.admissionInterval = Duration::zero();
            row.admitAfter = now;
        }
    }
}

}
