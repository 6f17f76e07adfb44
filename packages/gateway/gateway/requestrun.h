#pragma once

#include <algorithm>

#include "gateway/requestfields.h"
#include "gateway/requestrunner.h"

namespace Galenabarrow::Gateway
{

/// One request of a caller: its selection of a server, its attempts and its answer. Only for RequestRunner.
class RequestRunner::Run : public std::enable_shared_from_this<RequestRunner::Run>
{
public:
    Run(RequestRunner &runner, Http::ExchangePointer exchange, Routing::RoutePointer route)
        : m_runner(runner)
        , m_exchange(std::move(exchange))
        , m_route(std::move(route))
    {
    }

    void start()
    {
        const Http::Request &request = m_exchange->request();
        m_startedAt = m_runner.m_loop.now();
        m_number = ++m_runner.m_lastNumber;
        m_requestId = *request.fields.find(m_runner.m_dialect.requestId);
        m_service = m_runner.m_splits.choose(*m_route);
        m_runner.budgetOf(m_service).noteRequest();
        m_giveUpAt = m_startedAt + m_route->timeout;
        if (const auto stated = parseMilliseconds(request.fields.find(m_runner.m_dialect.deadlineMilliseconds))) {
            m_giveUpAt = std::min(m_giveUpAt, m_startedAt + *stated - CallerMargin);
        }
        m_exchange->onGone([weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->callerGone();
            }
        });
        m_deadlineTimer = m_runner.m_loop.after(m_giveUpAt - m_startedAt, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->deadlinePassed();
            }
        });
        select();
    }

private:
    bool isSafe() const
    {
        return m_route->repeatability == Routing::Repeatability::Safe;
    }

    /// Probes the servers that look best, and sends the request when one of them is known to be free.
    void select()
    {
        const Instant now = m_runner.m_loop.now();
        const ChoiceInput input { m_service, m_route->objective, m_tried, ChoiceInput::Need::Any };
        const std::vector<ServerId> candidates = m_runner.m_servers.candidates(input, ProbesPerRound, now);
        const bool isBestFree = !candidates.empty() && m_runner.m_servers.isKnownFreeAndFast(candidates.front(), now);
        if (isBestFree || mayTakeLastSlot(candidates, now)) {
            attempt();
            return;
        }
        if (m_rounds >= MaxRounds) {
            waitOrGiveUp();
            return;
        }
        ++m_rounds;
        m_openProbes = 0;
        const unsigned round = ++m_selection;
        for (const ServerId &it : candidates) {
            if (m_runner.m_servers.isFresh(it, now)) {
                continue;
            }
            const bool isStarted = m_runner.m_prober.probe(it, [weak = weak_from_this(), round, it](bool) {
                if (const auto self = weak.lock()) {
                    self->probed(round, it);
                }
            });
            m_openProbes += isStarted ? 1 : 0;
        }
        if (m_openProbes == 0) {
            waitOrGiveUp();
        }
    }

    /// Whether to use a slow last slot that is known to be free: when the request has looked or waited for a better one, and
    /// rather than in another data centre, whose responses are dear.
    bool mayTakeLastSlot(const std::vector<ServerId> &candidates, Instant now) const
    {
        const auto choice = chooseWith(ChoiceInput::Need::Free, now);
        if (!choice) {
            return false;
        }
        const bool isCandidateNear = !candidates.empty() && m_runner.m_servers.isInOwnDataCentre(candidates.front());
        return m_isWaiting || m_rounds >= MaxRounds || (!isCandidateNear && m_runner.m_servers.isInOwnDataCentre(choice->server));
    }

    /// No server is known to be free. The request waits a little: a slot may become free at a server that works for this
    /// entry, or probes find one. Then it is rejected, unless nobody knows whether the service is busy.
    void waitOrGiveUp()
    {
        const Instant now = m_runner.m_loop.now();
        if (!m_runner.m_servers.hasFreshReports(m_service, now)) {
            attempt();
            return;
        }
        const Instant until = std::min(m_startedAt + m_route->objective / HoldDivisor, m_giveUpAt);
        if (now >= until) {
            leaveQueue();
            // What may have run cannot be rejected honestly; it takes the best server there is.
            if (m_mayHaveRun || chooseWith(ChoiceInput::Need::FreeButSlow, now)) {
                attempt();
            } else {
                reject("busy", true);
            }
            return;
        }
        if (!m_isWaiting) {
            m_isWaiting = true;
            ++m_runner.m_counters.waited;
            m_runner.m_waiting[m_service].emplace(waitKey(), weak_from_this());
        }
        m_rounds = MaxRounds - 1;
        const unsigned round = ++m_selection;
        m_runner.m_loop.cancel(m_waitTimer);
        m_waitTimer = m_runner.m_loop.after(std::min<Duration>(ProbeAgain, until - now), [weak = weak_from_this(), round] {
            const auto self = weak.lock();
            if (self != nullptr && self->m_selection == round && !self->m_isFinished && self->m_attempt == nullptr) {
                self->select();
            }
        });
    }

    WaitKey waitKey() const
    {
        return WaitKey { m_route->priority, m_startedAt, m_number };
    }

    void leaveQueue()
    {
        m_runner.m_loop.cancel(m_waitTimer);
        m_waitTimer = 0;
        if (m_isWaiting) {
            m_isWaiting = false;
            m_runner.m_waiting[m_service].erase(waitKey());
        }
    }

