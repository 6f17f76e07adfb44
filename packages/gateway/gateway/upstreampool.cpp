#include "gateway/upstreampool.h"

#include <algorithm>
#include <cassert>
#include <charconv>

#include "base/httpstatus.h"

namespace Galenabarrow::Gateway
{

namespace
{

/// Limit for establishing a connection; several round trips between data centres.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(250);
/// An idle connection is closed after this time: servers close it soon after, and a request sent just before the server
/// closes the connection may or may not have run.
constexpr Duration IdleTimeout = std::chrono::milliseconds(7000);
/// An idle connection is closed this long before the idle timeout that the server states, but not before half of it has passed.
constexpr Duration IdleMargin = std::chrono::milliseconds(1000);
constexpr Duration ExpiryInterval = std::chrono::milliseconds(500);
/// Idle connections kept to one server; more than the slots that one entry gets at a server are of no use.
constexpr std::size_t MaxIdlePerServer = 4;

/// A response up to this size is held until it is complete, so that a request can be sent to another server when its server fails in the
/// middle of it. While memory is short, less is held.
constexpr std::size_t MaxHeldResponse = std::size_t { 1024 } * 1024;
constexpr std::size_t MaxHeldWhenTight = std::size_t { 64 } * 1024;

/// The idle timeout in the Keep-Alive field of a response; absent without one.
std::optional<Duration> statedIdleTimeout(const Http::Response &response)
{
    const std::string *field = response.fields.find("Keep-Alive");
    if (field == nullptr) {
        return std::nullopt;
    }
    constexpr std::string_view Name = "timeout=";
    const std::size_t at = field->find(Name);
    if (at == std::string::npos) {
        return std::nullopt;
    }
    unsigned value = 0;
    const char *begin = field->data() + at + Name.size();
    const auto [end, ec] = std::from_chars(begin, field->data() + field->size(), value);
    if (ec != std::errc() || end == begin) {
        return std::nullopt;
    }
    return std::chrono::seconds(value);
}

}

/// The exchange that a response on a connection belongs to.
enum class ResponseOwner {
    /// The exchange in progress.
    Current,
    /// An earlier exchange.
    Other,
    /// The exchange in progress or an earlier one.
    Unknown,
};

/// The rest of a response on a connection.
class StreamedBody : public Http::BodySource
{
public:
    StreamedBody(std::shared_ptr<UpstreamConnection> connection, std::optional<std::uint64_t> length)
        : m_connection(std::move(connection))
        , m_length(length)
    {
    }
    ~StreamedBody() override;
    StreamedBody(const StreamedBody &) = delete;
    StreamedBody &operator=(const StreamedBody &) = delete;

    std::optional<std::uint64_t> length() const override
    {
        return m_length;
    }

    void start(std::function<void(std::string_view)> data, std::function<void(bool)> end) override
    {
        m_data = std::move(data);
        m_end = std::move(end);
    }

    void pause() override;
    void resume() override;

private:
    friend class UpstreamConnection;
    /// Null after the end.
    std::shared_ptr<UpstreamConnection> m_connection;
    std::optional<std::uint64_t> m_length;
    std::function<void(std::string_view)> m_data;
    std::function<void(bool)> m_end;
};

/// A connection to one server, with at most one request at a time.
class UpstreamConnection final : public std::enable_shared_from_this<UpstreamConnection>, private Net::MemoryHolder
{
public:
    UpstreamConnection(UpstreamPool &pool, ServerId server)
        : m_pool(pool)
        , m_server(std::move(server))
        , m_account(pool.m_budget, *this)
    {
    }

