#pragma once

#include "base/errorguard.h"
#include "gateway/decisiontrail.h"
#include "gateway/requestrunner.h"

namespace Galenabarrow::Gateway
{

/// Retry time in rejections that another entry or server may not have to make.
constexpr Duration ShortRetryAfter = std::chrono::milliseconds(25);

/// One request of a caller: selects a server, makes the attempts and answers the caller. Used only by RequestRunner.
class RequestRunner::Run : public std::enable_shared_from_this<RequestRunner::Run>
{
public:
    Run(RequestRunner &runner, Http::ExchangePointer exchange, Routing::RoutePointer route, ClientIdentity client)
        : m_runner(runner)
        , m_exchange(std::move(exchange))
        , m_route(std::move(route))
        , m_client(std::move(client))
    {
    }

    /// Sets the account whose quota the request was admitted by. The request is given back when no server has run it.
    void setChargedAccount(AccountId account);
    void start();
    /// Runs \p work for this request. An exception ends the request, see endAfterError(), and nothing else.
    template<typename Work>
    void guard(const Work &work)
    {
        if (!runGuarded(
                "request", [this] { return m_requestId; }, work)) {
            endAfterError();
        }
    }
    bool hasTried(const ServerId &server) const;
    /// Sends the request now that a server is known to be free; \p reason states how this is known, for the log line.
    void onSlotAvailable(const char *reason);
    /// Ends the request with an honest outcome, as this entry ends.
    void endByStop();

private:
    Duration sinceStart() const;
    bool isSafe() const;
    void onBodyReceived();
    /// Selects a server, by the end of the body or of the time for which it is held.
    void endBodyHold();
    /// Passes received bytes of the body on to the attempt, as many as its connection takes without queueing.
    void sendBody();
    /// Whether the beginning of the body is still held, so that the request can be sent to another server.
    bool mayResend() const;
    /// Whether the request may be sent to another server. The answer changes while an attempt is in progress.
    bool mayRetry() const;
    /// Why an attempt without a response is left to finish rather than repeated; nullptr if it may be repeated now.
    const char *reasonToStay();
    /// Whether the whole request has been received and is still held.
    bool isWhole() const;
    /// Whether requests like this one were running when servers crashed.
    bool isSuspected() const;
    /// The mark of a request that is whole.
    const Coordination::RequestMark &mark();
    /// For how much longer the request is held back because it has crashed servers.
    Duration holdTime();
    /// Rejects the request if it is held back because it has crashed servers.
    bool rejectIfHeldBack();
    /// Rejects the request if this entry may end before it. Not if it may have run: then another server may still answer in time.
    bool rejectIfStopping();
    /// Records that a server has run the request to an end, which clears it.
    void recordRunToEnd();
    /// Probes the servers with the best scores, and sends the request as soon as one of them is known to be free. While the body is
    /// being received, the server with the best score is used without probes.
    void select();
    /// Whether to use a slow last slot that is known to be free: after the request has probed or waited for a better one, or
    /// when that slot is local and the best candidate is in another data centre, whose responses are more expensive.
    bool mayUseLastSlot(const std::vector<ServerId> &candidates, Instant now) const;
    /// Called when no server is known to be free. Queues the request until a slot becomes free at a server with requests of
    /// this entry, or a probe finds one. After the longest wait it is rejected, unless it may have run or a slow
    /// server has a free slot. Without fresh load reports the service may not be busy at all: then the request is sent at once.
    void waitOrReject();
    WaitKey waitKey() const;
    void leaveQueue();
    void onProbeFinished(unsigned selectionId, const ServerId &server, bool hasAnswered);
    ChoiceInput choiceInput(ChoiceInput::Need need) const;
    std::optional<ServerChoice> chooseWith(ChoiceInput::Need need, Instant now) const;
    /// The best server that is known to be free, else one that is free but slow, else any.
    std::optional<ServerChoice> choose(Instant now) const;
    void attempt();
    UpstreamRequest makeRequest(Instant now) const;
    /// Starts the timer that abandons an attempt without a response while there is time for another one.
    void startAttemptTimer();
    void onAttemptTimeout();
    void handleResponse(Http::Response response);
    void handleFailure(AttemptFailure failure);
    /// Records what the response says of its server, if it is the server's response to this request.
    void recordStatement(const Http::Response &response);
    /// The server did not run the request: any request may be retried at another server.
    void handleNotExecuted(const char *reason);
    /// The request may have run: only a safe one may be retried. Otherwise \p response is forwarded, if there is one.
    void handleUnknownOutcome(const char *reason, Http::Response *response);
    void retry(const char *reason);
    void endAttempt(AttemptResult result);
    void onCallerDisconnected();
    void onDeadlineExpired();
    /// Ends the request without waiting for a response any longer: with an unknown outcome if it may have run, else with a rejection.
    void endWithoutResponse(const char *reason);
    void forwardResponse(Http::Response response);
    void fail(unsigned status, const char *reason);
    /// \p callerWait: when the caller should retry.
    void reject(const char *reason, Duration callerWait);
    /// Rejects the request because no server can be chosen for it: none is left, or all are excluded by their own statements.
    void rejectWithoutServer(Instant now);
    /// When a caller should retry that would do so after \p callerWait: not before a server of the service takes requests again.
    Duration afterReturn(Duration callerWait) const;
    /// Time after which a caller should retry when no server was free; grows with the time left, as a later retry is likelier to find a
    /// free slot.
    Duration retryAfter() const;
    void finish(const char *outcome, unsigned status);
    /// Ends the request after an unexpected error: with an unknown outcome if it may have run, else with a rejection.
    void endAfterError();
    /// Releases what the request holds at its end.
    void release();
    /// Returns the request to the quota of its account, at most once.
    void giveBackQuota();
    void writeLogLine(const char *outcome, unsigned status, Instant now) const;

    RequestRunner &m_runner;
    std::optional<AccountId> m_chargedAccount;
    Http::ExchangePointer m_exchange;
    Routing::RoutePointer m_route;
    ClientIdentity m_client;
    ServiceId m_service;
    std::string m_requestId;
    Instant m_startedAt {};
    Instant m_deadline {};
    /// Bytes of the body that were passed on to the current attempt.
    std::uint64_t m_sentBody = 0;
    /// When the current attempt was sent, and from when on its duration counts as work of the server.
    Instant m_sentAt {};
    Instant m_attemptStartedAt {};
    ServerChoice m_choice;
    AttemptStart m_start;
    std::vector<ServerId> m_tried;
    std::shared_ptr<Attempt> m_attempt;
    /// Set once it was needed.
    std::optional<Coordination::RequestMark> m_mark;
    /// The decisions on this request, for the log line.
    DecisionTrail m_trail;
    const char *m_reason = "none";
    bool m_mayHaveRun = false;
    /// From the choice of a server to the end of the attempt.
    bool m_isAttemptOpen = false;
    bool m_isHoldingBody = false;
    bool m_isCallerDisconnected = false;
    bool m_isFinished = false;
    /// Rounds of probes for this attempt, and the unanswered probes of the current round.
    unsigned m_probeRounds = 0;
    unsigned m_pendingProbes = 0;
    /// Identifies the current selection; results of probes and timers of earlier ones are ignored.
    unsigned m_selectionId = 0;
    Net::TimerId m_deadlineTimer = 0;
    Net::TimerId m_attemptTimer = 0;
    Net::TimerId m_waitTimer = 0;
    bool m_isWaiting = false;
    std::uint64_t m_number = 0;
};

}
