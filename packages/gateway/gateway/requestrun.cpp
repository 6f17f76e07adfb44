#include "gateway/requestrun.h"

#include <algorithm>
#include <utility>

#include "gateway/markbuilder.h"
#include "gateway/requestfields.h"

namespace Galenabarrow::Gateway
{

namespace
{

/// Subtracted from the caller's deadline for the way back: a network round trip and the time to write the response.
constexpr Duration CallerMargin = std::chrono::milliseconds(25);
/// An attempt at a safe request that may be retried is abandoned after this multiple of the usual duration, but not before the
/// route's objective has passed.
constexpr int AttemptTimeoutFactor = 4;
/// Servers that are probed in one round, and the number of rounds before the request is queued, or sent although no server is known
/// to be free.
constexpr std::size_t ProbesPerRound = 3;
constexpr unsigned MaxProbeRounds = 3;
/// Time between two rounds of probes for a queued request.
constexpr Duration ReprobeInterval = std::chrono::milliseconds(12);
/// A request is queued for at most its objective divided by this: a caller that is rejected early can still be served in time
/// elsewhere.
constexpr int WaitDivisor = 8;
/// A large body is forwarded when it has not been received whole within this time. Over a fast link it has, and its server is chosen
/// like that of a small request.
constexpr Duration MaxBodyHold = std::chrono::milliseconds(25);
/// A complete body up to this size is sent together with the header section.
constexpr std::size_t MaxBodyWithHead = std::size_t { 16 } * 1024;
/// Bytes of a body that are queued for a connection at a time, so that a large body holds little memory twice.
constexpr std::size_t BodyPiece = std::size_t { 32 } * 1024;
/// Connection attempts for one request while none succeeds.
constexpr std::size_t MaxConnectAttempts = 4;

}

void RequestRunner::Run::start()
{
    const Http::Request &request = m_exchange->request();
    m_startedAt = m_exchange->receivedAt();
    m_number = ++m_runner.m_lastNumber;
    m_requestId = *request.fields.find(m_runner.m_headerNames.requestId);
    m_service = m_runner.m_splits.choose(*m_route);
    m_runner.budgetOf(m_service).recordRequest();
    m_deadline = m_startedAt + m_route->timeout;
    if (const auto stated = parseMilliseconds(request.fields.find(m_runner.m_headerNames.deadlineMilliseconds))) {
        m_deadline = std::min(m_deadline, m_startedAt + *stated - CallerMargin);
    }
    m_exchange->onDisconnected([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->guard([&] { self->onCallerDisconnected(); });
        }
    });
    m_deadlineTimer = m_runner.m_loop.after(m_deadline - m_runner.m_loop.now(), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->guard([&] { self->onDeadlineExpired(); });
        }
    });
    if (rejectIfStopping()) {
        return;
    }
    if (m_exchange->isBodyComplete()) {
        select();
        return;
    }
    m_exchange->onBody([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->guard([&] { self->onBodyReceived(); });
        }
    });
    m_isHoldingBody = true;
    m_waitTimer = m_runner.m_loop.after(MaxBodyHold, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->guard([&] { self->endBodyHold(); });
        }
    });
}

void RequestRunner::Run::onBodyReceived()
{
    if (m_isHoldingBody && m_exchange->isBodyComplete()) {
        endBodyHold();
    } else {
        sendBody();
    }
}

void RequestRunner::Run::endBodyHold()
{
    m_runner.m_loop.cancel(m_waitTimer);
    m_waitTimer = 0;
    if (!m_isHoldingBody || m_isFinished) {
        return;
    }
    if (!m_exchange->isBodyComplete() && m_exchange->bodyLength() <= MaxHeldBody && isSuspected()) {
        return; // whether it is held back can only be told from the whole body
    }
    m_isHoldingBody = false;
    select();
}

void RequestRunner::Run::sendBody()
{
    while (m_attempt != nullptr && m_attempt->isWritable() && m_sentBody < m_exchange->receivedBody()) {
        const std::string_view held = m_exchange->request().body;
        const std::string_view piece = held.substr(m_sentBody - m_exchange->discardedBody(), BodyPiece);
        m_sentBody += piece.size();
        m_attempt->sendBody(piece); // may end the attempt
    }
    if (m_attempt == nullptr) {
        return; // the next attempt begins with the first byte
    }
    if (m_sentBody == m_exchange->bodyLength()) {
        m_attemptStartedAt = m_runner.m_loop.now(); // work times do not include the transfer of a large body
    }
    if ((m_exchange->bodyLength() > MaxHeldBody || m_runner.m_pool.isMemoryTight()) && !m_exchange->isAnswered()) {
        m_exchange->discardBody(m_sentBody);
    }
}

