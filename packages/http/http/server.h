#pragma once

#include <functional>
#include <memory>
#include <set>

#include "http/reader.h"
#include "net/stream.h"

namespace Galenabarrow::Http
{

/// What a server allows its callers.
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

/// One request and its response. The response may be given later, or never when the caller is gone.
class Exchange
{
public:
    Exchange(Request request, Instant receivedAt, std::string peer, std::weak_ptr<ServerConnection> connection);

    const Request &request() const;
    /// When the last byte of the request was read.
    Instant receivedAt() const;
    /// The host of the caller.
    const std::string &peer() const;
    /// Sends the response; only the first one counts.
    void respond(Response response);
    bool isAnswered() const;
    /// Ends the connection without a response.
    void abort();
    /// Called when the caller closes its connection before the response.
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

    /// False when the address cannot be had; errno tells why.
    bool listen(const Net::SocketAddress &address);
    void stopListening();
    /// Applies to requests that are read from now on.
    void setLimits(const ServerLimits &limits);
    const ServerLimits &limits() const;
    /// From now on every response closes its connection.
    void startClosing();
    bool isClosing() const;
    /// Closes the connections that have no request.
    void closeIdle();
    std::size_t connectionCount() const;
    /// Requests without a response yet.
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
