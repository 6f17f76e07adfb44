#include "daemon/upstreamclient.h"

#include <algorithm>

#include <Poco/Exception.h>
#include <Poco/String.h>

#include "daemon/httpmessage.h"

namespace Galenabarrow::Daemon
{

namespace
{

constexpr Duration MaxConnectTimeout = std::chrono::seconds(1);
// An action is sent only over a connection that was idle for less than this: the longer a connection is idle, the likelier
// the server closes it just as the action is sent, which makes the outcome unknown.
constexpr Duration MaxIdleForAction = std::chrono::seconds(1);
// Below the usual idle timeout of servers, so that the entry closes a connection first.
constexpr Duration MaxIdle = std::chrono::seconds(10);
constexpr std::size_t MaxIdlePerAddress = 64;

// Reserved for the header section, so that most messages are formatted without reallocation.
constexpr std::size_t TypicalHeadBytes = 1024;

std::string format(const UpstreamRequest &request)
{
    std::string text;
    text.reserve(TypicalHeadBytes + request.body.size());
    text.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    appendHeader(text, "Host", request.address);
    for (const auto &[name, value] : request.headers) {
        appendHeader(text, name, value);
    }
    appendHeader(text, "Content-Length", std::to_string(request.body.size()));
    appendHeader(text, "Connection", "Keep-Alive");
    text.append("\r\n").append(request.body);
    return text;
}

ResultCode codeFor(ResponseEnd end)
{
    switch (end) {
    case ResponseEnd::Whole:
        return ResultCode::Ok;
    case ResponseEnd::NoResponse:
    case ResponseEnd::Malformed:
        return ResultCode::ConnectionLost;
    case ResponseEnd::CutShort:
        return ResultCode::AnswerCutShort;
    case ResponseEnd::TooLarge:
        return ResultCode::AnswerTooLarge;
    }
    return ResultCode::InternalError;
}

void setEnd(UpstreamResponse &response, Entry::AttemptEnd end, ResultCode code)
{
    response.end = end;
    response.code = code;
}

}

std::string UpstreamResponse::header(std::string_view name) const
{
    const auto it = std::find_if(headers.begin(), headers.end(), [name](const auto &field) { return isSameHeader(field.first, name); });
    return it == headers.end() ? std::string() : it->second;
}

void ExchangeHandle::cancel()
{
    end(State::Cancelled);
}

void ExchangeHandle::expire()
{
    end(State::Expired);
}

void ExchangeHandle::end(State state)
{
    const std::lock_guard lock(m_mutex);
    if (m_state == State::Active) {
        m_state = state;
    }
    if (!m_socket) {
        return;
    }
    try {
        m_socket->shutdown();
    } catch (const Poco::Exception &) {
        // Already closed by the server.
    }
}

ExchangeHandle::State ExchangeHandle::state() const
{
    const std::lock_guard lock(m_mutex);
    return m_state;
}

bool ExchangeHandle::attach(const Poco::Net::StreamSocket &socket)
{
    const std::lock_guard lock(m_mutex);
    m_socket = socket;
    return m_state == State::Active;
}

void ExchangeHandle::detach()
{
    const std::lock_guard lock(m_mutex);
    m_socket.reset();
}

UpstreamClient::UpstreamClient(const Clock &clock)
    : m_clock(clock)
{
}

UpstreamResponse UpstreamClient::exchange(const UpstreamRequest &request, ExchangeHandle &handle)
{
    UpstreamResponse response;
    std::unique_ptr<UpstreamSession> session = takeIdle(request);
    try {
        if (!session) {
            session = connect(request);
        }
    } catch (const Poco::Exception &) {
        setEnd(response, Entry::AttemptEnd::ConnectFailed, ResultCode::NotSent);
        return response;
    }
    if (!handle.attach(session->socket())) {
        setEnd(response, Entry::AttemptEnd::FailedBeforeSend, ResultCode::NotSent);
        return response;
    }
    response = sendAndReceive(request, *session, handle);
    handle.detach();
    // Any other connection may still deliver a response, which must never reach another call.
    const bool isClean = response.end == Entry::AttemptEnd::Answered && handle.state() == ExchangeHandle::State::Active;
    if (isClean && !session->hasLeftover() && Poco::icompare(response.header("Connection"), "close") != 0) {
        addIdle(request.address, std::move(session));
    } else {
        ++m_counters.connectionsAbandoned;
    }
    return response;
}

UpstreamResponse UpstreamClient::sendAndReceive(const UpstreamRequest &request, UpstreamSession &session, ExchangeHandle &handle)
{
    UpstreamResponse response;
    session.resetBytesSent();
    try {
        const std::string bytes = format(request);
        // Most requests fit into the send buffer and need no send timeout, which saves a system call.
        const std::size_t sent = session.writeSome(bytes);
        if (sent < bytes.size()) {
            session.setSendTimeout(request.deadline - m_clock.now());
            session.writeAll(bytes, sent);
        }
        receive(request, session, response);
    } catch (const Poco::TimeoutException &) {
        setEnd(response, Entry::AttemptEnd::TimedOut, ResultCode::AttemptTimedOut);
    } catch (const Poco::Exception &) {
        setEnd(response, Entry::AttemptEnd::FailedAfterSend, ResultCode::ConnectionLost);
    }
    if (response.end == Entry::AttemptEnd::Answered) {
        return response;
    }
    if (session.bytesSent() == 0) {
        setEnd(response, Entry::AttemptEnd::FailedBeforeSend, ResultCode::NotSent);
    } else if (handle.state() == ExchangeHandle::State::Cancelled) {
        setEnd(response, Entry::AttemptEnd::Cancelled, ResultCode::OutcomeUnknown);
    } else if (handle.state() == ExchangeHandle::State::Expired) {
        setEnd(response, Entry::AttemptEnd::TimedOut, ResultCode::AttemptTimedOut);
    }
    return response;
}

void UpstreamClient::receive(const UpstreamRequest &request, UpstreamSession &session, UpstreamResponse &response)
{
    Poco::Net::HTTPResponse head;
    session.setReceiveTimeout(request.deadline - m_clock.now());
    const ResponseEnd end = session.receiveWhole(request.method, head, response.body);
    if (end != ResponseEnd::Whole) {
        response.body.clear();
        setEnd(response, Entry::AttemptEnd::FailedAfterSend, codeFor(end));
        return;
    }
    setEnd(response, Entry::AttemptEnd::Answered, ResultCode::Ok);
    response.status = static_cast<std::uint16_t>(session.status());
    response.reason = head.getReason();
    response.headers.assign(head.begin(), head.end());
}

void UpstreamClient::closeIdle(Instant now)
{
    const std::lock_guard lock(m_mutex);
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        std::erase_if(it->second, [now](const Idle &idle) { return now - idle.since > MaxIdle; });
        it = it->second.empty() ? m_idle.erase(it) : std::next(it);
    }
}