bool RequestRunner::Run::isWhole() const
{
    return m_exchange->isBodyComplete() && m_exchange->discardedBody() == 0;
}

bool RequestRunner::Run::isSuspected() const
{
    return m_runner.m_crashes.isSuspected(m_exchange->request());
}

const Coordination::RequestMark &RequestRunner::Run::mark()
{
    if (!m_mark) {
        m_mark = markOf(m_exchange->request());
    }
    return *m_mark;
}

Duration RequestRunner::Run::holdTime()
{
    return isSuspected() && isWhole() ? m_runner.m_crashes.holdTime(mark()) : Duration {};
}

bool RequestRunner::Run::rejectIfHeldBack()
{
    const Duration hold = holdTime();
    if (hold == Duration {}) {
        return false;
    }
    ++m_runner.m_counters.heldBack;
    leaveQueue();
    reject("held_back", hold);
    return true;
}

bool RequestRunner::Run::rejectIfStopping()
{
    if (!m_runner.m_lastDeadline || m_deadline <= *m_runner.m_lastDeadline || m_mayHaveRun) {
        return false;
    }
    ++m_runner.m_counters.rejectedByStop;
    leaveQueue();
    reject("entry_stopping", ShortRetryAfter);
    return true;
}

void RequestRunner::Run::recordRunToEnd()
{
    if (isSuspected() && isWhole() && m_runner.m_crashes.crashes(mark()) > 0) {
        m_runner.m_crashes.recordEnd(mark());
    }
}

bool RequestRunner::Run::mayResend() const
{
    return m_exchange->discardedBody() == 0;
}

bool RequestRunner::Run::mayRetry() const
{
    return m_tried.size() < m_route->maxAttempts && mayResend();
}

const char *RequestRunner::Run::reasonToStay()
{
    if (!isSafe() || !mayRetry()) {
        return mayResend() ? "no_attempt_left" : "body_not_held";
    }
    if (holdTime() > Duration {}) {
        return "held_back";
    }
    return choose(m_runner.m_loop.now()) ? nullptr : "no_other_server";
}

Duration RequestRunner::Run::sinceStart() const
{
    return m_runner.m_loop.now() - m_startedAt;
}

bool RequestRunner::Run::isSafe() const
{
    return Routing::isRepeatable(m_route->kind);
}

void RequestRunner::Run::select()
{
    if (rejectIfHeldBack()) {
        return;
    }
    const Instant now = m_runner.m_loop.now();
    if (!m_exchange->isBodyComplete()) {
        // A load report would be outdated before the body has been sent, and the body delays the answers to probes on a slow link.
        attempt();
        return;
    }
    const std::vector<ServerId> candidates = m_runner.m_servers.candidates(choiceInput(ChoiceInput::Need::Any), ProbesPerRound, now);
    const bool isBestFree = !candidates.empty() && m_runner.m_servers.isKnownFreeAndFast(candidates.front(), now);
    if (isBestFree || mayUseLastSlot(candidates, now)) {
        attempt();
        return;
    }
    if (m_probeRounds >= MaxProbeRounds) {
        waitOrReject();
        return;
    }
    ++m_probeRounds;
    m_pendingProbes = 0;
    const unsigned selectionId = ++m_selectionId;
    for (const ServerId &it : candidates) {
        if (m_runner.m_servers.isFresh(it, now)) {
            continue;
        }
        const bool isStarted = m_runner.m_prober.probe(it, [weak = weak_from_this(), selectionId, it](bool hasAnswered) {
            if (const auto self = weak.lock()) {
                self->guard([&] { self->onProbeFinished(selectionId, it, hasAnswered); });
            }
        });
        m_pendingProbes += isStarted ? 1 : 0;
    }
    if (m_pendingProbes > 0) {
        m_trail.add(sinceStart(), "probe", std::to_string(m_pendingProbes));
    } else if (chooseWith(ChoiceInput::Need::Free, now)) {
        attempt();
    } else {
        waitOrReject();
    }
}

bool RequestRunner::Run::mayUseLastSlot(const std::vector<ServerId> &candidates, Instant now) const
{
    const auto choice = chooseWith(ChoiceInput::Need::Free, now);
    if (!choice) {
        return false;
    }
    const bool isCandidateLocal = !candidates.empty() && m_runner.m_servers.isInLocalDataCentre(candidates.front());
    return m_isWaiting || m_probeRounds >= MaxProbeRounds || (!isCandidateLocal && m_runner.m_servers.isInLocalDataCentre(choice->server));
}

