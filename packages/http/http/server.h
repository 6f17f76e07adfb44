#pragma once

#include <functional>
#include <memory>
#include <set>

#include "http/reader.h"
#include "net/stream.h"

namespace Galenabarrow::Http
{

/// Limits for the requests and connections of callers.
struct ServerLimits {
    ReaderLimits reader;
    /// Time for the header section of a request.
    Duration headerTimeout = std::chrono::seconds(5);
    /// Time for the body of a request after its header section.
    Duration bodyTimeout = std::chrono::seconds(30);
    /// Time without a request, after the last response was taken by the caller's side, after which a connection is closed.
    Duration idleTimeout = std::chrono::seconds(30);
    /// A request with a stated body length of at least this many bytes is handed over before its body is complete; 0 for never.
    std::size_t forwardFrom = 0;
    /// Bytes of a body that are held for a handler; the connection is not read while there are as many.
    std::size_t bodyBuffer = std::size_t { 1024 } * 1024;
};

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
    /// Sets the callback for further bytes of the body. It is not called after the response.
    void onBody(std::function<void()> callback);
    /// Discards the bytes of the body before the position \p end, which makes room for further ones.
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
    Instant m_receivedAt;
    std::string m_peer;
    std::weak_ptr<ServerConnection> m_connection;
    std::function<void()> m_disconnected;
    std::function<void()> m_bodyCallback;
    bool m_isAnswered = false;
};

using ExchangePointer = std::shared_ptr<Exchange>;
using Handler = std::function<void(const ExchangePointer &)>;

/// An HTTP/1.1 server on an event loop. The requests of a connection are handled one at a time.
class Server
{
public:
    Server(Net::EventLoop &loop, Handler handler);
    ~Server();

    /// Returns false if the address cannot be bound; errno has the cause.
    bool listen(const Net::SocketAddress &address);
    void stopListening();
    /// Applies to new connections. On an existing connection, new size limits apply only after its next request has been read.
    void setLimits(const ServerLimits &limits);
    const ServerLimits &limits() const;
    /// Makes every further response close its connection.
    void startClosing();
    bool isClosing() const;
    /// Closes the connections without a request in progress whose responses were taken by the caller's side.
    void closeIdle();
    std::size_t connectionCount() const;
    /// Number of connections with a request that is being read or has no response yet.
    std::size_t pendingCount() const;
    /// Number of connections whose responses were not yet taken by the caller's side as a whole.
    std::size_t sendingCount() const;

private:
    friend class ServerConnection;
    Net::EventLoop &m_loop;
    Handler m_handler;
    ServerLimits m_limits;
    bool m_isClosing = false;
    Net::Listener m_listener;
    std::set<std::shared_ptr<ServerConnection>> m_connections;
};

}