    bool open(const std::string &address)
    {
        const std::optional<Net::SocketAddress> target = Net::parseSocketAddress(address);
        m_stream = target ? Net::Stream::connect(m_pool.m_loop, *target) : nullptr;
        if (m_stream == nullptr) {
            return false;
        }
        m_stream->onConnected([this] { m_pool.m_loop.cancel(m_connectTimer); });
        m_stream->onDrained([this] { requestBody(); });
        m_stream->onData([this](std::string_view bytes) { receive(bytes); });
        m_stream->onEnd([this](Net::StreamEnd reason) { handleStreamEnd(reason); });
        m_connectTimer = m_pool.m_loop.after(ConnectTimeout, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->onConnectTimeout();
            }
        });
        return true;
    }

    void start(Attempt &attempt, UpstreamRequest request)
    {
        m_attempt = &attempt;
        m_requestId = std::move(request.requestId);
        m_isHead = request.isHead;
        m_bodyToFollow = request.bodyToFollow;
        m_interimResponses = 0;
        expectResponse();
        m_stream->write(request.bytes);
        m_isStarted = true;
        requestBody();
    }

    bool isWritable() const
    {
        return m_isStarted && isConnected() && m_stream->unsent() == 0;
    }

    void sendBody(std::string_view bytes)
    {
        assert(bytes.size() <= m_bodyToFollow);
        m_bodyToFollow -= bytes.size();
        m_stream->write(bytes);
    }

    void cancel()
    {
        m_attempt = nullptr;
        close();
    }

    void pauseBody()
    {
        m_stream->pauseReading();
    }

    void resumeBody()
    {
        m_stream->resumeReading();
    }

    /// Ends the reception of a body that nobody takes.
    void dropBody()
    {
        m_body = nullptr;
        close();
    }

    void close()
    {
        m_pool.m_loop.cancel(m_connectTimer);
        if (m_stream != nullptr) {
            m_stream->close();
        }
    }

    bool isConnected() const
    {
        return m_stream != nullptr && m_stream->isConnected();
    }

    /// Whether the connection is established or being established.
    bool isOpen() const
    {
        return m_stream != nullptr && m_stream->isOpen();
    }

    const ServerId &server() const
    {
        return m_server;
    }

    Duration idleTimeout() const
    {
        return m_idleTimeout;
    }

