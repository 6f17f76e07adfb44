#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/ThreadPool.h>

#include "base/clock.h"
#include "base/resultcode.h"
#include "daemon/httpmessage.h"

namespace Galenabarrow::Daemon
{

/// Limits of one listening address.
struct HttpLimits {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint32_t bodyBytes = 8 * 1024 * 1024;
    std::uint32_t connections = 512;
    /// A request must be received completely within this time after its first byte.
    Duration requestTimeout = std::chrono::seconds(10);
    /// An idle connection is closed after this time.
    Duration idleTimeout = std::chrono::seconds(60);
};

/// Counters of one listening address.
struct HttpCounters {
    std::atomic<std::uint64_t> requests { 0 };
    std::atomic<std::uint64_t> badRequests { 0 };
    std::atomic<std::uint64_t> connectionsRefused { 0 };
    std::atomic<std::uint64_t> slowSenders { 0 };
};

/// Serves HTTP/1.1 with a thread per connection. Requests that exceed a limit are answered with an error code and never
/// reach the handler. Bodies need a Content-Length; chunked requests are refused.
///
/// POCO's TCPServer is not used: it queues a connection while any thread still counts as idle, so that of two connections
/// accepted at the same time, one can wait until the connection of another thread ends.
class HttpServer
{
public:
    /// Called on the thread of the connection.
    using Handler = std::function<HttpReply(HttpRequest &)>;

    HttpServer(HttpLimits limits, const Clock &clock);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Binds \p address; connections wait until serve() is called. Fails with AddressUnavailable.
    Result<void> listen(const std::string &address);
    /// Starts to answer requests.
    void serve(Handler handler);
    /// The bound address as "host:port".
    std::string address() const;
    /// Closes connections whose request has exceeded the request timeout; called on every tick.
    void closeSlowSenders(Instant now);
    /// From now on each connection is closed after the reply that is being written.
    void closeAfterReplies();
    /// Requests between their first byte and the end of their reply.
    std::size_t requestsInProgress() const;
    const HttpCounters &counters() const;
    /// Stops accepting, closes all connections and waits for their threads.
    void stop();

private:
    class Connection;

    void accept();
    void startConnection(Poco::Net::StreamSocket socket);
    void discardRefused();
    void add(Connection &connection, const Poco::Net::StreamSocket &socket);
    void remove(Connection &connection);
    /// Returns whether the connection was reading before.
    bool setReading(Connection &connection, bool reading);

    struct ConnectionState {
        Poco::Net::StreamSocket socket;
        bool isReading = false;
        Instant readingSince {};
    };

    struct Refused {
        Poco::Net::StreamSocket socket;
        Instant since {};
    };

    HttpLimits m_limits;
    const Clock &m_clock;
    Handler m_handler;
    HttpCounters m_counters;
    std::atomic<bool> m_closing { false };
    std::atomic<std::size_t> m_inProgress { 0 };
    mutable std::mutex m_mutex;
    std::unordered_map<Connection *, ConnectionState> m_connections;
    Poco::Net::ServerSocket m_socket;
    Poco::Net::HTTPServerParams::Ptr m_params;
    Poco::ThreadPool m_pool;
    /// Used by the acceptor thread only.
    std::deque<Refused> m_refused;
    std::atomic<bool> m_stopping { false };
    std::thread m_acceptor;
};

}
