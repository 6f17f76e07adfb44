#include "http/server.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "base/errorguard.h"

namespace Galenabarrow::Http
{

/// One connection of a caller.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(Server &server, std::shared_ptr<Net::Stream> stream);
    void start();
    void respond(Response response);
    void close();
    bool hasRequest() const;
    bool isSending() const;
    bool isIdle() const;
    /// Reads from the connection only while the handler has room for more of the body.
    void limitReading();

private:
    void receive(std::string_view bytes);
    void processInput();
    void rejectRequest(ResultCode code);
    void dispatchRequest();
    /// Passes the request on to the handler. An exception of the handler is answered with 500: the outcome is unknown.
    void callHandler();
    /// Runs \p work for this connection, which ends if an exception is thrown.
    template<typename Work>
    void guard(const Work &work);
    void sendResponse(Response response);
    bool mayDispatchBeforeBody() const;
    void dispatchBeforeBody();
    /// Passes received bytes of the body on to the exchange, or drops them after the response.
    void readBody();
    void finishBody();
    /// Ends the request in progress, as no response can be sent any more or its caller has left.
    void handleStreamEnd();
    void armTimer();
    void handleTimeout();
    void removeIfClosed();

    Server &m_server;
    std::shared_ptr<Net::Stream> m_stream;
    RequestReader m_reader;
    ExchangePointer m_exchange;
    /// The request was handed over, or answered, before the end of its body.
    bool m_isReadingBody = false;
    /// The response was the last one; the connection closes after the rest of the body, as closing it earlier could reset it before
    /// the caller has read the response.
    bool m_closesAfterBody = false;
    /// The last response was written; the connection closes once it is sent.
    bool m_isEnding = false;
    Net::TimerId m_timer = 0;
    ReadState m_timerState = ReadState::Idle;
    bool m_timerForBody = false;
};

Exchange::Exchange(Request request, std::uint64_t bodyLength, Instant receivedAt, std::string peer,
                   std::weak_ptr<ServerConnection> connection)
    : m_request(std::move(request))
    , m_bodyLength(bodyLength)
    , m_receivedAt(receivedAt)
    , m_peer(std::move(peer))
    , m_connection(std::move(connection))
{
}

const Request &Exchange::request() const
{
    return m_request;
}

std::uint64_t Exchange::bodyLength() const
{
    return m_bodyLength;
}

std::uint64_t Exchange::receivedBody() const
{
    return m_discardedBody + m_request.body.size();
}

std::uint64_t Exchange::discardedBody() const
{
    return m_discardedBody;
}

bool Exchange::isBodyComplete() const
{
    return receivedBody() == m_bodyLength;
}

void Exchange::onBody(std::function<void()> callback)
{
    m_bodyCallback = std::move(callback);
}

void Exchange::discardBody(std::uint64_t end)
{
    assert(end <= receivedBody());
    if (end <= m_discardedBody) {
        return;
    }
    m_request.body.erase(0, end - m_discardedBody);
    m_discardedBody = end;
    if (const auto connection = m_connection.lock()) {
        connection->limitReading();
    }
}

void Exchange::addBody(std::string_view bytes)
{
    m_request.body.append(bytes);
    assert(receivedBody() <= m_bodyLength);
    if (m_bodyCallback) {
        const auto callback = m_bodyCallback; // it may answer, which resets the member
        callback();
    }
}

Instant Exchange::receivedAt() const
{
    return m_receivedAt;
}

const std::string &Exchange::peer() const
{
    return m_peer;
}

void Exchange::respond(Response response)
{
    if (m_isAnswered) {
        return;
    }
    m_isAnswered = true;
    m_disconnected = nullptr;
    m_bodyCallback = nullptr;
    if (const auto connection = m_connection.lock()) {
        connection->respond(std::move(response));
    }
}

bool Exchange::isAnswered() const
{
    return m_isAnswered;
}

void Exchange::abort()
{
    m_isAnswered = true;
    m_disconnected = nullptr;
    m_bodyCallback = nullptr;
    if (const auto connection = m_connection.lock()) {
        connection->close();
    }
}

void Exchange::onDisconnected(std::function<void()> callback)
{
    m_disconnected = std::move(callback);
}

ServerConnection::ServerConnection(Server &server, std::shared_ptr<Net::Stream> stream)
    : m_server(server)
    , m_stream(std::move(stream))
    , m_reader(server.m_limits.reader)
{
}

void ServerConnection::start()
{
    m_stream->onData([this](std::string_view bytes) { receive(bytes); });
    m_stream->onEnd([this](Net::StreamEnd) { handleStreamEnd(); });
    m_stream->onPeerEnd([this] { handleStreamEnd(); });
    armTimer();
}