private:
    Net::MemoryUse memoryUse() const override
    {
        return { m_reader.heldBytes() + (m_stream == nullptr ? 0 : m_stream->unsent()), 0, true };
    }

    void onMemoryRelief() override { }

    /// Never called, as the account is always waiting for the server.
    void onMemoryEviction() override { }

    void expectResponse()
    {
        m_reader.expect(m_isHead, std::nullopt); // startBody() bounds what is held
    }

    void requestBody()
    {
        const auto self = shared_from_this();
        if (m_attempt != nullptr && m_attempt->m_writable && m_bodyToFollow > 0 && isWritable()) {
            m_attempt->m_writable();
        }
    }

    void receive(std::string_view bytes)
    {
        const auto self = shared_from_this();
        if (m_body != nullptr) {
            m_reader.feed(bytes);
            passBody();
            m_account.update();
            return;
        }
        if (m_attempt == nullptr) {
            ++m_pool.m_counters.surplus;
            m_pool.removeIdle(*this);
            close();
            return;
        }
        m_reader.feed(bytes);
        processResponses();
        if (m_attempt != nullptr && m_reader.state() == Http::ReadState::Partial && m_reader.hasHeader()) {
            startBody();
        }
        m_account.update();
    }

    /// Delivers a response that is too large to be held, or drops the received part of it if it belongs to another request.
    void startBody()
    {
        if (m_reader.heldBytes() < m_pool.heldResponse()) {
            return;
        }
        Http::Response response = m_reader.head();
        if (!isFinalStatus(static_cast<int>(response.status))) {
            fail(AttemptFailure::Broken);
            return;
        }
        if (ownerOf(response) != ResponseOwner::Current) {
            m_reader.takeBody();
            return;
        }
        ++m_pool.m_counters.streamed;
        m_hadUnnamedResponse = m_hadUnnamedResponse || response.fields.find(m_pool.m_requestIdField) == nullptr;
        m_isReusableAfterBody = response.keepsAlive && !response.isCloseDelimited;
        setIdleTimeout(response);
        response.body = m_reader.takeBody();
        Attempt *attempt = std::exchange(m_attempt, nullptr);
        m_isStarted = false;
        const auto body = std::make_shared<StreamedBody>(std::move(attempt->m_connection), m_reader.statedBodyLength());
        m_body = body.get();
        response.rest = body;
        m_account.update();
        const auto callback = std::move(attempt->m_response);
        callback(std::move(response));
    }

    /// Passes received bytes of the body on. The receiver may drop the body in each call.
    void passBody()
    {
        const bool isComplete = m_reader.state() == Http::ReadState::Complete;
        if (m_reader.state() == Http::ReadState::Failed) {
            finishBody(false);
            return;
        }
        const std::string bytes = m_reader.takeBody();
        if (const auto callback = m_body->m_data; callback && !bytes.empty()) {
            callback(bytes);
        }
        if (isComplete && m_body != nullptr) {
            finishBody(true);
        }
    }

    void finishBody(bool isComplete)
    {
        const auto self = shared_from_this();
        StreamedBody *body = std::exchange(m_body, nullptr);
        body->m_connection.reset();
        const auto callback = body->m_end;
        const bool hasSurplus = m_reader.hasSurplus();
        m_pool.m_counters.surplus += isComplete && hasSurplus ? 1 : 0;
        const bool isReusable = isComplete && m_isReusableAfterBody && isReusableAfter(hasSurplus);
        if (isComplete) {
            m_reader.take();
        }
        if (isReusable) {
            m_stream->resumeReading();
            m_pool.addIdle(self);
        } else {
            close();
        }
        if (callback) {
            callback(isComplete);
        }
    }

    void setIdleTimeout(const Http::Response &response)
    {
        const std::optional<Duration> stated = statedIdleTimeout(response);
        m_idleTimeout = stated ? std::min(IdleTimeout, std::max(*stated - IdleMargin, *stated / 2)) : IdleTimeout;
    }

    bool isReusableAfter(bool hasSurplus) const
    {
        return !hasSurplus && !m_hadStrayResponse && m_stream->isOpen() && m_stream->unsent() == 0 && m_bodyToFollow == 0;
    }

    void processResponses()
    {
        while (m_attempt != nullptr && m_reader.state() == Http::ReadState::Complete) {
            const bool hasSurplus = m_reader.hasSurplus();
            Http::Response response = m_reader.take();
            if (isInterim(response)) {
                ++m_interimResponses;
                expectResponse();
                continue;
            }
            if (!isFinalStatus(static_cast<int>(response.status))) {
                fail(AttemptFailure::Broken);
                return;
            }
            const ResponseOwner owner = ownerOf(response);
            m_hadUnnamedResponse = m_hadUnnamedResponse || response.fields.find(m_pool.m_requestIdField) == nullptr;
            if (owner == ResponseOwner::Current) {
                deliver(std::move(response), hasSurplus);
                return;
            }
            // The response to this request may still follow. Until then nothing is known about the request.
            ++(owner == ResponseOwner::Other ? m_pool.m_counters.strayResponses : m_pool.m_counters.doubtfulResponses);
            m_hadStrayResponse = true;
            expectResponse();
        }
        if (m_attempt != nullptr && m_reader.state() == Http::ReadState::Failed) {
            fail(AttemptFailure::Broken);
        }
    }

    /// Whether the final response may still follow. A body is read as the next response, so a response that announces one is none.
    bool isInterim(const Http::Response &response) const
    {
        const bool hasBody = response.fields.find("Content-Length") != nullptr || response.fields.find("Transfer-Encoding") != nullptr;
        return isInterimStatus(static_cast<int>(response.status)) && !hasBody && m_interimResponses < MaxInterimResponses;
    }

    /// Decides which exchange a response belongs to, for requests and health checks alike. Servers echo the id of a request, and may
    /// send any response once more where the next one is expected. So a response with ids belongs to the request that all of them name.
    /// A response without an id belongs to the health check in progress, since a copy of an earlier one states the same. It belongs to a
    /// request with an id only if it cannot be a copy: no earlier response on this connection came without an id, and the server has
    /// sent no stray one.
    ResponseOwner ownerOf(const Http::Response &response) const
    {
        bool hasId = false;
        for (const Http::Field &it : response.fields.all()) {
            if (Http::equalsIgnoringCase(it.name, m_pool.m_requestIdField)) {
                hasId = true;
                if (it.value != m_requestId) {
                    return ResponseOwner::Other;
                }
            }
        }
        const bool isCopyPossible = m_hadUnnamedResponse || m_hadStrayResponse;
        return hasId || m_requestId.empty() || !isCopyPossible ? ResponseOwner::Current : ResponseOwner::Unknown;
    }

    void deliver(Http::Response response, bool hasSurplus)
    {
        const bool isReusable = response.keepsAlive && !response.isCloseDelimited && isReusableAfter(hasSurplus);
        m_pool.m_counters.surplus += hasSurplus ? 1 : 0;
        setIdleTimeout(response);
        Attempt *attempt = std::exchange(m_attempt, nullptr);
        m_isStarted = false;
        const auto self = std::move(attempt->m_connection);
        if (isReusable) {
            m_pool.addIdle(self);
        } else {
            close();
        }
        const auto callback = std::move(attempt->m_response);
        callback(std::move(response));
    }

    void fail(AttemptFailure failure)
    {
        const auto self = shared_from_this();
        close();
        Attempt *attempt = std::exchange(m_attempt, nullptr);
        if (attempt == nullptr) {
            return;
        }
        attempt->m_connection.reset();
        const auto callback = std::move(attempt->m_failure);
        callback(failure);
    }

    void handleStreamEnd(Net::StreamEnd reason)
    {
        const auto self = shared_from_this();
        m_pool.m_loop.cancel(m_connectTimer);
        m_pool.removeIdle(*this);
        if (m_body != nullptr) {
            if (reason == Net::StreamEnd::Closed && m_reader.finish() == Http::ReadState::Complete) {
                passBody();
            } else {
                finishBody(false);
            }
            return;
        }
        if (m_attempt == nullptr) {
            return;
        }
        if (reason == Net::StreamEnd::Closed) {
            m_reader.finish();
            processResponses();
            if (m_attempt == nullptr) {
                return;
            }
        }
        fail(m_stream->wasConnected() ? AttemptFailure::Broken : AttemptFailure::NotSent);
    }

    void onConnectTimeout()
    {
        if (!m_stream->isConnected()) {
            fail(AttemptFailure::NotSent);
        }
    }

    UpstreamPool &m_pool;
    ServerId m_server;
    std::shared_ptr<Net::Stream> m_stream;
    Http::ResponseReader m_reader;
    Attempt *m_attempt = nullptr;
    /// The receiver of the body, from its beginning to its end.
    StreamedBody *m_body = nullptr;
    bool m_isReusableAfterBody = false;
    Net::MemoryAccount m_account;
    /// The header section of the current request was written. The body must not be written before it.
    bool m_isStarted = false;
    std::uint64_t m_bodyToFollow = 0;
    unsigned m_interimResponses = 0;
    std::string m_requestId;
    bool m_isHead = false;
    /// A response was received that is not known to belong to the exchange in progress then.
    bool m_hadStrayResponse = false;
    /// A response without an id was received. A copy of it may be received later.
    bool m_hadUnnamedResponse = false;
    Duration m_idleTimeout = IdleTimeout;
    Net::TimerId m_connectTimer = 0;
};

