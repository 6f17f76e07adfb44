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
    /// Time without a request after which a connection is closed.
    Duration idleTimeout = std::chrono::seconds(30);
};

class ServerConnection;

/// One request and its response. The response may be sent later, or never if the caller has disconnected.
class Exchange
{
public:
    Exchange(Request request, Instant receivedAt, std::string peer, std::weak_ptr<ServerConnection> connection);

    const Request &request() const;
    /// When the last byte of the request was read.
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
    Request m_request;
    Instant m_receivedAt;
    std::string m_peer;
    std::weak_ptr<ServerConnection> m_connection;
    std::function<void()> m_disconnected;
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
    /// Closes the connections without a request in progress.
    void closeIdle();
    std::size_t connectionCount() const;
    /// Number of connections with a request that is being read or has no response yet.
    std::size_t pendingCount() const;

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