public:
    bool hasTried(const ServerId &server) const
    {
        return std::find(m_tried.begin(), m_tried.end(), server) != m_tried.end();
    }

    /// A server is free.
    void takeSlot()
    {
        ++m_selection;
        leaveQueue();
        attempt();
    }

private:
    void probed(unsigned selection, const ServerId &server)
    {
        if (selection != m_selection || m_isFinished || m_attempt != nullptr) {
            return;
        }
        --m_openProbes;
        const Instant now = m_runner.m_loop.now();
        if (m_runner.m_servers.isKnownFreeAndFast(server, now) || (m_isWaiting && m_runner.m_servers.isKnownFree(server, now))) {
            takeSlot();
        } else if (m_openProbes == 0) {
            select();
        }
    }

    std::optional<ServerChoice> chooseWith(ChoiceInput::Need need, Instant now) const
    {
        return m_runner.m_servers.choose(ChoiceInput { m_service, m_route->objective, m_tried, need }, now);
    }

    /// The best server that is as free as can be had.
    std::optional<ServerChoice> choose(Instant now) const
    {
        for (const auto need : { ChoiceInput::Need::Free, ChoiceInput::Need::FreeButSlow }) {
            if (auto choice = chooseWith(need, now)) {
                return choice;
            }
        }
        return chooseWith(ChoiceInput::Need::Any, now);
    }

    void attempt()
    {
        leaveQueue();
        const Instant now = m_runner.m_loop.now();
        if (now >= m_giveUpAt) {
            deadlinePassed();
            return;
        }
        const std::optional<ServerChoice> choice = choose(now);
        if (!choice) {
            reject(m_tried.empty() ? "no_server" : "no_other_server");
            return;
        }
        m_choice = *choice;
        const ServerRow *row = m_runner.m_servers.find(choice->server);
        m_tried.push_back(choice->server);
        ++m_runner.m_counters.attempts;
        m_attemptAt = now;
        m_start = m_runner.m_servers.noteStart(choice->server, m_route->name, now);
        m_attempt = m_runner.m_pool.send(row->server, makeRequest(now));
        m_attempt->onResponse([this](Http::Response response) { responded(std::move(response)); });
        m_attempt->onFailure([this](AttemptFailure failure) { failed(failure); });
        armPatience();
    }

    UpstreamRequest makeRequest(Instant now) const
    {
        const Dialect &dialect = m_runner.m_dialect;
        Http::Request request = m_exchange->request();
        request.fields.removeConnectionFields();
        request.fields.set(dialect.deadlineMilliseconds, toMilliseconds(m_giveUpAt - now));
        request.fields.set(dialect.expectedServer, m_choice.server.value());
        return UpstreamRequest { Http::serialize(request), m_requestId, request.method == "HEAD" };
    }

    /// Gives up an attempt at a server that does not answer while there is time for another one.
    void armPatience()
    {
        const bool mayRepeat = isSafe() && m_tried.size() < m_route->maxAttempts;
        if (!mayRepeat) {
            return;
        }
        const Duration patience = std::max(m_route->objective, m_runner.m_servers.workTime(m_service) * PatienceFactor);
        m_patienceTimer = m_runner.m_loop.after(patience, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->patienceOver();
            }
        });
    }

    void patienceOver()
    {
        m_patienceTimer = 0;
        if (m_attempt == nullptr || !m_runner.takeBudget(m_service)) {
            return;
        }
        endAttempt(AttemptResult::TimedOut);
        m_mayHaveRun = true;
        again("no_response");
    }

    void responded(Http::Response response)
    {
        const Dialect &dialect = m_runner.m_dialect;
        if (const std::string *text = response.fields.find(dialect.serverLoad)) {
            if (const auto load = parseLoadReport(*text, m_runner.m_loop.now())) {
                m_runner.m_servers.noteLoad(m_choice.server, *load);
            }
        }
        if (response.fields.find(dialect.notRun) != nullptr || response.status == 421) {
            endAttempt(AttemptResult::Rejected);
            notRun("rejected_by_server");
            return;
        }
        m_mayHaveRun = true;
        const bool hasStamp = response.fields.find(dialect.serverStamp) != nullptr;
        const bool hasId = response.fields.find(dialect.requestId) != nullptr;
        if (!hasStamp || !hasId) {
            endAttempt(AttemptResult::Broken);
            unknown("unsigned_response", nullptr);
            return;
        }
        // Only an entry may promise that a request has not run; a server says so with a field of its own.
        const bool isFinal = response.status < 500 && !isPromise(response.status);
        if (isFinal) {
            endAttempt(AttemptResult::Served);
            pass(std::move(response));
            return;
        }
        endAttempt(AttemptResult::Failed);
        unknown("failure_of_server", &response);
    }

    void failed(AttemptFailure failure)
    {
        endAttempt(AttemptResult::Broken);
        if (failure == AttemptFailure::NotSent) {
            // Nothing reached the server, so another try costs it nothing.
            if (m_isGone) {
                finish("caller_gone", 0);
            } else if (m_tried.size() < MaxConnectTries) {
                again("not_connected");
            } else {
                reject("not_connected");
            }
            return;
        }
        m_mayHaveRun = true;
        unknown("connection_lost", nullptr);
    }

    /// The server did not run the request: any request may be sent elsewhere.
    void notRun(const char *reason)
    {
        if (m_isGone) {
            finish("caller_gone", 0);
            return;
        }
        const bool mayRepeat = m_tried.size() < m_route->maxAttempts;
        if (mayRepeat && m_runner.takeBudget(m_service)) {
            again(reason);
        } else if (m_mayHaveRun) {
            fail(502, reason);
        } else {
            reject(mayRepeat ? "retry_budget_spent" : reason);
        }
    }

    /// The request may have run: only a safe one may be sent elsewhere. \p response is passed on otherwise, when there is one.
    void unknown(const char *reason, Http::Response *response)
    {
        if (m_isGone) {
            finish("caller_gone", 0);
            return;
        }
        const bool mayRepeat = isSafe() && m_tried.size() < m_route->maxAttempts;
        if (mayRepeat && m_runner.takeBudget(m_service)) {
            again(reason);
        } else if (response != nullptr && !isPromise(response->status)) {
            pass(std::move(*response));
        } else {
            fail(502, reason);
        }
    }

    void again(const char *reason)
    {
        m_reason = reason;
        ++m_runner.m_counters.furtherAttempts;
        m_rounds = 0;
        select();
    }

    void endAttempt(AttemptResult result)
    {
        m_runner.m_loop.cancel(m_patienceTimer);
        m_patienceTimer = 0;
        const Instant now = m_runner.m_loop.now();
        m_runner.m_servers.noteEnd(m_choice.server, result, m_start, now - m_attemptAt, now);
        if (m_attempt != nullptr) {
            m_attempt->cancel();
            // Its callback may be running.
            m_runner.m_loop.defer([attempt = std::move(m_attempt)] {});
            m_attempt = nullptr;
        }
        m_runner.m_loop.defer([&runner = m_runner, service = m_service, server = m_choice.server] { runner.offer(service, server); });
    }

    void callerGone()
    {
        ++m_runner.m_counters.callerGone;
        m_isGone = true;
        if (m_attempt == nullptr) {
            finish("caller_gone", 0);
            return;
        }
        if (isSafe()) {
            endAttempt(AttemptResult::Abandoned);
            finish("caller_gone", 0);
        }
        // A request that runs once at most is left to finish: it does its work even though nobody waits for the response.
    }

    void deadlinePassed()
    {
        m_deadlineTimer = 0;
        if (m_attempt != nullptr) {
            m_mayHaveRun = m_mayHaveRun || m_attempt->isSent();
            endAttempt(AttemptResult::TimedOut);
        }
        if (m_mayHaveRun) {
            ++m_runner.m_counters.timedOut;
            fail(504, "deadline");
        } else {
            reject("deadline");
        }
    }

    void pass(Http::Response response)
    {
        const unsigned status = response.status;
        response.fields.removeConnectionFields();
        ++m_runner.m_counters.answered;
        m_exchange->respond(std::move(response));
        finish("answered", status);
    }

    void fail(unsigned status, const char *reason)
    {
        ++m_runner.m_counters.failed;
        m_exchange->respond(Http::makeResponse(status));
        m_reason = reason;
        finish("failed", status);
    }

    /// \p isBusy: there was no free server. Otherwise another attempt has a fair chance at once.
    void reject(const char *reason, bool isBusy = false)
    {
        if (m_mayHaveRun) {
            fail(502, reason);
            return;
        }
        ++m_runner.m_counters.rejected;
        m_exchange->respond(m_runner.makeRejection(isBusy ? comeBack() : SoonComeBack));
        m_reason = reason;
        finish("rejected", 503);
    }

    /// When a rejected caller should return: the longer it can wait, the likelier there is room by then.
    Duration comeBack() const
    {
        const Duration left = m_giveUpAt - m_runner.m_loop.now();
        return std::clamp(left / ComeBackDivisor, MinComeBack, MaxComeBack);
    }

    void finish(const char *outcome, unsigned status)
    {
        m_runner.m_loop.cancel(m_deadlineTimer);
        m_runner.m_loop.cancel(m_patienceTimer);
        m_isFinished = true;
        leaveQueue();
        const Instant now = m_runner.m_loop.now();
        m_runner.m_latencies[outcome].record(now - m_startedAt);
        const bool isGood = status >= 200 && status < 300 && m_tried.size() == 1 && now - m_startedAt <= m_route->objective;
        if (m_runner.m_log.admit(isGood, now)) {
            writeLine(outcome, status, now);
        }
        m_runner.m_loop.defer([&runner = m_runner, self = shared_from_this()] { runner.m_runs.erase(self); });
    }

    void writeLine(const char *outcome, unsigned status, Instant now) const
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
            { "service", m_service.value() },
            { "config", std::to_string(m_runner.m_version.value()) },
            { "servers", tried },
            { "expected_ms", toMilliseconds(m_choice.expected) },
            { "occupancy", std::to_string(m_choice.occupancy) },
            { "took_ms", toMilliseconds(now - m_startedAt) },
            { "budget", std::to_string(m_runner.budgetOf(m_service).tokens()) },
        });
    }

    /// The response must reach the caller before its deadline; a network round trip and the time to write it.
    static constexpr Duration CallerMargin = std::chrono::milliseconds(25);
    /// An attempt that may be repeated is given up after this many usual durations, and not before the objective is used up.
    static constexpr int PatienceFactor = 4;
    /// Servers that are probed at a time, and how often before the best one gets the request as it is.
    static constexpr std::size_t ProbesPerRound = 3;
    static constexpr unsigned MaxRounds = 3;
    /// Time between two rounds of probes of a request that waits.
    static constexpr Duration ProbeAgain = std::chrono::milliseconds(12);
    /// A request is held for this part of its objective at most: a caller that is told early can still be served in time
    /// elsewhere.
    static constexpr int HoldDivisor = 8;
    /// Part of the time left after which a rejected caller returns; callers wait for a third of it at most.
    static constexpr int ComeBackDivisor = 5;
    static constexpr Duration MinComeBack = std::chrono::milliseconds(100);
    static constexpr Duration SoonComeBack = std::chrono::milliseconds(25);
    static constexpr Duration MaxComeBack = std::chrono::milliseconds(1000);
    /// Connections that are tried for one request when none is established.
    static constexpr std::size_t MaxConnectTries = 4;

    RequestRunner &m_runner;
    Http::ExchangePointer m_exchange;
    Routing::RoutePointer m_route;
    ServiceId m_service;
    std::string m_requestId;
    Instant m_startedAt {};
    Instant m_giveUpAt {};
    Instant m_attemptAt {};
    ServerChoice m_choice;
    AttemptStart m_start;
    std::vector<ServerId> m_tried;
    std::shared_ptr<Attempt> m_attempt;
    const char *m_reason = "none";
    bool m_mayHaveRun = false;
    bool m_isGone = false;
    bool m_isFinished = false;
    /// Rounds of probes for this attempt, and the probes of the newest that are not answered.
    unsigned m_rounds = 0;
    unsigned m_openProbes = 0;
    /// Numbers the rounds; answers to older ones do not count.
    unsigned m_selection = 0;
    Net::TimerId m_deadlineTimer = 0;
    Net::TimerId m_patienceTimer = 0;
    Net::TimerId m_waitTimer = 0;
    bool m_isWaiting = false;
    std::uint64_t m_number = 0;
};

}