StreamedBody::~StreamedBody()
{
    if (m_connection != nullptr) {
        m_connection->dropBody();
    }
}

void StreamedBody::pause()
{
    if (m_connection != nullptr) {
        m_connection->pauseBody();
    }
}

void StreamedBody::resume()
{
    if (m_connection != nullptr) {
        m_connection->resumeBody();
    }
}

Attempt::~Attempt()
{
    cancel();
}

void Attempt::onResponse(ResponseCallback callback)
{
    m_response = std::move(callback);
}

void Attempt::onFailure(FailureCallback callback)
{
    m_failure = std::move(callback);
}

void Attempt::onWritable(std::function<void()> callback)
{
    m_writable = std::move(callback);
}

bool Attempt::isWritable() const
{
    return m_connection != nullptr && m_connection->isWritable();
}

void Attempt::sendBody(std::string_view bytes)
{
    if (const auto connection = m_connection) { // a failed write resets the member
        connection->sendBody(bytes);
    }
}

void Attempt::cancel()
{
    m_failure = nullptr; // a connection that could not be opened reports it later
    if (m_connection != nullptr) {
        m_connection->cancel();
        m_connection.reset();
    }
}

bool Attempt::isSent() const
{
    return m_connection != nullptr && m_connection->isConnected();
}

UpstreamPool::UpstreamPool(Net::EventLoop &loop, std::string requestIdField)
    : m_loop(loop)
    , m_requestIdField(std::move(requestIdField))
{
}

UpstreamPool::~UpstreamPool()
{
    for (auto &[server, connections] : m_idle) {
        for (Idle &it : connections) {
            it.connection->close();
        }
    }
}

