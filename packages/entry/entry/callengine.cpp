#include "entry/callengine.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Galenabarrow::Entry
{

namespace
{
using namespace std::chrono_literals;

constexpr AttemptId NoAttempt;
constexpr std::uint16_t FirstServerError = 500;
constexpr std::uint8_t MaxRetries = 3;
/// Delay before a hedge as a multiple of the mean answer time. About 2 in 1,000 exponentially distributed answers take longer.
constexpr int HedgeDelayFactor = 6;
/// As HedgeDelayFactor, for an attempt at a straggler, whose answer is expected to be slow.
constexpr int StragglerHedgeDelayFactor = 2;
constexpr Duration MinHedgeDelay = 1ms;
/// No hedges above this utilization, where a hedge would occupy a slot that a queued call of this or another entry needs.
/// Attempts at stragglers are hedged at any utilization.
constexpr double MaxHedgeUtilization = 0.85;

}

struct CallEngine::ServiceState {
    ServiceId id;
    DeadlineQueue queue;
    RetryBudget retries;
    HedgeBudget hedges;
    RefusalBudget refusals;
    WaitExchange waits;
    std::unique_ptr<RoutingStrategy> strategy;
};

bool CallEngine::Timer::operator>(const Timer &other) const
{
    return std::tie(at, call) > std::tie(other.at, other.call);
}

CallEngine::CallEngine(EngineConfig config, const ContractView &contracts, AdmissionControl &admission, ActionKeys &keys,
                       const FreshnessView &freshness, RandomSource &random)
    : m_config(std::move(config))
    , m_contracts(contracts)
    , m_admission(admission)
    , m_keys(keys)
    , m_freshness(freshness)
    , m_random(random)
    , m_servers(m_config.dataCentre)
{
    if (!makeRoutingStrategy(m_config.strategy, m_config.costs)) {
        m_config.strategy = DefaultRoutingStrategy;
    }
}

CallEngine::~CallEngine() = default;

void CallEngine::upsertServer(const ServerRecord &record, Instant now)
{
    const RowIndex row = m_servers.upsert(record, now);
    m_servers.blockUntil(row, m_resets.blockedUntil(record.server));
}

void CallEngine::removeServer(const ServerId &server)
{
    m_servers.remove(server);
}

bool CallEngine::recordProbe(const ServerId &server, bool isHealthy, Instant at)
{
    return m_servers.recordProbe(server, isHealthy, at);
}

void CallEngine::rejectBeyond(Instant end)
{
    m_lastDeadline = end;
}

void CallEngine::stopAccepting()
{
    m_isStopping = true;
}

std::size_t CallEngine::callCount() const
{
    return m_calls.size();
}

std::size_t CallEngine::waitingCount() const
{
    std::size_t count = 0;
    for (const auto &[id, service] : m_services) {
        count += service->queue.size();
    }
    return count;
}

const EngineCounters &CallEngine::counters() const
{
    return m_counters;
}

const ServerTable &CallEngine::servers() const
{
    return m_servers;
}

CallEngine::ServiceState &CallEngine::serviceState(const ServiceId &service)
{
    std::unique_ptr<ServiceState> &state = m_services[service];
    if (!state) {
        state = std::make_unique<ServiceState>();
        state->id = service;
        state->strategy = makeRoutingStrategy(m_config.strategy, m_config.costs);
    }
    return *state;
}

std::optional<ResultCode> CallEngine::refusalBeforeAdmission(const CallRequest &request, Instant now) const
{
    if (m_isStopping || (m_lastDeadline && request.deadline > *m_lastDeadline)) {
        return ResultCode::EntryStopping;
    }
    if (m_freshness.isFenced(now)) {
        return ResultCode::EntryFenced;
    }
    if (request.deadline <= now) {
        return ResultCode::DeadlineExpired;
    }
    return std::nullopt;
}

void CallEngine::refuse(CallId id, const CallRequest &request, ResultCode code, Instant now, Effects &effects)
{
    if (request.actionKey) {
        m_keys.finish(*request.actionKey, Outcome::NotRun, now);
    }
    effects.emplace_back(FinishCall { id, Outcome::NotRun, code, NoAttempt });
}

CallId CallEngine::submit(const CallRequest &request, Instant now, Effects &effects)
{
    m_lastCall = next(m_lastCall);
    const CallId id = m_lastCall;
    // The key is checked first, so that no later check answers "not run" to a resend of an action that is in progress.
    if (request.actionKey) {
        if (const auto begun = m_keys.begin(*request.actionKey, now); !begun) {
            effects.emplace_back(FinishCall { id, begun.error().outcome, begun.error().code, NoAttempt });
            return id;
        }
    }
    if (const auto code = refusalBeforeAdmission(request, now)) {
        refuse(id, request, *code, now, effects);
        return id;
    }
    const auto terms = m_contracts.terms(request.customer, request.service);
    if (!terms) {
        refuse(id, request, terms.error(), now, effects);
        return id;
    }
    if (!m_servers.hasServer(request.service)) {
        refuse(id, request, ResultCode::NoServer, now, effects);
        return id;
    }
    ServiceState &service = serviceState(request.service);
    if (service.queue.size() >= m_config.queueLimit) {
        refuse(id, request, ResultCode::QueueFull, now, effects);
        return id;
    }
    const auto admission = m_admission.admit(request.customer, now);
    if (admission) {
        callAdmitted(addCall(id, request, *terms, service, now), now, effects);
        return id;
    }
    const auto until = m_admission.shareExpectedUntil(request.customer, now);
    if (!until || m_waitingForShare.size() >= m_config.queueLimit) {
        refuse(id, request, admission.error(), now, effects);
        return id;
    }
    waitForShare(addCall(id, request, *terms, service, now), admission.error(), *until);
    return id;
}

CallEngine::CallMap::iterator CallEngine::addCall(CallId id, const CallRequest &request, const CallTerms &terms, ServiceState &service,
                                                  Instant now)
{
    const auto it = m_calls.emplace(id, Call {}).first;
    Call &call = it->second;
    call.request = request;
    call.terms = terms;
    call.service = &service;
    call.submittedAt = now;
    if (terms.maxDeadline > Duration::zero()) {
        call.request.deadline = std::min(request.deadline, now + terms.maxDeadline);
    }
    m_timers.push(Timer { call.request.deadline, id, TimerKind::Deadline });
    return it;
}

void CallEngine::waitForShare(CallMap::iterator it, ResultCode refusal, Instant until)
{
    it->second.admissionRefusal = refusal;
    m_waitingForShare.push_back(it->first);
    m_timers.push(Timer { until, it->first, TimerKind::Admission });
    ++m_counters.shareWaits;
}

void CallEngine::admitWaitingCalls(Instant now, Effects &effects)
{
    std::deque<CallId> waiting;
    waiting.swap(m_waitingForShare);
    for (const CallId &id : waiting) {
        const auto it = m_calls.find(id);
        if (it == m_calls.end()) {
            continue;
        }
        if (m_admission.admitWaiting(it->second.request.customer, now)) {
            callAdmitted(it, now, effects);
        } else {
            m_waitingForShare.push_back(id);
        }
    }
}

void CallEngine::dropEndedShareWaits()
{
    const auto hasEnded = [this](CallId id) {
        const auto it = m_calls.find(id);
        return it == m_calls.end() || it->second.isAdmitted;
    };
    while (!m_waitingForShare.empty() && hasEnded(m_waitingForShare.front())) {
        m_waitingForShare.pop_front();
    }
}

void CallEngine::callAdmitted(CallMap::iterator it, Instant now, Effects &effects)
{
    Call &call = it->second;
    ServiceState &service = *call.service;
    call.isAdmitted = true;
    service.refusals.deposit(m_config.refusalPermille);
    enqueue(it->first, call);
    dispatchQueued(service, now, effects);
}

void CallEngine::enqueue(CallId id, Call &call)
{
    call.isWaiting = true;
    call.service->queue.push(call.request.customer, call.request.deadline, id);
}

void CallEngine::dispatchQueued(ServiceState &service, Instant now, Effects &effects)
{
    while (!service.queue.empty() && dispatchNextQueued(service, now, effects)) { }
}

bool CallEngine::dispatchNextQueued(ServiceState &service, Instant now, Effects &effects)
{
    if (m_freshness.isFenced(now)) {
        finishAllWaiting(service, ResultCode::EntryFenced, now, effects);
        return false;
    }
    if (!m_servers.hasServer(service.id)) {
        finishAllWaiting(service, ResultCode::NoServer, now, effects);
        return false;
    }
    m_servers.collectAvailable(service.id, std::nullopt, now, m_candidates, backoffFactor(service, now));
    if (m_candidates.empty()) {
        return false;
    }
    const CallId id = *service.queue.pop();
    const auto it = m_calls.find(id);
    assert(it != m_calls.end());
    it->second.isWaiting = false;
    // The process may have been suspended since the call was queued, so that its deadline timer has not run yet.
    if (it->second.request.deadline <= now) {
        service.queue.undoServed(it->second.request.customer);
        giveUp(it, ResultCode::DeadlineExpired, now, effects);
        return true;
    }
    const RowIndex row = service.strategy->choose({ m_servers, service.id, m_candidates, m_random, now });
    dispatch(id, it->second, row, false, now, effects);
    return true;
}

double CallEngine::backoffFactor(ServiceState &service, Instant now) const
{
    const std::optional<Duration> medianWait = service.waits.medianWait(m_servers.averages(service.id).latency, now);
    const std::optional<CallId> earliestCall = medianWait ? service.queue.earliest() : std::nullopt;
    return earliestCall ? WaitExchange::backoffFactor(*medianWait, now - m_calls.at(*earliestCall).submittedAt) : 1;
}

std::vector<WaitReport> CallEngine::collectWaitReports(Instant now)
{
    std::vector<WaitReport> reports;
    if (!m_config.exchangesWaits || now < m_nextWaitReports) {
        return reports;
    }
    for (const auto &[id, service] : m_services) {
        if (const auto wait = service->waits.dueReport(m_servers.averages(id).latency, now)) {
            reports.push_back({ id, *wait });
        }
    }
    if (!reports.empty()) {
        m_nextWaitReports = now + WaitExchange::ReportInterval;
    }
    return reports;
}

void CallEngine::receiveWaitReports(const InstanceId &sender, const std::vector<WaitReport> &reports, Instant now)
{
    if (!m_config.exchangesWaits) {
        return;
    }
    for (const WaitReport &it : reports) {
        // Without calls to a service there is nothing to back off from, and a faulty report must not allocate state.
        if (const auto service = m_services.find(it.service); service != m_services.end()) {
            service->second->waits.receive(sender, it.wait, now);
        }
    }
}

void CallEngine::finishAllWaiting(ServiceState &service, ResultCode code, Instant now, Effects &effects)
{
    while (const auto id = service.queue.pop()) {
        const auto it = m_calls.find(*id);
        it->second.isWaiting = false;
        giveUp(it, code, now, effects);
    }
}

void CallEngine::dispatch(CallId id, Call &call, RowIndex row, bool isHedge, Instant now, Effects &effects)
{
    const auto unused = std::find(call.inFlight.begin(), call.inFlight.end(), NoAttempt);
    assert(unused != call.inFlight.end());
    assert(call.request.idempotent || (!call.mayHaveRun && call.inFlight[0] == NoAttempt));
    m_lastAttempt = next(m_lastAttempt);
    *unused = m_lastAttempt;
    m_attempts.emplace(m_lastAttempt, Attempt { id, row, isHedge, now - call.submittedAt });
    m_servers.attemptSent(row, now);
    if (!call.wasDispatched) {
        call.wasDispatched = true;
        ++m_counters.firstAttempts;
        call.service->retries.deposit(call.terms.retryPermille);
        call.service->hedges.deposit(call.terms.hedgePermille);
    }
    const std::uint8_t number = isHedge ? static_cast<std::uint8_t>(call.retries + 1) : call.retries;
    effects.emplace_back(DispatchAttempt { id, m_lastAttempt, m_servers.row(row).record.server, call.request.deadline, number, isHedge });
    if (!isHedge) {
        const Duration latency = m_servers.averages(call.service->id).latency;
        const int factor = m_servers.row(row).isStraggler ? StragglerHedgeDelayFactor : HedgeDelayFactor;
        armHedge(id, call, std::max(MinHedgeDelay, latency * factor), now);
    }
}

void CallEngine::armHedge(CallId id, const Call &call, Duration delay, Instant now)
{
    const bool isHedgeable = call.request.idempotent && !call.request.isRetryUpstream && call.terms.hedgePermille > 0;
    if (isHedgeable && now + delay < call.request.deadline) {
        m_timers.push(Timer { now + delay, id, TimerKind::Hedge });
    }
}

void CallEngine::hedge(CallId id, Call &call, Instant now, Effects &effects)
{
    const auto inFlight = std::count_if(call.inFlight.begin(), call.inFlight.end(), [](AttemptId it) { return it != NoAttempt; });
    if (inFlight != 1 || call.isAbandoned || m_freshness.isFenced(now) || call.request.deadline <= now) {
        return;
    }
    const AttemptId first = call.inFlight[0] != NoAttempt ? call.inFlight[0] : call.inFlight[1];
    const RowIndex firstRow = m_attempts.at(first).row;
    // Queued calls take precedence: a hedge may only use a slot that no other call needs.
    const bool isBusy = m_servers.averages(call.service->id).utilization > MaxHedgeUtilization;
    if (!call.service->queue.empty() || (isBusy && !m_servers.row(firstRow).isStraggler)) {
        return;
    }
    m_servers.collectAvailable(call.service->id, firstRow, now, m_candidates);
    if (m_candidates.empty() || !call.service->hedges.tryWithdraw()) {
        return;
    }
    ++m_counters.hedges;
    const RowIndex row = call.service->strategy->choose({ m_servers, call.service->id, m_candidates, m_random, now });
    dispatch(id, call, row, true, now, effects);
}

void CallEngine::report(const AttemptReport &report, Instant now, Effects &effects)
{
    const auto found = m_attempts.find(report.attempt);
    if (found == m_attempts.end()) {
        return;
    }
    const Attempt attempt = found->second;
    m_attempts.erase(found);
    if (report.resetAt && *report.resetAt > now) {
        const ServerId &server = m_servers.row(attempt.row).record.server;
        m_resets.block(server, *report.resetAt, now);
        m_servers.blockUntil(attempt.row, m_resets.blockedUntil(server));
    }
    const ServiceId service = m_servers.row(attempt.row).record.service;
    const auto it = m_calls.find(attempt.call);
    RefusalContext refusal;
    // The wait shortens the backoff only once: with reports of other entries, backoffFactor() accounts for it instead.
    // Applying both caused twice as many refusals.
    const bool hasMedianWait = serviceState(service).waits.medianWait(m_servers.averages(service).latency, now).has_value();
    refusal.waited = it == m_calls.end() || hasMedianWait ? Duration::zero() : now - it->second.submittedAt;
    const bool isLimited = m_config.refusalPermille > 0 && report.end == AttemptEnd::RefusedByServer;
    refusal.isOverBudget = isLimited && !serviceState(service).refusals.tryWithdraw();
    m_servers.attemptEnded(attempt.row, report, refusal, now);
    if (report.end == AttemptEnd::Answered && !attempt.isHedge) {
        serviceState(service).waits.recordAnswer(attempt.waited);
    }
    if (it != m_calls.end()) {
        std::replace(it->second.inFlight.begin(), it->second.inFlight.end(), report.attempt, NoAttempt);
        attemptEnded(it, attempt, report, now, effects);
    }
    dispatchQueued(serviceState(service), now, effects);
}

void CallEngine::attemptEnded(CallMap::iterator it, const Attempt &attempt, const AttemptReport &report, Instant now, Effects &effects)
{
    Call &call = it->second;
    const bool isAnswer = report.end == AttemptEnd::Answered;
    const bool isServerError = isAnswer && report.httpStatus >= FirstServerError;
    if (isAnswer && (!isServerError || !call.request.idempotent)) {
        finish(it, Outcome::Answered, ResultCode::Ok, report.attempt, now, effects);
        return;
    }
    if (isServerError) {
        call.serverErrorAttempt = report.attempt;
    }
    if (!provesNotRun(report.end)) {
        call.mayHaveRun = true;
        call.unknownCode = isAnswer ? ResultCode::OutcomeUnknown : codeOf(report.end);
    }
    if (attempt.isHedge && report.end == AttemptEnd::RefusedByServer) {
        call.service->hedges.refund();
        --m_counters.hedges;
    }
    const bool hasOther = std::any_of(call.inFlight.begin(), call.inFlight.end(), [](AttemptId id) { return id != NoAttempt; });
    if (hasOther) {
        if (attempt.isHedge && report.end == AttemptEnd::RefusedByServer) {
            armHedge(it->first, call, MinHedgeDelay, now);
        }
        return;
    }
    if (report.end == AttemptEnd::RefusedByServer) {
        requeueRefused(it, now, effects);
    } else {
        retryOrGiveUp(it, codeOf(report.end), now, effects);
    }
}

void CallEngine::requeueRefused(CallMap::iterator it, Instant now, Effects &effects)
{
    Call &call = it->second;
    const bool maySend = call.request.idempotent || !call.mayHaveRun;
    if (!maySend || call.isAbandoned) {
        giveUp(it, ResultCode::RefusedByServer, now, effects);
        return;
    }
    ++m_counters.placements;
    call.service->queue.undoServed(call.request.customer);
    enqueue(it->first, call);
}

void CallEngine::retryOrGiveUp(CallMap::iterator it, ResultCode code, Instant now, Effects &effects)
{
    Call &call = it->second;
    const bool maySend = call.request.idempotent || !call.mayHaveRun;
    const bool isAllowed = maySend && !call.isAbandoned && !call.request.isRetryUpstream && call.retries < MaxRetries;
    if (!isAllowed || call.request.deadline <= now || !call.service->retries.tryWithdraw()) {
        giveUp(it, code, now, effects);
        return;
    }
    ++call.retries;
    ++m_counters.retries;
    enqueue(it->first, call);
}

void CallEngine::giveUp(CallMap::iterator it, ResultCode code, Instant now, Effects &effects)
{
    const Call &call = it->second;
    const bool isInFlight = std::any_of(call.inFlight.begin(), call.inFlight.end(), [](AttemptId id) { return id != NoAttempt; });
    if (call.serverErrorAttempt) {
        finish(it, Outcome::Answered, ResultCode::Ok, *call.serverErrorAttempt, now, effects);
    } else if (isInFlight) {
        finish(it, Outcome::Unknown, code == ResultCode::DeadlineExpired ? ResultCode::AttemptTimedOut : ResultCode::OutcomeUnknown,
               NoAttempt, now, effects);
    } else if (call.mayHaveRun) {
        finish(it, Outcome::Unknown, call.unknownCode, NoAttempt, now, effects);
    } else {
        finish(it, Outcome::NotRun, code, NoAttempt, now, effects);
    }
}

void CallEngine::finish(CallMap::iterator it, Outcome outcome, ResultCode code, AttemptId winner, Instant now, Effects &effects)
{
    Call &call = it->second;
    for (const AttemptId attempt : call.inFlight) {
        if (attempt != NoAttempt) {
            ++m_counters.cancels;
            effects.emplace_back(CancelAttempt { attempt });
        }
    }
    if (call.isWaiting) {
        call.service->queue.remove(call.request.customer, call.request.deadline, it->first);
    }
    if (call.isAdmitted) {
        m_admission.release(call.request.customer, now);
    }
    if (call.request.actionKey) {
        m_keys.finish(*call.request.actionKey, outcome, now);
    }
    effects.emplace_back(FinishCall { it->first, outcome, code, winner });
    m_calls.erase(it);
}

void CallEngine::abandon(CallId id, Instant now, Effects &effects)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end()) {
        return;
    }
    it->second.isAbandoned = true;
    if (it->second.request.idempotent || it->second.isWaiting || !it->second.isAdmitted) {
        ServiceState &service = *it->second.service;
        giveUp(it, ResultCode::NotSent, now, effects);
        dispatchQueued(service, now, effects);
    }
}

