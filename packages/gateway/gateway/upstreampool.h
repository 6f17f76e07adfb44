#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "http/reader.h"
#include "net/memorybudget.h"
#include "net/stream.h"
#include "routing/model.h"

namespace Galenabarrow::Gateway
{

/// Why an attempt ended without a response.
enum class AttemptFailure {
    /// No connection was established: the request cannot have run.
    NotSent,
    /// The connection ended, or carried bytes that are not a response.
    Broken,
};

/// A serialized request for one server.
struct UpstreamRequest {
    std::string bytes;
    /// The id that the server echoes; empty for a health check.
    std::string requestId;
    bool isHead = false;
    /// Bytes of the body that are not in \c bytes and follow by Attempt::sendBody().
    std::uint64_t bodyToFollow = 0;
};

class UpstreamConnection;

/// One attempt at one server; owns the connection while the request is in progress.
class Attempt
{
public:
    using ResponseCallback = std::function<void(Http::Response)>;
    using FailureCallback = std::function<void(AttemptFailure)>;

    ~Attempt();
    /// Sets the callback for the response, which is known to belong to this request. Any other response is dropped.
    void onResponse(ResponseCallback callback);
    void onFailure(FailureCallback callback);
    /// Sets the callback for the times when the connection takes more of the body: once it is established and the first bytes are
    /// written, and whenever they have been sent. Not called when the whole body was passed on.
    void onWritable(std::function<void()> callback);
    /// Whether the connection is established and all bytes passed on so far have been sent.
    bool isWritable() const;
    /// Passes on further bytes of the body; at most \c UpstreamRequest::bodyToFollow in total.
    void sendBody(std::string_view bytes);
    /// Closes the connection, which most servers treat as a cancellation. No callback is called afterwards.
    void cancel();
    /// Whether the connection is established, so that the request may have been sent.
    bool isSent() const;

private:
    friend class UpstreamConnection;
    friend class UpstreamPool;
    std::shared_ptr<UpstreamConnection> m_connection;
    ResponseCallback m_response;
    FailureCallback m_failure;
    std::function<void()> m_writable;
};

struct PoolCounters {
    std::uint64_t opened = 0;
    std::uint64_t reused = 0;
    /// Responses with the id of another request.
    std::uint64_t strayResponses = 0;
    /// Responses without an id where an earlier response of the connection may have been sent once more.
    std::uint64_t doubtfulResponses = 0;
    /// Connections closed because of bytes outside the response to a request.
    std::uint64_t surplus = 0;
    /// Responses delivered before they were complete.
    std::uint64_t streamed = 0;
};

/// Persistent connections to backend servers, reused between requests.
class UpstreamPool
{
public:
    /// \p requestIdField: the name of the header field that servers echo.
    UpstreamPool(Net::EventLoop &loop, std::string requestIdField);
    ~UpstreamPool();

    /// Sends \p request on an idle connection, or on a new one.
    std::shared_ptr<Attempt> send(const Routing::BackendServer &server, UpstreamRequest request);
    /// Closes the idle connections to a server now, and those in use when their request is finished.
    void retire(const ServerId &server);
    const PoolCounters &counters() const;
    /// Makes the connections use \p budget, which must outlive this object. With a limit, a large response is delivered before it is
    /// complete and received as fast as it is taken. Must be called before the first request.
    void setMemoryBudget(Net::MemoryBudget *budget);
    /// Memory is so short that the part of a body that has been sent is not held for a second attempt.
    bool isMemoryTight() const;
    std::size_t idleCount() const;

private:
    friend class UpstreamConnection;
    bool isMemoryLimited() const;
    /// The part of a response, in bytes, that is held before it is delivered.
    std::size_t heldResponse() const;
    struct Idle {
        std::shared_ptr<UpstreamConnection> connection;
        Instant expiresAt {};
    };
    /// Starts to connect; null if that fails at once.
    std::shared_ptr<UpstreamConnection> open(const ServerId &server, const std::string &address);
    std::shared_ptr<UpstreamConnection> takeIdle(const ServerId &server);
    void addIdle(const std::shared_ptr<UpstreamConnection> &connection);
    void removeIdle(UpstreamConnection &connection);
    void expireIdle();

    Net::EventLoop &m_loop;
    std::string m_requestIdField;
    std::map<ServerId, std::list<Idle>> m_idle;
    std::set<ServerId> m_retired;
    PoolCounters m_counters;
    bool m_isExpiryScheduled = false;
    Net::MemoryBudget *m_budget = nullptr;
};

}