void RequestRunner::Run::waitOrReject()
{
    const Instant now = m_runner.m_loop.now();
    const Instant until = std::min(m_startedAt + m_route->objective / WaitDivisor, m_deadline);
    const std::optional<SendWait> wait = m_runner.m_servers.sendWait(m_service, m_tried, now);
    if (wait ? wait->time > until - now : !m_runner.m_servers.hasFreshReports(m_service, now)) {
        attempt(); // at once: waiting would not help, or is not known to be necessary
        return;
    }
    if (now >= until) {
        leaveQueue();
        // A rejection states that the request has not run. One that may have run is sent to the best server instead.
        if (m_mayHaveRun || chooseWith(ChoiceInput::Need::FreeButSlow, now)) {
            attempt();
        } else {
            reject("busy", retryAfter());
        }
        return;
    }
    if (!m_isWaiting) {
        m_isWaiting = true;
        m_trail.add(sinceStart(), "wait", std::to_string(m_runner.m_waiting[m_service].size()) + "_before");
        ++m_runner.m_counters.waited;
        m_runner.m_waiting[m_service].emplace(waitKey(), weak_from_this());
    }
    m_probeRounds = MaxProbeRounds - 1;
    const unsigned selectionId = ++m_selectionId;
    m_runner.m_loop.cancel(m_waitTimer);
    m_waitTimer = m_runner.m_loop.after(std::min<Duration>(ReprobeInterval, until - now), [weak = weak_from_this(), selectionId] {
        const auto self = weak.lock();
        if (self != nullptr && self->m_selectionId == selectionId && !self->m_isFinished && self->m_attempt == nullptr) {
            self->guard([&] { self->select(); });
        }
    });
}

RequestRunner::WaitKey RequestRunner::Run::waitKey() const
{
    return WaitKey { m_client.priority(*m_route), m_startedAt, m_number };
}

void RequestRunner::Run::leaveQueue()
{
    m_runner.m_loop.cancel(m_waitTimer);
    m_waitTimer = 0;
    if (m_isWaiting) {
        m_isWaiting = false;
        m_runner.m_waiting[m_service].erase(waitKey());
    }
}

bool RequestRunner::Run::hasTried(const ServerId &server) const
{
    return std::find(m_tried.begin(), m_tried.end(), server) != m_tried.end();
}

void RequestRunner::Run::onSlotAvailable(const char *reason)
{
    m_trail.add(sinceStart(), "free", reason);
    ++m_selectionId;
    leaveQueue();
    attempt();
}

void RequestRunner::Run::onProbeFinished(unsigned selectionId, const ServerId &server, bool hasAnswered)
{
    if (selectionId != m_selectionId || m_isFinished || m_attempt != nullptr) {
        return;
    }
    --m_pendingProbes;
    const Instant now = m_runner.m_loop.now();
    if (m_runner.m_servers.isKnownFreeAndFast(server, now) || (m_isWaiting && m_runner.m_servers.isKnownFree(server, now))) {
        onSlotAvailable("probe");
        return;
    }
    const ServerRow *row = m_runner.m_servers.find(server);
    const bool hasReport = hasAnswered && row != nullptr && row->load;
    m_trail.add(sinceStart(), "passed", hasReport ? describe(*row->load) : "no_report");
    if (m_pendingProbes == 0) {
        select();
    }
}

ChoiceInput RequestRunner::Run::choiceInput(ChoiceInput::Need need) const
{
    return ChoiceInput { m_service, m_route->objective, m_tried, need };
}

std::optional<ServerChoice> RequestRunner::Run::chooseWith(ChoiceInput::Need need, Instant now) const
{
    return m_runner.m_servers.choose(choiceInput(need), now);
}

std::optional<ServerChoice> RequestRunner::Run::choose(Instant now) const
{
    for (const auto need : { ChoiceInput::Need::Free, ChoiceInput::Need::FreeButSlow }) {
        if (auto choice = chooseWith(need, now)) {
            return choice;
        }
    }
    return chooseWith(ChoiceInput::Need::Any, now);
}