const UpstreamCounters &UpstreamClient::counters() const
{
    return m_counters;
}

std::unique_ptr<UpstreamSession> UpstreamClient::takeIdle(const UpstreamRequest &request)
{
    const Duration maxIdle = request.isAction ? MaxIdleForAction : MaxIdle;
    const Instant now = m_clock.now();
    const std::lock_guard lock(m_mutex);
    const auto it = m_idle.find(request.address);
    // The last one was idle for the shortest time.
    while (it != m_idle.end() && !it->second.empty() && now - it->second.back().since < maxIdle) {
        std::unique_ptr<UpstreamSession> session = std::move(it->second.back().session);
        it->second.pop_back();
        if (!session->isStale()) {
            ++m_counters.connectionsReused;
            return session;
        }
    }
    return nullptr;
}

std::unique_ptr<UpstreamSession> UpstreamClient::connect(const UpstreamRequest &request)
{
    auto session = std::make_unique<UpstreamSession>(request.address);
    session->open(std::min(request.deadline - m_clock.now(), MaxConnectTimeout));
    ++m_counters.connectionsOpened;
    return session;
}

void UpstreamClient::addIdle(const std::string &address, std::unique_ptr<UpstreamSession> session)
{
    const std::lock_guard lock(m_mutex);
    std::vector<Idle> &idle = m_idle[address];
    if (idle.size() >= MaxIdlePerAddress) {
        idle.erase(idle.begin());
    }
    idle.push_back(Idle { std::move(session), m_clock.now() });
}

}
