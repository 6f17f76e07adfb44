#pragma once

#include "gateway/decisiontrail.h"
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

    void start();
    bool hasTried(const ServerId &server) const;
    /// A server is free; \p reason tells how that is known.
    void onSlotAvailable(const char *reason);

private:
    Duration sinceStart() const;
    bool isSafe() const;
    /// Probes the servers that look best, and sends the request when one of them is known to be free.
    void select();
    /// Whether to use a slow last slot that is known to be free: when the request has looked or waited for a better one, and
    /// rather than in another data centre, whose responses are dear.
    bool mayUseLastSlot(const std::vector<ServerId> &candidates, Instant now) const;
    /// No server is known to be free. The request waits a little: a slot may become free at a server that works for this
    /// entry, or probes find one. Then it is rejected, unless nobody knows whether the service is busy.
    void waitOrReject();
    WaitKey waitKey() const;
    void leaveQueue();
    void onProbeFinished(unsigned selectionId, const ServerId &server);
    std::optional<ServerChoice> chooseWith(ChoiceInput::Need need, Instant now) const;
    /// The best server that is as free as can be had.
    std::optional<ServerChoice> choose(Instant now) const;
    void attempt();
    UpstreamRequest makeRequest(Instant now) const;
    /// Gives up an attempt at a server that does not answer while there is time for another one.
    void startAttemptTimer();
    void onAttemptTimeout();
    void handleResponse(Http::Response response);
    void handleFailure(AttemptFailure failure);
    /// The server did not run the request: any request may be sent elsewhere.
    void handleNotExecuted(const char *reason);
    /// The request may have run: only a safe one may be sent elsewhere. \p response is passed on otherwise, when there is one.
    void handleUnknownOutcome(const char *reason, Http::Response *response);
    void retry(const char *reason);
    void endAttempt(AttemptResult result);
    void onCallerDisconnected();
    void onDeadlineExpired();
    void forwardResponse(Http::Response response);
    void fail(unsigned status, const char *reason);
    /// \p isBusy: there was no free server. Otherwise another attempt has a fair chance at once.
    void reject(const char *reason, bool isBusy = false);
    /// When a rejected caller should return: the longer it can wait, the likelier there is room by then.
    Duration retryAfter() const;
    void finish(const char *outcome, unsigned status);
    void writeLogLine(const char *outcome, unsigned status, Instant now) const;

    RequestRunner &m_runner;
    Http::ExchangePointer m_exchange;
    Routing::RoutePointer m_route;
    ServiceId m_service;
    std::string m_requestId;
    Instant m_startedAt {};
    Instant m_deadline {};
    Instant m_attemptStartedAt {};
    ServerChoice m_choice;
    AttemptStart m_start;
    std::vector<ServerId> m_tried;
    std::shared_ptr<Attempt> m_attempt;
    /// What was decided on the way, for the log line.
    DecisionTrail m_trail;
    const char *m_reason = "none";
    bool m_mayHaveRun = false;
    bool m_isCallerDisconnected = false;
    bool m_isFinished = false;
    /// Rounds of probes for this attempt, and the probes of the newest that are not answered.
    unsigned m_probeRounds = 0;
    unsigned m_pendingProbes = 0;
    /// Numbers the rounds; answers to older ones do not count.
    unsigned m_selectionId = 0;
    Net::TimerId m_deadlineTimer = 0;
    Net::TimerId m_attemptTimer = 0;
    Net::TimerId m_waitTimer = 0;
    bool m_isWaiting = false;
    std::uint64_t m_number = 0;
};

}