std::shared_ptr<Attempt> UpstreamPool::send(const Routing::BackendServer &server, UpstreamRequest request)
{
    auto attempt = std::make_shared<Attempt>();
    m_retired.erase(server.id);
    attempt->m_connection = takeIdle(server.id);
    if (attempt->m_connection != nullptr) {
        ++m_counters.reused;
    } else {
        attempt->m_connection = open(server.id, server.address);
    }
    // The caller sets the callbacks after this call returns, so writing is deferred.
    m_loop.defer([this, weak = std::weak_ptr(attempt), connection = attempt->m_connection, id = server.id, address = server.address,
                  request = std::move(request)]() mutable {
        const auto strong = weak.lock();
        if (strong == nullptr || strong->m_connection != connection) {
            return;
        }
        if (connection != nullptr && !connection->isOpen()) {
            // The kept connection ended after it was chosen, and nothing of the request was written to it.
            strong->m_connection = open(id, address);
        }
        if (strong->m_connection != nullptr) {
            const std::shared_ptr<UpstreamConnection> current = strong->m_connection;
            current->start(*strong, std::move(request));
        } else if (const auto callback = std::exchange(strong->m_failure, nullptr)) {
            callback(AttemptFailure::NotSent);
        }
    });
    return attempt;
}

std::shared_ptr<UpstreamConnection> UpstreamPool::open(const ServerId &server, const std::string &address)
{
    ++m_counters.opened;
    auto connection = std::make_shared<UpstreamConnection>(*this, server);
    return connection->open(address) ? connection : nullptr;
}

void UpstreamPool::retire(const ServerId &server)
{
    m_retired.insert(server);
    const auto it = m_idle.find(server);
    if (it == m_idle.end()) {
        return;
    }
    for (Idle &idle : it->second) {
        idle.connection->close();
    }
    m_idle.erase(it);
}

const PoolCounters &UpstreamPool::counters() const
{
    return m_counters;
}

void UpstreamPool::setMemoryBudget(Net::MemoryBudget *budget)
{
    m_budget = budget;
}

bool UpstreamPool::isMemoryLimited() const
{
    return m_budget != nullptr && m_budget->isLimited();
}

bool UpstreamPool::isMemoryTight() const
{
    return isMemoryLimited() && m_budget->level() != Net::MemoryBudget::Level::Normal;
}

std::size_t UpstreamPool::heldResponse() const
{
    return isMemoryTight() ? MaxHeldWhenTight : MaxHeldResponse;
}

std::size_t UpstreamPool::idleCount() const
{
    std::size_t count = 0;
    for (const auto &[server, connections] : m_idle) {
        count += connections.size();
    }
    return count;
}

std::shared_ptr<UpstreamConnection> UpstreamPool::takeIdle(const ServerId &server)
{
    const auto it = m_idle.find(server);
    if (it == m_idle.end()) {
        return nullptr;
    }
    while (!it->second.empty()) {
        // Reuse the most recently used connection, so that surplus ones expire.
        const Idle idle = it->second.back();
        it->second.pop_back();
        if (idle.connection->isConnected() && m_loop.now() < idle.expiresAt) {
            return idle.connection;
        }
        idle.connection->close();
    }
    return nullptr;
}

void UpstreamPool::addIdle(const std::shared_ptr<UpstreamConnection> &connection)
{
    std::list<Idle> &connections = m_idle[connection->server()];
    if (m_retired.contains(connection->server()) || connections.size() >= MaxIdlePerServer) {
        connection->close();
        return;
    }
    connections.push_back(Idle { connection, m_loop.now() + connection->idleTimeout() });
    if (!m_isExpiryScheduled) {
        m_isExpiryScheduled = true;
        m_loop.after(ExpiryInterval, [this] { expireIdle(); });
    }
}

void UpstreamPool::removeIdle(UpstreamConnection &connection)
{
    const auto it = m_idle.find(connection.server());
    if (it == m_idle.end()) {
        return;
    }
    std::vector<std::shared_ptr<UpstreamConnection>> removed;
    it->second.remove_if([&](const Idle &idle) {
        const bool isSame = idle.connection.get() == &connection;
        if (isSame) {
            removed.push_back(idle.connection);
        }
        return isSame;
    });
    m_loop.defer([removed = std::move(removed)] {});
}

void UpstreamPool::expireIdle()
{
    m_isExpiryScheduled = false;
    bool isEmpty = true;
    for (auto &[server, connections] : m_idle) {
        connections.remove_if([this](Idle &idle) {
            const bool isExpired = m_loop.now() >= idle.expiresAt || !idle.connection->isConnected();
            if (isExpired) {
                idle.connection->close();
            }
            return isExpired;
        });
        isEmpty = isEmpty && connections.empty();
    }
    if (!isEmpty) {
        m_isExpiryScheduled = true;
        m_loop.after(ExpiryInterval, [this] { expireIdle(); });
    }
}

}
