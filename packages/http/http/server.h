#pragma once

#include <functional>
#include <memory>
#include <set>

#include "http/exchange.h"
#include "http/reader.h"
#include "net/memorybudget.h"
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
    /// Further connections are closed at once; 0 for no bound.
    std::size_t maxConnections = 0;
};

class ServerConnection;
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
    /// Makes the connections use \p budget, which must outlive this object. Must be called before listen().
    void setMemoryBudget(Net::MemoryBudget *budget);
    /// Number of connections closed because of ServerLimits::maxConnections.
    std::uint64_t refusedConnections() const;
    /// Sets the callback for the times at which the limit of connections is reached, and at which there is room again.
    void onConnectionLimit(std::function<void(bool isReached)> callback);
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
    void accept(std::shared_ptr<Net::Stream> stream);
    void remove(const std::shared_ptr<ServerConnection> &connection);

    Net::EventLoop &m_loop;
    Handler m_handler;
    ServerLimits m_limits;
    Net::MemoryBudget *m_budget = nullptr;
    std::uint64_t m_refusedConnections = 0;
    bool m_isLimitReached = false;
    std::function<void(bool)> m_limitCallback;
    bool m_isClosing = false;
    Net::Listener m_listener;
    std::set<std::shared_ptr<ServerConnection>> m_connections;
};

}
