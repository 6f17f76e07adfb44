#include "daemon/httpserver.h"

#include <algorithm>
#include <array>
#include <memory>
#include <sstream>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/Runnable.h>

#include "base/errorguard.h"
#include "daemon/httpinput.h"
#include "daemon/wholemessage.h"
#include "wire/socketwait.h"

namespace Galenabarrow::Daemon
{

namespace
{

/// The error reply to a request that was not read completely. Its outcome is unknown, because it may be a resend of an
/// action that ran.
HttpReply incompleteRequestReply(const Error &error)
{
    return errorReply(statusForInput(error.code), Outcome::Unknown, error.code, error.detail);
}

constexpr int ListenBacklog = 256;
constexpr int MinThreads = 2;
// A refused connection stays open for this long: closing it with unread bytes would reset it, and the caller could lose
// the error.
constexpr Duration RefusedLinger = std::chrono::milliseconds(500);
constexpr std::size_t MaxRefused = 64;
constexpr Duration AcceptInterval = std::chrono::milliseconds(100);
// After a request is refused for its header or body, up to this much further input is read and discarded, so that closing
// the connection does not reset it before the caller has read the error.
constexpr std::size_t MaxDiscardedBytes = std::size_t { 1 } << 20U;
constexpr Duration DiscardTimeout = std::chrono::milliseconds(200);

// Reserved for the header section, so that most messages are formatted without reallocation.
constexpr std::size_t TypicalHeadBytes = 1024;

Poco::Timespan toTimespan(Duration duration)
{
    return { duration.count() };
}

void shutDown(Poco::Net::StreamSocket &socket)
{
    try {
        socket.shutdown();
    } catch (const Poco::Exception &) {
        // Already closed by the other side.
    }
}

void discardInput(Poco::Net::StreamSocket &socket)
{
    std::array<char, 16'384> buf {};
    std::size_t total = 0;
    socket.shutdownSend();
    while (total < MaxDiscardedBytes && Wire::waitReadable(socket, DiscardTimeout)) {
        const int n = socket.receiveBytes(buf.data(), static_cast<int>(buf.size()));
        if (n <= 0) {
            return;
        }
        total += static_cast<std::size_t>(n);
    }
}

std::string format(const HttpReply &reply, bool keepAlive, bool withBody)
{
    const auto status = static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply.status);
    std::string text;
    text.reserve(TypicalHeadBytes + reply.body.size());
    text.append("HTTP/1.1 ").append(std::to_string(reply.status)).append(" ");
    text.append(Poco::Net::HTTPResponse::getReasonForStatus(status)).append("\r\n");
    for (const auto &[name, value] : reply.headers) {
        appendHeader(text, name, value);
    }
    if (!reply.contentType.empty()) {
        appendHeader(text, "Content-Type", reply.contentType);
    }
    appendHeader(text, "Content-Length", std::to_string(reply.body.size()));
    appendHeader(text, "Connection", keepAlive ? "Keep-Alive" : "Close");
    text.append("\r\n");
    if (withBody) {
        text.append(reply.body);
    }
    return text;
}

}

/// One accepted connection; deletes itself at the end of run().
class HttpServer::Connection : public Poco::Runnable
{
public:
    Connection(const Poco::Net::StreamSocket &socket, HttpServer &server)
        : m_socket(socket)
        , m_server(server)
    {
    }

    void run() override
    {
        const std::unique_ptr<Connection> self(this);
        m_server.add(*this, m_socket);
        try {
            serve();
        } catch (const Poco::Exception &) {
            // The connection failed, so no reply can be sent.
        }
        m_server.remove(*this);
    }

private:
    using Session = WholeMessageSession<Poco::Net::HTTPServerSession>;

