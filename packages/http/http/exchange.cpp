#include "http/exchange.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "http/serverconnection.h"

namespace Galenabarrow::Http
{

namespace
{

/// The rest of a body up to this size is moved when its beginning is discarded.
constexpr std::size_t MaxMoved = std::size_t { 1024 } * 1024;
/// The buffer of a body is released when it is empty and had held more.
constexpr std::size_t MaxKeptBuffer = std::size_t { 128 } * 1024;

}

Exchange::Exchange(Request request, std::uint64_t bodyLength, Instant receivedAt, std::string peer,
                   std::weak_ptr<ServerConnection> connection)
    : m_request(std::move(request))
    , m_bodyLength(bodyLength)
    , m_usedBuffer(m_request.body.size())
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

std::size_t Exchange::heldBytes() const
{
    return m_usedBuffer;
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
    const std::uint64_t size = end - m_discardedBody;
    const std::uint64_t rest = m_request.body.size() - size;
    if (rest > MaxMoved && size < rest) {
        return; // each removal moves the rest, which for a large body would take many times its length in total
    }
    m_request.body.erase(0, size);
    if (rest == 0 && m_usedBuffer > MaxKeptBuffer) {
        std::string().swap(m_request.body); // an assignment would keep the buffer
        m_usedBuffer = 0;
    }
    m_discardedBody = end;
    if (const auto connection = m_connection.lock()) {
        connection->limitReading();
    }
}

void Exchange::addBody(std::string_view bytes)
{
    m_request.body.append(bytes);
    m_usedBuffer = std::max(m_usedBuffer, m_request.body.size());
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

}