void RequestRunner::Run::attempt()
{
    leaveQueue();
    const Instant now = m_runner.m_loop.now();
    if (now >= m_deadline) {
        onDeadlineExpired();
        return;
    }
    if (rejectIfHeldBack() || rejectIfStopping()) {
        return;
    }
    if (!mayResend()) {
        reject("body_not_held", ShortRetryAfter);
        return;
    }
    const std::optional<ServerChoice> choice = choose(now);
    if (!choice) {
        rejectWithoutServer(now);
        return;
    }
    m_choice = *choice;
    m_trail.add(sinceStart(), "send", choice->server.value());
    const ServerRow *row = m_runner.m_servers.find(choice->server);
    m_tried.push_back(choice->server);
    ++m_runner.m_counters.attempts;
    m_runner.m_servers.limits().recordSend(choice->server, m_tried.size() > 1 ? SendKind::Further : SendKind::First, now);
    m_sentAt = now;
    m_attemptStartedAt = now;
    m_start = m_runner.m_servers.recordAttemptStart(choice->server, m_route->name, now);
    m_isAttemptOpen = true;
    UpstreamRequest request = makeRequest(now);
    m_sentBody = m_exchange->bodyLength() - request.bodyToFollow;
    m_attempt = m_runner.m_pool.send(row->server, std::move(request));
    m_attempt->onWritable([this] { guard([this] { sendBody(); }); });
    m_attempt->onResponse([this](Http::Response response) { guard([&] { handleResponse(std::move(response)); }); });
    m_attempt->onFailure([this](AttemptFailure failure) { guard([&] { handleFailure(failure); }); });
    startAttemptTimer();
}

UpstreamRequest RequestRunner::Run::makeRequest(Instant now) const
{
    const HeaderNames &headerNames = m_runner.m_headerNames;
    const Http::Request &received = m_exchange->request();
    Http::Request request;
    request.method = received.method;
    request.target = received.target;
    request.fields = received.fields;
    request.fields.removeConnectionFields();
    m_client.setFields(request.fields, headerNames);
    request.fields.set(headerNames.deadlineMilliseconds, formatMilliseconds(m_deadline - now));
    request.fields.set(headerNames.expectedServer, m_choice.server.value());
    const std::uint64_t length = m_exchange->bodyLength();
    UpstreamRequest upstream { Http::serializeHead(request, length), m_requestId, request.method == "HEAD", length };
    if (m_exchange->isBodyComplete() && length <= MaxBodyWithHead) {
        upstream.bytes.append(received.body);
        upstream.bodyToFollow = 0;
    }
    return upstream;
}

void RequestRunner::Run::startAttemptTimer()
{
    if (!isSafe() || !mayRetry()) {
        return;
    }
    const Duration attemptTimeout = std::max(m_route->objective, m_runner.m_servers.workTime(m_service) * AttemptTimeoutFactor);
    m_attemptTimer = m_runner.m_loop.after(attemptTimeout, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->guard([&] { self->onAttemptTimeout(); });
        }
    });
}

void RequestRunner::Run::onAttemptTimeout()
{
    m_attemptTimer = 0;
    if (m_attempt == nullptr) {
        return;
    }
    const char *reason = reasonToStay();
    if (reason == nullptr && !m_runner.withdrawRetryBudget(m_service)) {
        reason = "retry_budget_spent";
    }
    if (reason != nullptr) {
        m_trail.add(sinceStart(), "stay", reason);
        return;
    }
    endAttempt(AttemptResult::TimedOut);
    m_mayHaveRun = true;
    retry("no_response");
}

void RequestRunner::Run::handleResponse(Http::Response response)
{
    const HeaderNames &headerNames = m_runner.m_headerNames;
    if (const std::string *text = response.fields.find(headerNames.serverLoad)) {
        if (const auto load = parseLoadReport(*text, m_runner.m_loop.now())) {
            m_runner.m_servers.updateLoad(m_choice.server, *load);
        }
    }
    recordStatement(response);
    if (response.fields.find(headerNames.notExecuted) != nullptr || response.status == 421) {
        endAttempt(AttemptResult::Rejected);
        handleNotExecuted("rejected_by_server");
        return;
    }
    m_mayHaveRun = true;
    const bool hasStamp = response.fields.find(headerNames.serverStamp) != nullptr;
    const bool hasId = response.fields.find(headerNames.requestId) != nullptr;
    if (!hasStamp || !hasId) {
        endAttempt(AttemptResult::Broken);
        handleUnknownOutcome("unsigned_response", nullptr);
        return;
    }
    recordRunToEnd();
    // A server states that a request has not run by a header field or the status 421. The other statuses with that meaning are
    // reserved for rejections by an entry.
    const bool isFinal = response.status < 500 && !statesNotExecuted(response.status);
    if (isFinal) {
        endAttempt(AttemptResult::Served);
        forwardResponse(std::move(response));
        return;
    }
    endAttempt(AttemptResult::Failed);
    handleUnknownOutcome("failure_of_server", &response);
}

