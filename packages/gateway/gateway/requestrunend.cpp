#include "gateway/requestrun.h"

#include <algorithm>
#include <utility>

#include "gateway/requestfields.h"

namespace Galenabarrow::Gateway
{

namespace
{

/// A rejected caller is told to retry after the time left divided by this; callers wait for a third of the time left at most.
constexpr int RetryAfterDivisor = 5;
constexpr Duration MinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration MaxRetryAfter = std::chrono::milliseconds(1000);
/// Callers that are told to return when a server takes requests again are spread over this time after it.
constexpr Duration ReturnSpread = std::chrono::milliseconds(250);

}

void RequestRunner::Run::onDeadlineExpired()
{
    m_deadlineTimer = 0;
    endWithoutResponse("deadline");
    m_runner.m_counters.timedOut += m_mayHaveRun ? 1 : 0;
}

void RequestRunner::Run::endByStop()
{
    if (m_isFinished) {
        return;
    }
    ++m_runner.m_counters.endedByStop;
    endWithoutResponse("entry_stopped");
}

void RequestRunner::Run::endWithoutResponse(const char *reason)
{
    if (m_attempt != nullptr) {
        m_mayHaveRun = m_mayHaveRun || m_attempt->isSent();
        endAttempt(AttemptResult::TimedOut);
    }
    if (m_mayHaveRun) {
        fail(504, reason);
    } else {
        reject(reason, ShortRetryAfter);
    }
}

void RequestRunner::Run::forwardResponse(Http::Response response)
{
    const unsigned status = response.status;
    response.fields.removeConnectionFields();
    ++m_runner.m_counters.answered;
    m_exchange->respond(std::move(response));
    finish("answered", status);
}

void RequestRunner::Run::fail(unsigned status, const char *reason)
{
    ++m_runner.m_counters.failed;
    m_exchange->respond(Http::makeResponse(status));
    m_reason = reason;
    finish("failed", status);
}

void RequestRunner::Run::reject(const char *reason, Duration callerWait)
{
    if (m_mayHaveRun) {
        fail(502, reason);
        return;
    }
    giveBackQuota();
    ++m_runner.m_counters.rejected;
    m_exchange->respond(m_runner.makeRejection(afterReturn(callerWait)));
    m_reason = reason;
    finish("rejected", 503);
}

Duration RequestRunner::Run::retryAfter() const
{
    const Duration left = m_deadline - m_runner.m_loop.now();
    return std::clamp(left / RetryAfterDivisor, MinRetryAfter, MaxRetryAfter);
}

void RequestRunner::Run::finish(const char *outcome, unsigned status)
{
    release();
    const Instant now = m_runner.m_loop.now();
    m_runner.m_latencies.record(m_route->name, outcome, now - m_startedAt);
    const bool isGood = status >= 200 && status < 300 && m_tried.size() == 1 && now - m_startedAt <= m_route->objective;
    if (m_runner.m_log.admit(isGood, now)) {
        writeLogLine(outcome, status, now);
    }
}

void RequestRunner::Run::release()
{
    m_isFinished = true;
    m_runner.m_loop.cancel(m_deadlineTimer);
    m_runner.m_loop.cancel(m_attemptTimer);
    leaveQueue();
    m_runner.m_loop.defer([&runner = m_runner, self = shared_from_this()] { runner.m_runs.erase(self); });
}

void RequestRunner::Run::endAfterError()
{
    if (m_isFinished) {
        return; // it was answered, and what it held is released
    }
    const bool mayHaveRun = m_mayHaveRun || m_isAttemptOpen;
    release();
    if (m_isAttemptOpen) {
        runGuarded(
            "request", [this] { return m_requestId; }, [this] { endAttempt(AttemptResult::Broken); });
    }
    ++m_runner.m_counters.endedByError;
    Http::Response response = Http::makeResponse(mayHaveRun ? 502 : 503);
    if (!mayHaveRun) {
        giveBackQuota();
        response.fields.add(m_runner.m_headerNames.retryAfter, formatSeconds(ShortRetryAfter));
    }
    m_exchange->respond(std::move(response));
    m_reason = "unexpected_error";
    const char *outcome = mayHaveRun ? "failed" : "rejected";
    writeLogLine(outcome, mayHaveRun ? 502 : 503, m_runner.m_loop.now());
}

void RequestRunner::Run::setChargedAccount(AccountId account)
{
    m_chargedAccount = std::move(account);
}

void RequestRunner::Run::giveBackQuota()
{
    if (m_chargedAccount && !m_mayHaveRun) {
        m_runner.m_quotas.giveBack(*std::exchange(m_chargedAccount, std::nullopt));
    }
}

void RequestRunner::Run::writeLogLine(const char *outcome, unsigned status, Instant now) const
{
    std::string tried;
    for (const ServerId &it : m_tried) {
        tried.append(tried.empty() ? "" : ",").append(it.value());
    }
    m_runner.m_log.write({
        { "id", m_requestId },
        { "outcome", outcome },
        { "status", std::to_string(status) },
        { "reason", m_reason },
        { "route", m_route->name },
        { "account", m_client.name() },
        { "service", m_service.value() },
        { "config", std::to_string(m_runner.m_version.value()) },
        { "servers", tried },
        { "mark", m_mark ? Coordination::describe(*m_mark) : "" },
        { "expected_ms", formatMilliseconds(m_choice.expected) },
        { "occupancy", std::to_string(m_choice.occupancy) },
        { "trail", m_trail.text() },
        { "took_ms", formatMilliseconds(now - m_startedAt) },
        { "budget", std::to_string(m_runner.budgetOf(m_service).tokens()) },
    });
}

void RequestRunner::Run::rejectWithoutServer(Instant now)
{
    const std::optional<SendWait> wait = m_runner.m_servers.sendWait(m_service, m_tried, now);
    if (m_runner.m_servers.isEvacuated(m_service)) {
        ++m_runner.m_counters.evacuated;
        reject("evacuated", retryAfter());
    } else if (!wait) {
        reject(m_tried.empty() ? "no_server" : "no_other_server", ShortRetryAfter);
    } else if (wait->reason == SendWait::Reason::Limit) {
        ++m_runner.m_counters.limited;
        reject("server_limit", std::clamp(wait->time, retryAfter(), MaxRetryAfter));
    } else {
        ++m_runner.m_counters.excluded;
        m_trail.add(sinceStart(), "excluded", m_runner.m_servers.describeNotices(m_service, now));
        const bool isLeaving = wait->reason == SendWait::Reason::Leaving;
        reject(isLeaving ? "servers_leaving" : "servers_away", isLeaving ? retryAfter() : ShortRetryAfter);
    }
}

Duration RequestRunner::Run::afterReturn(Duration callerWait) const
{
    const std::optional<SendWait> wait = m_runner.m_servers.sendWait(m_service, {}, m_runner.m_loop.now());
    if (!wait || wait->reason == SendWait::Reason::Limit) {
        return callerWait;
    }
    const Duration spread(static_cast<Duration::rep>(m_runner.m_random.below(ReturnSpread.count())));
    const Duration time = wait->reason == SendWait::Reason::Leaving ? Duration {} : wait->time;
    return std::max(callerWait, time) + spread;
}

}
