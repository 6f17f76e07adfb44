#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/clock.h"
#include "http/message.h"

namespace Galenabarrow::Http
{

class ServerConnection;

/// One request and its response. The response may be sent later, or never if the caller has disconnected. It may be sent before the
/// body has been received: the rest of the body is then read and dropped.
class Exchange
{
public:
    /// \p bodyLength: the length of the whole body, of which \p request may contain only the beginning.
    Exchange(Request request, std::uint64_t bodyLength, Instant receivedAt, std::string peer, std::weak_ptr<ServerConnection> connection);

    /// The request with the part of its body that is held: what was received so far, less what was discarded.
    const Request &request() const;
    std::uint64_t bodyLength() const;
    /// Number of bytes of the body that were received, including those discarded.
    std::uint64_t receivedBody() const;
    /// Number of bytes discarded at the beginning of the body.
    std::uint64_t discardedBody() const;
    bool isBodyComplete() const;
    /// Bytes of memory that the held part of the body takes, including what was discarded but not released.
    std::size_t heldBytes() const;
    /// Sets the callback for further bytes of the body. It is not called after the response.
    void onBody(std::function<void()> callback);
    /// Discards the bytes of the body before the position \p end, which makes room for further ones. Those of a large body may stay
    /// until more are discarded.
    void discardBody(std::uint64_t end);
    /// When the request was handed over: its last byte, or its header section if the body follows, was read.
    Instant receivedAt() const;
    /// The host of the caller.
    const std::string &peer() const;
    /// Sends the response. Further calls have no effect.
    void respond(Response response);
    bool isAnswered() const;
    /// Closes the connection without a response.
    void abort();
    /// Sets the callback for a connection that ends before the response.
    void onDisconnected(std::function<void()> callback);

private:
    friend class ServerConnection;
    void addBody(std::string_view bytes);

    Request m_request;
    std::uint64_t m_bodyLength;
    std::uint64_t m_discardedBody = 0;
    /// The largest size of the body in its current buffer.
    std::size_t m_usedBuffer = 0;
    Instant m_receivedAt;
    std::string m_peer;
    std::weak_ptr<ServerConnection> m_connection;
    std::function<void()> m_disconnected;
    std::function<void()> m_bodyCallback;
    bool m_isAnswered = false;
};

using ExchangePointer = std::shared_ptr<Exchange>;

}