void RequestRunner::Run::recordStatement(const Http::Response &response)
{
    const auto statement = readStatement(response, m_runner.m_headerNames, m_choice.server, m_requestId);
    if (!statement) {
        return;
    }
    m_runner.m_servers.recordStatement(m_choice.server, m_start.born, *statement, m_sentAt, m_runner.m_loop.now());
    if (statement->notices.isLeaving) {
        m_trail.add(sinceStart(), "notice", "leaving");
    } else if (statement->notices.away) {
        m_trail.add(sinceStart(), "notice", "away_" + formatMilliseconds(*statement->notices.away) + "ms");
    }
}

void RequestRunner::Run::handleFailure(AttemptFailure failure)
{
    endAttempt(AttemptResult::Broken);
    if (failure == AttemptFailure::NotSent) {
        // Nothing reached the server, so a retry puts no load on it and needs no budget.
        if (m_isCallerDisconnected) {
            finish("caller_gone", 0);
        } else if (m_tried.size() < MaxConnectAttempts) {
            retry("not_connected");
        } else {
            reject("not_connected", ShortRetryAfter);
        }
        return;
    }
    m_mayHaveRun = true;
    if (const ServerRow *row = m_runner.m_servers.find(m_choice.server); row != nullptr && isWhole()) {
        m_runner.m_crashes.handleLostConnection(row->server, mark());
    }
    handleUnknownOutcome("connection_lost", nullptr);
}

void RequestRunner::Run::handleNotExecuted(const char *reason)
{
    if (m_isCallerDisconnected) {
        giveBackQuota();
        finish("caller_gone", 0);
        return;
    }
    const bool isRetryAllowed = mayRetry();
    if (isRetryAllowed && m_runner.withdrawRetryBudget(m_service)) {
        retry(reason);
    } else if (m_mayHaveRun) {
        fail(502, reason);
    } else {
        reject(isRetryAllowed ? "retry_budget_spent" : reason, ShortRetryAfter);
    }
}

void RequestRunner::Run::handleUnknownOutcome(const char *reason, Http::Response *response)
{
    if (m_isCallerDisconnected) {
        finish("caller_gone", 0);
        return;
    }
    // A request that was running when another server crashed may be the cause: a retry would crash the next one.
    const bool isCrashLikely = response == nullptr && m_mark && m_runner.m_crashes.crashes(*m_mark) > 0;
    const bool isRetryAllowed = isSafe() && mayRetry() && !isCrashLikely;
    if (isRetryAllowed && m_runner.withdrawRetryBudget(m_service)) {
        retry(reason);
    } else if (response != nullptr && !statesNotExecuted(response->status)) {
        forwardResponse(std::move(*response));
    } else {
        fail(502, reason);
    }
}

void RequestRunner::Run::retry(const char *reason)
{
    m_reason = reason;
    m_trail.add(sinceStart(), "again", reason);
    ++m_runner.m_counters.furtherAttempts;
    m_probeRounds = 0;
    select();
}

void RequestRunner::Run::endAttempt(AttemptResult result)
{
    m_runner.m_loop.cancel(m_attemptTimer);
    m_attemptTimer = 0;
    m_sentBody = 0;
    const Instant now = m_runner.m_loop.now();
    m_runner.m_servers.recordAttemptEnd(m_choice.server, result, m_start, now - m_attemptStartedAt, now);
    m_isAttemptOpen = false;
    if (m_attempt != nullptr) {
        m_attempt->cancel();
        // A callback of the attempt may be on the stack: destroy it later.
        m_runner.m_loop.defer([attempt = std::move(m_attempt)] {});
        m_attempt = nullptr;
    }
    m_runner.m_loop.defer([&runner = m_runner, service = m_service, server = m_choice.server] { runner.offerSlot(service, server); });
}

void RequestRunner::Run::onCallerDisconnected()
{
    ++m_runner.m_counters.callerDisconnected;
    const bool mayCancel = isSafe() || !m_exchange->isBodyComplete();
    m_trail.add(sinceStart(), "caller_gone", m_attempt == nullptr ? "unsent" : mayCancel ? "cancelled" : "left_to_finish");
    m_isCallerDisconnected = true;
    if (m_attempt == nullptr) {
        giveBackQuota();
        finish("caller_gone", 0);
        return;
    }
    if (mayCancel) {
        endAttempt(AttemptResult::Abandoned);
        finish("caller_gone", 0);
    }
    // An unsafe request is left to finish, so that its work is done even though nobody waits for the response.
}

}