void CallEngine::tick(Instant now, Effects &effects)
{
    while (!m_timers.empty() && m_timers.top().at <= now) {
        const Timer timer = m_timers.top();
        m_timers.pop();
        const auto it = m_calls.find(timer.call);
        if (it == m_calls.end()) {
            continue;
        }
        timerFired(timer.kind, it, now, effects);
    }
    m_servers.tick(now);
    m_resets.prune(now);
    for (const auto &[id, service] : m_services) {
        dispatchQueued(*service, now, effects);
    }
}

void CallEngine::timerFired(TimerKind kind, CallMap::iterator it, Instant now, Effects &effects)
{
    switch (kind) {
    case TimerKind::Deadline:
        giveUp(it, ResultCode::DeadlineExpired, now, effects);
        return;
    case TimerKind::Hedge:
        hedge(it->first, it->second, now, effects);
        return;
    case TimerKind::Admission:
        if (!it->second.isAdmitted) {
            giveUp(it, it->second.admissionRefusal, now, effects);
        }
        dropEndedShareWaits();
        return;
    }
}

void CallEngine::dropEndedTimers()
{
    while (!m_timers.empty() && !m_calls.contains(m_timers.top().call)) {
        m_timers.pop();
    }
}

std::optional<Instant> CallEngine::nextWakeUp(Instant now) const
{
    std::optional<Instant> wake;
    if (!m_timers.empty()) {
        wake = m_timers.top().at;
    }
    for (const auto &[id, service] : m_services) {
        if (service->queue.empty()) {
            continue;
        }
        const auto availableAt = m_servers.nextAvailable(id, now, backoffFactor(*service, now));
        if (availableAt && (!wake || *availableAt < *wake)) {
            wake = availableAt;
        }
    }
    return wake;
}

}
