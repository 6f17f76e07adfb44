#include "daemon/callrunner.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include <sys/socket.h>

#include <Poco/Exception.h>

namespace Galenabarrow::Daemon
{

namespace
{

constexpr std::size_t WorkerCount = 8;
// Receive timeouts normally end an attempt at its deadline. The tick expires an attempt this long after its deadline, for
// responses that arrive in small pieces, so that no receive times out.
constexpr Duration ExpiryGrace = std::chrono::milliseconds(20);
// While calls wait, the engine is ticked at least this often. This was needed when nextWakeUp() did not cover avoided
// servers, which are used when most servers fail; it covers them now.
constexpr Duration WaitingTickInterval = std::chrono::milliseconds(1);
constexpr Duration CancellationTimeout = std::chrono::milliseconds(200);
// No further cancellations are queued while this many jobs are waiting; servers do not depend on cancellations.
constexpr std::size_t MaxQueuedJobs = 256;

std::int64_t unixSeconds()
{
    return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

bool hasClosed(const Poco::Net::StreamSocket &socket)
{
    char buf = 0;
    return ::recv(socket.impl()->sockfd(), &buf, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

std::uint64_t millisecondsLeft(Instant deadline, Instant now)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now).count();
    return left > 0 ? static_cast<std::uint64_t>(left) : 0;
}

}

CallRunner::CallRunner(Entry::CallEngine &engine, const Entry::FreshnessView &freshness, std::mutex &lock, UpstreamClient &client,
                       AddressOf addressOf, std::string scope, WakeUpTimer &wakeUp, const Clock &clock)
    : m_engine(engine)
    , m_freshness(freshness)
    , m_lock(lock)
    , m_client(client)
    , m_addressOf(std::move(addressOf))
    , m_scope(std::move(scope))
    , m_wakeUp(wakeUp)
    , m_clock(clock)
{
    for (std::size_t n = 0; n < WorkerCount; ++n) {
        m_workers.emplace_back([this] { runWorker(); });
    }
}

CallRunner::~CallRunner()
{
    stop();
}

CallEnd CallRunner::run(const Entry::CallRequest &request, CallContent content, const Poco::Net::StreamSocket &caller)
{
    const auto call = std::make_shared<Call>();
    call->content = std::move(content);
    call->caller = caller;
    std::vector<Entry::Effect> effects;
    std::unique_lock lock(m_lock);
    const Instant now = m_clock.now();
    const CallId id = m_engine.submit(request, now, effects);
    m_calls[id] = call;
    apply(effects);
    const Instant next = nextEngineTick(now);
    // Wakes the tick thread without the lock, because that thread acquires it at once.
    lock.unlock();
    m_wakeUp.wakeBy(next);
    lock.lock();
    for (;;) {
        call->wake.wait(lock, [&call] { return call->finish || !call->pending.empty(); });
        if (call->pending.empty()) {
            break;
        }
        const AttemptId attempt = call->pending.front().attempt;
        call->pending.pop_front();
        call->isThreadBusy = true;
        lock.unlock();
        executeAttempt(attempt);
        lock.lock();
        call->isThreadBusy = false;
    }
    m_calls.erase(id);
    CallEnd end;
    end.outcome = call->finish->outcome;
    end.code = call->finish->code;
    if (end.outcome == Outcome::Answered) {
        end.response = std::move(call->responses[call->finish->winner]);
    } else if (end.outcome == Outcome::Unknown && call->lastFailure != ResultCode::Ok && end.code != ResultCode::AttemptTimedOut) {
        end.code = call->lastFailure;
    }
    return end;
}

void CallRunner::tick(Instant now)
{
    std::vector<Entry::Effect> effects;
    const std::lock_guard lock(m_lock);
    m_engine.tick(now, effects);
    apply(effects);
    for (auto &[id, attempt] : m_attempts) {
        if (now > attempt.dispatch.deadline + ExpiryGrace) {
            attempt.handle->expire();
        }
    }
}

void CallRunner::admitWaitingCalls(Instant now)
{
    std::vector<Entry::Effect> effects;
    m_engine.admitWaitingCalls(now, effects);
    apply(effects);
    m_wakeUp.wakeBy(nextEngineTick(now));
}

Instant CallRunner::nextTick(Instant now)
{
    const std::lock_guard lock(m_lock);
    return nextEngineTick(now);
}

Instant CallRunner::nextEngineTick(Instant now)
{
    m_engine.dropEndedTimers();
    Instant next = m_engine.nextWakeUp(now).value_or(Instant::max());
    if (m_engine.waitingCount() > 0) {
        next = std::min(next, now + WaitingTickInterval);
    }
    return next;
}

void CallRunner::abandonDisconnectedCalls(Instant now)
{
    std::vector<Entry::Effect> effects;
    const std::lock_guard lock(m_lock);
    std::vector<CallId> disconnected;
    for (auto &[id, call] : m_calls) {
        if (!call->isAbandoned && !call->finish && hasClosed(call->caller)) {
            call->isAbandoned = true;
            disconnected.push_back(id);
        }
    }
    for (const CallId &id : disconnected) {
        m_engine.abandon(id, now, effects);
    }
    apply(effects);
}

std::size_t CallRunner::callsInProgress() const
{
    const std::lock_guard lock(m_lock);
    return m_calls.size();
}

void CallRunner::stop()
{
    {
        const std::lock_guard lock(m_lock);
        m_stopping = true;
    }
    m_jobAdded.notify_all();
    for (std::thread &it : m_workers) {
        it.join();
    }
    m_workers.clear();
}

void CallRunner::apply(std::vector<Entry::Effect> &effects)
{
    for (const Entry::Effect &effect : effects) {
        std::visit([this](const auto &it) { applyOne(it); }, effect);
    }
    effects.clear();
}

void CallRunner::applyOne(const Entry::DispatchAttempt &dispatch)
{
    const auto it = m_calls.find(dispatch.call);
    if (it == m_calls.end()) {
        return;
    }
    const std::shared_ptr<Call> &call = it->second;
    m_attempts[dispatch.attempt] =
        Attempt { dispatch, call, std::make_shared<ExchangeHandle>(), m_addressOf(dispatch.server).value_or(std::string()) };
    if (call->isThreadBusy || !call->pending.empty()) {
        m_jobs.push_back(Job { dispatch.attempt, {} });
        m_jobAdded.notify_one();
        return;
    }
    call->pending.push_back(dispatch);
    call->wake.notify_one();
}

void CallRunner::applyOne(const Entry::CancelAttempt &cancel)
{
    const auto it = m_attempts.find(cancel.attempt);
    if (it == m_attempts.end()) {
        return;
    }
    it->second.handle->cancel();
    queueCancellation(it->second);
}

void CallRunner::applyOne(const Entry::FinishCall &finish)
{
    const auto it = m_calls.find(finish.call);
    if (it == m_calls.end()) {
        return;
    }
    it->second->finish = finish;
    it->second->wake.notify_one();
}

void CallRunner::executeAttempt(AttemptId id)
{
    Attempt attempt;
    bool isFenced = false;
    const Instant start = m_clock.now();
    {
        const std::lock_guard lock(m_lock);
        attempt = m_attempts.at(id);
        isFenced = m_freshness.isFenced(start);
    }
    UpstreamResponse response = exchange(attempt, isFenced);
    report(id, std::move(response), m_clock.now() - start);
}

std::string CallRunner::attemptIdText(AttemptId id) const
{
    return m_scope + "." + std::to_string(id.value());
}

UpstreamResponse CallRunner::exchange(const Attempt &attempt, bool isFenced)
{
    UpstreamResponse none;
    none.code = ResultCode::NotSent;
    const Instant now = m_clock.now();
    if (attempt.address.empty()) {
        return none;
    }
    if (isFenced || now >= attempt.dispatch.deadline) {
        none.end = Entry::AttemptEnd::FailedBeforeSend; // the process was frozen or the machine is overloaded
        return none;
    }
    const CallContent &content = attempt.call->content;
    UpstreamRequest request { attempt.address,           content.method,  content.target, content.headers, content.body,
                              attempt.dispatch.deadline, content.isAction };
    const bool isRetry = attempt.dispatch.number > 0 || content.isRetryUpstream;
    request.headers.emplace_back(DeadlineHeader, std::to_string(millisecondsLeft(attempt.dispatch.deadline, now)));
    request.headers.emplace_back(AttemptIdHeader, attemptIdText(attempt.dispatch.attempt));
    request.headers.emplace_back(DepthHeader, std::to_string(content.depth + 1));
    request.headers.emplace_back(AttemptHeader, isRetry ? "1" : "0");
    return m_client.exchange(request, *attempt.handle);
}

void CallRunner::report(AttemptId id, UpstreamResponse response, Duration elapsed)
{
    const Instant now = m_clock.now();
    Entry::AttemptReport report;
    report.attempt = id;
    report.end = response.end;
    report.elapsed = elapsed;
    if (response.end == Entry::AttemptEnd::Answered) {
        report.httpStatus = response.status;
        report.load = loadOf(response);
        report.resetAt = resetTimeOf(response, now, unixSeconds());
        const bool isRefusalStatus = response.status == 503 || response.status == 429;
        if (isRefusalStatus && !response.header(RefusedHeader).empty()) {
            report.end = Entry::AttemptEnd::RefusedByServer;
        }
    }
    std::vector<Entry::Effect> effects;
    std::unique_lock lock(m_lock);
    const auto it = m_attempts.find(id);
    const std::shared_ptr<Call> call = it->second.call;
    m_attempts.erase(it);
    if (report.end == Entry::AttemptEnd::Answered) {
        call->responses[id] = std::move(response);
    } else if (report.end == Entry::AttemptEnd::FailedAfterSend) {
        call->lastFailure = response.code;
    }
    m_engine.report(report, now, effects);
    apply(effects);
    const Instant next = nextEngineTick(now);
    lock.unlock();
    m_wakeUp.wakeBy(next);
}

void CallRunner::queueCancellation(const Attempt &attempt)
{
    if (m_jobs.size() >= MaxQueuedJobs) {
        return;
    }
    UpstreamRequest request;
    request.address = attempt.address;
    request.method = "POST";
    request.target = "/galenabarrow/cancel/" + attemptIdText(attempt.dispatch.attempt);
    request.deadline = m_clock.now() + CancellationTimeout;
    m_jobs.push_back(Job { attempt.dispatch.attempt, std::move(request) });
    m_jobAdded.notify_one();
}

void CallRunner::runWorker()
{
    for (;;) {
        std::unique_lock lock(m_lock);
        m_jobAdded.wait(lock, [this] { return m_stopping || !m_jobs.empty(); });
        if (m_jobs.empty()) {
            return;
        }
        const Job job = std::move(m_jobs.front());
        m_jobs.pop_front();
        lock.unlock();
        if (job.cancellation) {
            ExchangeHandle handle;
            m_client.exchange(*job.cancellation, handle);
        } else {
            executeAttempt(job.attempt);
        }
    }
}

}