bool ServerConnection::hasRequest() const
{
    return m_exchange != nullptr || m_reader.state() != ReadState::Idle;
}

bool ServerConnection::isSending() const
{
    return m_stream->untaken() > 0;
}

bool ServerConnection::isIdle() const
{
    return !hasRequest() && !m_isEnding && !isSending();
}

void ServerConnection::receive(std::string_view bytes)
{
    const auto self = shared_from_this();
    if (m_isEnding) {
        return; // a request that was sent before the caller learned of the close is ignored
    }
    m_reader.feed(bytes);
    processInput();
}

void ServerConnection::processInput()
{
    if (m_isReadingBody) {
        readBody();
    }
    if (m_isReadingBody || m_isEnding || !m_stream->isOpen()) {
        return;
    }
    if (m_exchange != nullptr) {
        return; // a pipelined request waits until the previous response is sent
    }
    if (m_reader.state() == ReadState::Failed) {
        rejectRequest(m_reader.failure());
        return;
    }
    if (m_reader.state() == ReadState::Complete) {
        dispatchRequest();
        return;
    }
    if (m_reader.consumeExpectContinue()) {
        m_stream->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (mayDispatchBeforeBody()) {
        dispatchBeforeBody();
        return;
    }
    armTimer();
}

void ServerConnection::rejectRequest(ResultCode code)
{
    const unsigned status = code == ResultCode::HeaderTooLarge ? 431 : code == ResultCode::BodyTooLarge ? 413 : 400;
    Response response = makeResponse(status);
    response.keepsAlive = false;
    m_isEnding = true;
    m_stream->write(serialize(response, false));
    m_stream->closeAfterFlush();
    removeIfClosed();
}

void ServerConnection::dispatchRequest()
{
    m_server.m_loop.cancel(m_timer);
    m_timer = 0;
    m_reader.setLimits(m_server.m_limits.reader);
    Request request = m_reader.take();
    const std::uint64_t bodyLength = request.body.size();
    m_exchange = std::make_shared<Exchange>(std::move(request), bodyLength, m_server.m_loop.now(), m_stream->peer(), weak_from_this());
    callHandler();
}

void ServerConnection::callHandler()
{
    const ExchangePointer exchange = m_exchange;
    if (!runGuarded(
            "handler", [&] { return exchange->request().target; }, [&] { m_server.m_handler(exchange); })) {
        exchange->respond(makeResponse(500));
    }
}

template<typename Work>
void ServerConnection::guard(const Work &work)
{
    if (!runGuarded(
            "connection", [this] { return m_stream->peer(); }, work)) {
        close();
    }
}

bool ServerConnection::mayDispatchBeforeBody() const
{
    const std::size_t from = m_server.m_limits.forwardFrom;
    const std::optional<std::uint64_t> length = m_reader.statedBodyLength();
    return from > 0 && m_reader.state() == ReadState::Partial && length && *length >= from;
}

void ServerConnection::dispatchBeforeBody()
{
    m_server.m_loop.cancel(m_timer);
    m_timer = 0;
    m_isReadingBody = true;
    Request request = m_reader.head();
    const std::uint64_t length = *m_reader.statedBodyLength();
    request.body.reserve(std::min<std::uint64_t>(length, m_server.m_limits.bodyBuffer));
    request.body.append(m_reader.takeBody());
    m_exchange = std::make_shared<Exchange>(std::move(request), length, m_server.m_loop.now(), m_stream->peer(), weak_from_this());
    callHandler();
    limitReading();
}

void ServerConnection::readBody()
{
    if (m_reader.state() == ReadState::Failed) {
        handleStreamEnd();
        return;
    }
    const std::string bytes = m_reader.takeBody();
    if (m_reader.state() == ReadState::Complete) {
        finishBody();
    }
    if (const ExchangePointer exchange = m_exchange; exchange != nullptr && !bytes.empty()) {
        exchange->addBody(bytes);
        limitReading();
    }
}

void ServerConnection::finishBody()
{
    m_isReadingBody = false;
    m_reader.setLimits(m_server.m_limits.reader);
    m_reader.take();
    if (m_closesAfterBody) {
        m_isEnding = true;
        m_stream->closeAfterFlush();
        removeIfClosed();
    }
}

void ServerConnection::limitReading()
{
    const bool isFull = m_isReadingBody && m_exchange != nullptr && m_exchange->request().body.size() >= m_server.m_limits.bodyBuffer;
    if (isFull) {
        m_stream->pauseReading();
    } else {
        m_stream->resumeReading();
    }
}

void ServerConnection::respond(Response response)
{
    const auto self = shared_from_this();
    guard([&] { sendResponse(std::move(response)); });
}

void ServerConnection::sendResponse(Response response)
{
    const auto self = shared_from_this();
    const bool isHead = m_exchange->request().method == "HEAD";
    response.keepsAlive = m_exchange->request().keepsAlive && !m_server.m_isClosing;
    m_exchange.reset();
    m_stream->write(serialize(response, isHead));
    if (!m_stream->isOpen()) {
        removeIfClosed();
        return;
    }
    limitReading();
    if (!response.keepsAlive && m_isReadingBody) {
        m_closesAfterBody = true;
        armTimer();
        return;
    }
    if (!response.keepsAlive) {
        m_isEnding = true;
        m_stream->closeAfterFlush();
        return;
    }
    armTimer();
    if (m_reader.state() == ReadState::Complete || m_reader.state() == ReadState::Failed) {
        m_server.m_loop.defer([self] { self->guard([&] { self->processInput(); }); });
    }
}

void ServerConnection::close()
{
    m_stream->close();
    removeIfClosed();
}

void ServerConnection::handleStreamEnd()
{
    const auto self = shared_from_this();
    const ExchangePointer exchange = std::move(m_exchange);
    m_exchange.reset();
    m_isEnding = true;
    if (isSending()) {
        m_stream->closeAfterFlush(); // a caller that has closed only its side still gets the earlier responses
    } else {
        m_stream->close();
    }
    removeIfClosed();
    if (exchange == nullptr) {
        return;
    }
    exchange->m_isAnswered = true;
    exchange->m_bodyCallback = nullptr;
    if (const auto callback = std::exchange(exchange->m_disconnected, nullptr)) {
        callback();
    }
}

void ServerConnection::armTimer()
{
    const ReadState state = m_reader.state();
    const bool isBody = m_reader.hasHeader();
    if (m_timer != 0 && state == ReadState::Partial && m_timerState == state && isBody == m_timerForBody) {
        return; // further bytes do not extend the time limit of a slow sender
    }
    m_server.m_loop.cancel(m_timer);
    m_timerState = state;
    m_timerForBody = isBody;
    const ServerLimits &limits = m_server.m_limits;
    const Duration timeout = state != ReadState::Partial ? limits.idleTimeout : isBody ? limits.bodyTimeout : limits.headerTimeout;
    m_timer = m_server.m_loop.after(timeout, [self = weak_from_this()] {
        if (const auto connection = self.lock()) {
            connection->guard([&] { connection->handleTimeout(); });
        }
    });
}

void ServerConnection::handleTimeout()
{
    const auto self = shared_from_this();
    m_timer = 0;
    if (m_exchange != nullptr) {
        return;
    }
    if (m_reader.state() == ReadState::Idle) {
        if (isSending()) {
            armTimer();
        } else {
            close(); // a request that has arrived but was not read may be sent again
        }
        return;
    }
    if (m_reader.state() == ReadState::Partial && !m_isReadingBody) {
        Response response = makeResponse(408);
        response.keepsAlive = false;
        m_stream->write(serialize(response, false));
    }
    m_isEnding = true;
    m_stream->closeAfterFlush();
    removeIfClosed();
}

void ServerConnection::removeIfClosed()
{
    m_server.m_loop.cancel(m_timer);
    m_timer = 0;
    if (m_stream->isOpen()) {
        return; // the rest of the response is still being sent
    }
    m_server.m_connections.erase(shared_from_this());
}

Server::Server(Net::EventLoop &loop, Handler handler)
    : m_loop(loop)
    , m_handler(std::move(handler))
    , m_listener(loop, [this](std::shared_ptr<Net::Stream> stream) {
        auto connection = std::make_shared<ServerConnection>(*this, std::move(stream));
        m_connections.insert(connection);
        connection->start();
    })
{
}

Server::~Server()
{
    const auto connections = m_connections;
    for (const auto &it : connections) {
        it->close();
    }
}

bool Server::listen(const Net::SocketAddress &address)
{
    return m_listener.listen(address);
}

void Server::stopListening()
{
    m_listener.close();
}

void Server::setLimits(const ServerLimits &limits)
{
    m_limits = limits;
}

const ServerLimits &Server::limits() const
{
    return m_limits;
}

void Server::startClosing()
{
    m_isClosing = true;
}

bool Server::isClosing() const
{
    return m_isClosing;
}

void Server::closeIdle()
{
    const auto connections = m_connections;
    for (const auto &it : connections) {
        if (it->isIdle()) {
            it->close();
        }
    }
}

std::size_t Server::connectionCount() const
{
    return m_connections.size();
}

std::size_t Server::pendingCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(), [](const auto &it) { return it->hasRequest(); }));
}

std::size_t Server::sendingCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(), [](const auto &it) { return it->isSending(); }));
}

}