    void serve()
    {
        m_socket.setNoDelay(true);
        Session session(m_socket, m_server.m_params);
        const HttpLimits &limits = m_server.m_limits;
        for (Duration wait = limits.requestTimeout; !m_server.m_closing && hasNextRequest(session, wait); wait = limits.idleTimeout) {
            ++m_server.m_inProgress;
            const bool isReusable = tryServeOne(session);
            --m_server.m_inProgress;
            if (!isReusable) {
                return;
            }
        }
    }

    /// Waits for the first byte of the next request or the end of the stream.
    bool hasNextRequest(const Session &session, Duration timeout) const
    {
        return session.hasLeftover() || Wire::waitReadable(m_socket, timeout);
    }

    bool tryServeOne(Session &session)
    {
        try {
            m_server.setReading(*this, true);
            return serveOne(session);
        } catch (const Poco::TimeoutException &) {
            // closeSlowSenders() may have counted it at the same moment.
            m_server.m_counters.slowSenders += m_server.setReading(*this, false) ? 1 : 0;
        } catch (const Poco::Net::MessageException &) {
            sendError(session, { ResultCode::HeaderInvalid, "the header section cannot be parsed" });
        } catch (const Poco::Exception &) {
            m_server.setReading(*this, false); // the connection failed, so no reply can be sent
        } catch (const std::exception &error) {
            m_server.setReading(*this, false);
            recordUnexpectedError("connection", "", error.what());
        }
        return false;
    }

    bool serveOne(Session &session)
    {
        std::string text;
        const HeadEnd end = session.readHead(text, m_server.m_limits.headerBytes);
        if (end == HeadEnd::TooLarge) {
            sendError(session, { ResultCode::HeaderTooLarge, "the header section is larger than the limit" });
        }
        if (end != HeadEnd::Whole) {
            return false;
        }
        if (const Result<void> lines = checkHeaderLines(text); !lines) {
            sendError(session, lines.error());
            return false;
        }
        HttpRequest request { {}, {}, m_server.m_clock.now(), m_socket };
        std::istringstream stream(text);
        request.head.read(stream);
        const Result<std::size_t> length = checkHead(request.head, m_server.m_limits.bodyBytes);
        if (!length) {
            sendError(session, length.error());
            return false;
        }
        if (request.head.getExpectContinue()) {
            session.writeAll("HTTP/1.1 100 Continue\r\n\r\n");
        }
        if (!session.readBody(request.body, *length)) {
            return false; // the caller disconnected before its request was complete
        }
        m_server.setReading(*this, false);
        ++m_server.m_counters.requests;
        return send(session, callHandler(request), request.head);
    }

    /// The outcome is unknown after an exception of the handler.
    HttpReply callHandler(HttpRequest &request)
    {
        HttpReply reply;
        if (!runGuarded(
                "handler", [&] { return request.head.getURI(); }, [&] { reply = m_server.m_handler(request); })) {
            reply = errorReply(500, Outcome::Unknown, ResultCode::InternalError, "an unexpected error");
        }
        return reply;
    }

    bool send(Session &session, const HttpReply &reply, const Poco::Net::HTTPRequest &head)
    {
        const bool keepAlive = head.getKeepAlive() && !m_server.m_closing;
        session.writeAll(format(reply, keepAlive, head.getMethod() != "HEAD"));
        return keepAlive;
    }

    void sendError(Session &session, const Error &error)
    {
        ++m_server.m_counters.badRequests;
        m_server.setReading(*this, false);
        session.writeAll(format(incompleteRequestReply(error), false, true));
        discardInput(m_socket);
    }

    Poco::Net::StreamSocket m_socket;
    HttpServer &m_server;
};

HttpServer::HttpServer(HttpLimits limits, const Clock &clock)
    : m_limits(limits)
    , m_clock(clock)
    , m_pool(MinThreads, std::max(MinThreads, static_cast<int>(limits.connections)))
{
}

HttpServer::~HttpServer()
{
    stop();
}

Result<void> HttpServer::listen(const std::string &address)
{
    try {
        m_socket.bind(Poco::Net::SocketAddress(address), true);
        m_socket.listen(ListenBacklog);
        return {};
    } catch (const Poco::Exception &ec) {
        return failure(ResultCode::AddressUnavailable, "cannot listen on " + address + ": " + ec.displayText());
    }
}

