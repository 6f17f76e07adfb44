#include "http/serverconnection.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "base/errorguard.h"

namespace Galenabarrow::Http
{

namespace
{

/// While as many bytes are held of pipelined requests or of responses that the caller has not taken, nothing is read.
constexpr std::size_t PipelineBuffer = std::size_t { 64 } * 1024;
/// Retry time, in seconds, in the rejection of a request for lack of memory: about the time in which stalled connections are closed.
constexpr const char *RetryAfterSeconds = "2";

std::string makeChunk(std::string_view bytes)
{
    std::array<char, 17> size {};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
    std::string chunk;
    chunk.reserve(bytes.size() + size.size() + 4);
    return chunk.append(size.data(), end).append("\r\n").append(bytes).append("\r\n");
}

}

ServerConnection::ServerConnection(Server &server, std::shared_ptr<Net::Stream> stream)
    : m_server(server)
    , m_stream(std::move(stream))
    , m_reader(server.m_limits.reader)
    , m_account(server.m_budget, *this)
{
}

void ServerConnection::start()
{
    m_stream->onData([this](std::string_view bytes) { receive(bytes); });
    m_stream->onEnd([this](Net::StreamEnd) { handleStreamEnd(); });
    m_stream->onPeerEnd([this] {
        if (m_rest == nullptr) {
            handleStreamEnd();
        } else {
            m_keepsAliveAfterRest = false; // a caller that has closed only its side still gets the rest of the response
        }
    });
    m_stream->onDrained([this] { handleDrained(); });
    armTimer();
}

bool ServerConnection::hasRequest() const
{
    return m_exchange != nullptr || m_rest != nullptr || m_reader.state() != ReadState::Idle;
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
    m_received += bytes.size();
    m_reader.feed(bytes);
    processInput();
    limitReading();
}

Net::MemoryUse ServerConnection::memoryUse() const
{
    const std::size_t body = m_exchange == nullptr ? 0 : m_exchange->heldBytes();
    const std::size_t unsent = m_stream->isOpen() ? m_stream->unsent() : 0;
    const bool isAwaitingResponse = m_exchange != nullptr && !m_isReadingBody;
    return { m_reader.heldBytes() + body + unsent, m_received + m_stream->accepted(), isAwaitingResponse && unsent == 0 };
}

void ServerConnection::onMemoryRelief()
{
    limitReading();
}

void ServerConnection::onMemoryEviction()
{
    const auto self = shared_from_this();
    guard([this] {
        const bool isUnhandled = m_exchange == nullptr && !m_isReadingBody && m_rest == nullptr && !m_isEnding;
        if (isUnhandled && m_reader.state() == ReadState::Partial && m_stream->unsent() == 0) {
            rejectForMemory();
            return;
        }
        m_stream->close();
        handleStreamEnd();
    });
}

bool ServerConnection::isMemoryLimited() const
{
    return m_server.m_budget != nullptr && m_server.m_budget->isLimited();
}

bool ServerConnection::isOutputFull() const
{
    return isMemoryLimited() && m_stream->unsent() >= PipelineBuffer;
}

void ServerConnection::handleDrained()
{
    if (m_rest != nullptr) {
        m_rest->resume();
    }
    limitReading();
    const bool isInputWaiting = m_reader.state() == ReadState::Complete || m_reader.state() == ReadState::Failed;
    if (isInputWaiting && m_exchange == nullptr && m_rest == nullptr) {
        const auto self = shared_from_this();
        m_server.m_loop.defer([self] { self->guard([&] { self->processInput(); }); });
    }
}

void ServerConnection::processInput()
{
    if (m_isReadingBody) {
        readBody();
    }
    if (m_isReadingBody || m_isEnding || !m_stream->isOpen()) {
        return;
    }
    if (m_exchange != nullptr || m_rest != nullptr || isOutputFull()) {
        return; // a pipelined request waits until the previous response is sent
    }
    if (m_reader.state() == ReadState::Failed) {
        rejectRequest(m_reader.failure());
        return;
    }
    if (isMemoryLimited() && m_server.m_budget->level() == Net::MemoryBudget::Level::Exhausted
        && (m_reader.hasHeader() || m_reader.state() == ReadState::Complete)) {
        rejectForMemory();
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
    endWith(makeResponse(status));
}

void ServerConnection::rejectForMemory()
{
    m_server.m_budget->recordRejection();
    m_reader.clear();
    Response response = makeResponse(503);
    response.fields.add("Retry-After", RetryAfterSeconds);
    endWith(std::move(response));
    m_account.update();
}

void ServerConnection::endWith(Response response)
{
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
    m_account.update();
    const bool isBusy = m_exchange != nullptr || m_rest != nullptr;
    const bool isBodyFull = m_isReadingBody && m_exchange != nullptr && m_exchange->request().body.size() >= m_server.m_limits.bodyBuffer;
    const bool isPipelineFull =
        isMemoryLimited() && !m_isReadingBody && (isOutputFull() || (isBusy && m_reader.heldBytes() >= PipelineBuffer));
    if (isBodyFull || isPipelineFull || m_account.mustPause()) {
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
    m_acceptsChunked = m_exchange->request().acceptsChunked;
    m_exchange.reset();
    if (response.rest != nullptr) {
        startForwarding(std::move(response));
        return;
    }
    m_stream->write(serialize(response, isHead));
    std::string().swap(response.body); // it was copied
    finishResponse(response.keepsAlive);
}

void ServerConnection::finishResponse(bool keepsAlive)
{
    if (!m_stream->isOpen()) {
        removeIfClosed();
        return;
    }
    limitReading();
    if (!keepsAlive && m_isReadingBody) {
        m_closesAfterBody = true;
        armTimer();
        return;
    }
    if (!keepsAlive) {
        m_isEnding = true;
        m_stream->closeAfterFlush();
        return;
    }
    armTimer();
    if (m_reader.state() == ReadState::Complete || m_reader.state() == ReadState::Failed) {
        const auto self = shared_from_this();
        m_server.m_loop.defer([self] { self->guard([&] { self->processInput(); }); });
    }
}

void ServerConnection::startForwarding(Response response)
{
    const std::optional<std::uint64_t> length = response.rest->length();
    m_isRestChunked = !length && m_acceptsChunked;
    response.keepsAlive = response.keepsAlive && (length || m_isRestChunked);
    m_keepsAliveAfterRest = response.keepsAlive;
    m_rest = std::move(response.rest);
    m_rest->start(
        [weak = weak_from_this()](std::string_view bytes) {
            if (const auto self = weak.lock()) {
                self->guard([&] { self->forwardBody(bytes); });
            }
        },
        [weak = weak_from_this()](bool isComplete) {
            if (const auto self = weak.lock()) {
                self->guard([&] { self->finishForwarding(isComplete); });
            }
        });
    m_movedAtTimer = m_stream->accepted();
    armTimer();
    m_stream->write(serializeHead(response, length, m_isRestChunked));
    forwardBody(response.body);
}

void ServerConnection::forwardBody(std::string_view bytes)
{
    const auto self = shared_from_this();
    if (!bytes.empty() && m_stream->isOpen()) {
        m_stream->write(m_isRestChunked ? std::string_view(makeChunk(bytes)) : bytes);
    }
    if (m_rest == nullptr || !m_stream->isOpen()) {
        return; // the write has failed, which the end of the stream has reported
    }
    if (m_stream->unsent() >= PipelineBuffer) {
        m_rest->pause();
    }
    limitReading();
}

void ServerConnection::finishForwarding(bool isComplete)
{
    const auto self = shared_from_this();
    m_server.m_loop.defer([rest = std::move(m_rest)] {}); // its callback is running
    m_rest = nullptr;
    if (!isComplete) {
        m_stream->close(); // so that the caller does not take the beginning for the whole
        handleStreamEnd();
        return;
    }
    if (m_isRestChunked) {
        m_stream->write("0\r\n\r\n");
    }
    finishResponse(m_keepsAliveAfterRest);
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
    if (m_rest != nullptr) {
        m_server.m_loop.defer([rest = std::move(m_rest)] {}); // its callback may be running
        m_rest = nullptr;
    }
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
    if (m_rest != nullptr) {
        if (m_stream->accepted() == std::exchange(m_movedAtTimer, m_stream->accepted())) {
            m_stream->close(); // neither the server nor the caller makes progress
            handleStreamEnd();
        } else {
            armTimer();
        }
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
    m_server.remove(shared_from_this());
}

}
