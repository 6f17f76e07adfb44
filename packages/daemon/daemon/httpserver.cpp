#include "daemon/httpserver.h"

#include <array>
#include <sstream>

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>

#include "daemon/httpinput.h"
#include "daemon/wholemessage.h"

namespace Galenabarrow::Daemon
{

namespace
{
constexpr int ListenBacklog = 256;
constexpr int MaxQueuedConnections = 64;
// Threads that only tell callers above the limit of connections so.
constexpr int RefusingThreads = 8;
constexpr int ThreadIdleSeconds = 30;
// A caller that was refused for its header or body gets this much of its data read, so that closing the connection does
// not reset it before the caller has read the error.
constexpr std::size_t MaxDiscardedBytes = std::size_t { 1 } << 20U;
const Poco::Timespan DiscardPause(0, 200000);

Poco::Timespan toTimespan(Duration duration)
{
    return { duration.count() };
}

void discardInput(Poco::Net::StreamSocket &socket)
{
    std::array<char, 16 * 1024> buf {};
    std::size_t total = 0;
    socket.shutdownSend();
    while (total < MaxDiscardedBytes && socket.poll(DiscardPause, Poco::Net::Socket::SELECT_READ)) {
        const int n = socket.receiveBytes(buf.data(), static_cast<int>(buf.size()));
        if (n <= 0) {
            return;
        }
        total += static_cast<std::size_t>(n);
    }
}

std::string format(const HttpReply &reply, bool keepAlive, bool withBody)
{
    Poco::Net::HTTPResponse head(Poco::Net::HTTPMessage::HTTP_1_1, static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply.status));
    for (const auto &[name, value] : reply.headers) {
        head.add(name, value);
    }
    if (!reply.contentType.empty()) {
        head.setContentType(reply.contentType);
    }
    head.setContentLength64(static_cast<Poco::Int64>(reply.body.size()));
    head.setKeepAlive(keepAlive);
    std::ostringstream text;
    head.write(text);
    if (withBody) {
        text << reply.body;
    }
    return text.str();
}

}

/// One accepted connection.
class HttpServer::Connection : public Poco::Net::TCPServerConnection
{
public:
    Connection(const Poco::Net::StreamSocket &socket, HttpServer &server, Poco::Net::HTTPServerParams::Ptr params)
        : TCPServerConnection(socket)
        , m_server(server)
        , m_params(std::move(params))
    {
    }

    void run() override
    {
        const bool accepted = m_server.add(*this, socket());
        try {
            serve(accepted);
        } catch (const Poco::Exception &) {
            // A connection that broke; nobody is left to be told.
        }
        m_server.remove(*this);
    }

private:
    using Session = WholeMessageSession<Poco::Net::HTTPServerSession>;

    void serve(bool accepted)
    {
        socket().setNoDelay(true);
        Session session(socket(), m_params);
        if (!accepted) {
            ++m_server.m_counters.connectionsRefused;
            sendError(session, { ResultCode::TooManyConnections, "the limit of connections is reached" });
            return;
        }
        while (!m_server.m_closing && session.hasMoreRequests()) {
            ++m_server.m_inProgress;
            const bool goesOn = serveOneGuarded(session);
            --m_server.m_inProgress;
            if (!goesOn) {
                return;
            }
        }
    }

    bool serveOneGuarded(Session &session)
    {
        try {
            m_server.setReading(*this, true);
            return serveOne(session);
        } catch (const Poco::Net::MessageException &) {
            sendError(session, { ResultCode::HeaderInvalid, "the header section cannot be parsed" });
        } catch (const Poco::Exception &) {
            m_server.setReading(*this, false); // the connection broke; nobody is left to be told
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
        HttpRequest request { {}, {}, m_server.m_clock.now(), socket() };
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
            return false; // the caller has gone in the middle of its request
        }
        m_server.setReading(*this, false);
        ++m_server.m_counters.requests;
        return send(session, m_server.m_handler(request), request.head);
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
        session.writeAll(format(errorReply(statusForInput(error.code), Outcome::NotRun, error.code, error.detail), false, true));
        discardInput(socket());
    }

    HttpServer &m_server;
    Poco::Net::HTTPServerParams::Ptr m_params;
};

/// Makes the connections of a server.
class HttpServer::Factory : public Poco::Net::TCPServerConnectionFactory
{
public:
    Factory(HttpServer &server, Poco::Net::HTTPServerParams::Ptr params)
        : m_server(server)
        , m_params(std::move(params))
    {
    }

    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override
    {
        return new Connection(socket, m_server, m_params);
    }

private:
    HttpServer &m_server;
    Poco::Net::HTTPServerParams::Ptr m_params;
};

HttpServer::HttpServer(HttpLimits limits, const Clock &clock)
    : m_limits(limits)
    , m_clock(clock)
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
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setKeepAlive(true);
    params->setMaxKeepAliveRequests(0);
    params->setTimeout(toTimespan(m_limits.requestTime));
    params->setKeepAliveTimeout(toTimespan(m_limits.keepAlive));
    params->setMaxThreads(static_cast<int>(m_limits.connections) + RefusingThreads);
    params->setMaxQueued(MaxQueuedConnections);
    params->setThreadIdleTime(Poco::Timespan(ThreadIdleSeconds, 0));
    m_server = std::make_unique<Poco::Net::TCPServer>(new Factory(*this, params), m_socket, params);
    m_server->start();
}

std::string HttpServer::address() const
{
    return m_socket.address().toString();
}

void HttpServer::closeSlowSenders(Instant now)
{
    const std::lock_guard lock(m_mutex);
    for (auto &[connection, state] : m_connections) {
        if (state.isReading && now - state.readingSince > m_limits.requestTime) {
            state.isReading = false;
            ++m_counters.slowSenders;
            state.socket.shutdown();
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
    if (!m_server) {
        return;
    }
    m_closing = true;
    m_server->stop();
    {
        const std::lock_guard lock(m_mutex);
        for (auto &[connection, state] : m_connections) {
            try {
                state.socket.shutdown();
            } catch (const Poco::Exception &) {
                // Already closed by the other side.
            }
        }
    }
    m_server.reset(); // waits for the threads of the connections
}

bool HttpServer::add(Connection &connection, const Poco::Net::StreamSocket &socket)
{
    const std::lock_guard lock(m_mutex);
    const bool accepted = m_connections.size() < m_limits.connections;
    m_connections[&connection] = ConnectionState { socket, false, {} };
    return accepted;
}

void HttpServer::remove(Connection &connection)
{
    const std::lock_guard lock(m_mutex);
    m_connections.erase(&connection);
}

void HttpServer::setReading(Connection &connection, bool reading)
{
    const std::lock_guard lock(m_mutex);
    ConnectionState &state = m_connections[&connection];
    state.isReading = reading;
    state.readingSince = m_clock.now();
}

}
