#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/resultcode.h"
#include "daemon/upstreamsession.h"
#include "entry/calltypes.h"

namespace Galenabarrow::Daemon
{

/// A request to a server or to another entry.
struct UpstreamRequest {
    /// "host:port"
    std::string address;
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    Instant deadline {};
    bool isAction = false;
};

/// The result of an exchange.
struct UpstreamResponse {
    Entry::AttemptEnd end = Entry::AttemptEnd::ConnectFailed;
    /// More specific than \c end when there is no complete response.
    ResultCode code = ResultCode::Ok;
    std::uint16_t status = 0;
    std::string reason;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// The value of the first header \p name, empty when there is none.
    std::string header(std::string_view name) const;
};

/// Lets another thread cancel or expire an exchange.
class ExchangeHandle
{
public:
    /// Shuts the connection down; the exchange then ends as Cancelled.
    void cancel();
    /// Shuts the connection down because the deadline has passed; the exchange then ends as TimedOut. Needed for a server
    /// that sends its response in small pieces, so that no receive times out.
    void expire();

private:
    friend class UpstreamClient;
    enum class State : std::uint8_t { Active, Cancelled, Expired };

    /// False when the exchange was cancelled or expired before it had a connection.
    bool attach(const Poco::Net::StreamSocket &socket);
    void detach();
    State state() const;
    void end(State state);

    mutable std::mutex m_mutex;
    State m_state = State::Active;
    std::optional<Poco::Net::StreamSocket> m_socket;
};

struct UpstreamCounters {
    std::atomic<std::uint64_t> connectionsOpened { 0 };
    std::atomic<std::uint64_t> connectionsReused { 0 };
    std::atomic<std::uint64_t> connectionsAbandoned { 0 };
};

/// Exchanges complete requests and responses over pooled connections. A request is written to at most one connection.
class UpstreamClient
{
public:
    explicit UpstreamClient(const Clock &clock);

    /// Blocks until the response is complete, the deadline has passed, or \p handle is cancelled.
    UpstreamResponse exchange(const UpstreamRequest &request, ExchangeHandle &handle);
    /// Closes connections whose idle time exceeds the limit; called periodically.
    void closeIdle(Instant now);
    const UpstreamCounters &counters() const;

private:
    struct Idle {
        std::unique_ptr<UpstreamSession> session;
        Instant since {};
    };

    std::unique_ptr<UpstreamSession> takeIdle(const UpstreamRequest &request);
    std::unique_ptr<UpstreamSession> connect(const UpstreamRequest &request);
    void addIdle(const std::string &address, std::unique_ptr<UpstreamSession> session);
    UpstreamResponse sendAndReceive(const UpstreamRequest &request, UpstreamSession &session, ExchangeHandle &handle);
    void receive(const UpstreamRequest &request, UpstreamSession &session, UpstreamResponse &response);

    const Clock &m_clock;
    UpstreamCounters m_counters;
    std::mutex m_mutex;
    std::unordered_map<std::string, std::vector<Idle>> m_idle;
};

}