void HttpServer::serve(Handler handler)
{
    m_handler = std::move(handler);
    m_params = new Poco::Net::HTTPServerParams;
    m_params->setTimeout(toTimespan(m_limits.requestTimeout));
    m_acceptor = std::thread([this] { accept(); });
}

void HttpServer::accept()
{
    while (!m_stopping) {
        try {
            discardRefused();
            if (Wire::waitReadable(m_socket, AcceptInterval)) {
                startConnection(m_socket.acceptConnection());
            }
        } catch (const Poco::Exception &) {
            // The caller disconnected before it was accepted; the next one is accepted as usual.
        }
    }
}

void HttpServer::startConnection(Poco::Net::StreamSocket socket)
{
    auto connection = std::make_unique<Connection>(socket, *this);
    try {
        m_pool.start(*connection);
        (void)connection.release(); // deletes itself at the end of run()
    } catch (const Poco::NoThreadAvailableException &) {
        ++m_counters.connectionsRefused;
        ++m_counters.badRequests;
        const Error error { ResultCode::TooManyConnections, "the limit of connections is reached" };
        const std::string reply = format(incompleteRequestReply(error), false, true);
        // Non-blocking, because no connection may block the acceptor.
        socket.setBlocking(false);
        socket.sendBytes(reply.data(), static_cast<int>(reply.size()));
        socket.shutdownSend();
        m_refused.push_back(Refused { socket, m_clock.now() });
    }
}

void HttpServer::discardRefused()
{
    std::array<char, 4096> buf {};
    const Instant now = m_clock.now();
    const auto isDone = [&](Refused &it) {
        try {
            return now - it.since > RefusedLinger || it.socket.receiveBytes(buf.data(), static_cast<int>(buf.size())) == 0;
        } catch (const Poco::TimeoutException &) {
            return false; // nothing to read at present
        } catch (const Poco::Exception &) {
            return true;
        }
    };
    std::erase_if(m_refused, isDone);
    while (m_refused.size() > MaxRefused) {
        m_refused.pop_front();
    }
}

std::string HttpServer::address() const
{
    return m_socket.address().toString();
}

void HttpServer::closeSlowSenders(Instant now)
{
    const std::lock_guard lock(m_mutex);
    for (auto &[connection, state] : m_connections) {
        if (state.isReading && now - state.readingSince > m_limits.requestTimeout) {
            state.isReading = false;
            ++m_counters.slowSenders;
            shutDown(state.socket);
        }
    }
}

void HttpServer::closeAfterReplies()
{
    m_closing = true;
}

std::size_t HttpServer::requestsInProgress() const
{
    return m_inProgress;
}

const HttpCounters &HttpServer::counters() const
{
    return m_counters;
}

void HttpServer::stop()
{
    m_closing = true;
    m_stopping = true;
    if (m_acceptor.joinable()) {
        m_acceptor.join();
    }
    {
        const std::lock_guard lock(m_mutex);
        for (auto &[connection, state] : m_connections) {
            shutDown(state.socket);
        }
    }
    m_pool.joinAll();
}

void HttpServer::add(Connection &connection, const Poco::Net::StreamSocket &socket)
{
    const std::lock_guard lock(m_mutex);
    m_connections[&connection] = ConnectionState { socket, false, {} };
    if (m_stopping) {
        shutDown(m_connections[&connection].socket);
    }
}

void HttpServer::remove(Connection &connection)
{
    const std::lock_guard lock(m_mutex);
    m_connections.erase(&connection);
}

bool HttpServer::setReading(Connection &connection, bool reading)
{
    const std::lock_guard lock(m_mutex);
    ConnectionState &state = m_connections[&connection];
    state.readingSince = m_clock.now();
    return std::exchange(state.isReading, reading);
}

}
