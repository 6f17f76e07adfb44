#include "wire/peernetwork.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <list>
#include <thread>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include "wire/socketwait.h"

namespace Galenabarrow::Wire
{

namespace
{

constexpr std::size_t MaxQueuedFrames = 1024;
constexpr std::size_t MaxInboundConnections = 256;
constexpr int ListenBacklog = 64;
const Poco::Timespan ConnectTimeout(1, 0);
const Poco::Timespan SendTimeout(2, 0);
constexpr Duration AcceptInterval = std::chrono::milliseconds(200);
// Longest time without further bytes when part of a frame has been received.
const Poco::Timespan FrameTimeout(5, 0);
// Delay after a failed connection attempt or send, which limits the rate of attempts to a failed peer.
constexpr std::chrono::milliseconds ReconnectDelay(100);

void sendAll(Poco::Net::StreamSocket &socket, const std::vector<std::uint8_t> &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const int n = socket.sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent));
        if (n <= 0) {
            throw Poco::Net::ConnectionAbortedException("send failed");
        }
        sent += static_cast<std::size_t>(n);
    }
}

/// Reads exactly \p size bytes; false at the end of the stream.
bool receiveAll(Poco::Net::StreamSocket &socket, std::uint8_t *out, std::size_t size)
{
    std::size_t received = 0;
    while (received < size) {
        const int n = socket.receiveBytes(out + received, static_cast<int>(size - received));
        if (n <= 0) {
            return false;
        }
        received += static_cast<std::size_t>(n);
    }
    return true;
}

/// Wakes a thread that waits for input from \p socket.
void shutDown(Poco::Net::StreamSocket &socket)
{
    try {
        socket.shutdown();
    } catch (const Poco::Exception &) {
        // Already closed by the other side.
    }
}

}

KindBytes *PeerCounters::bytesOf(MessageKind kind)
{
    const auto it =
        std::find_if(MessageKindNames.begin(), MessageKindNames.end(), [kind](const MessageKindName &row) { return row.kind == kind; });
    return it == MessageKindNames.end() ? nullptr : &kinds[static_cast<std::size_t>(it - MessageKindNames.begin())];
}

/// One outgoing connection with its queue and thread.
class PeerNetwork::Link
{
public:
    Link(std::string address, PeerCounters &counters)
        : m_address(std::move(address))
        , m_counters(counters)
        , m_thread([this] { run(); })
    {
    }

    ~Link()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_wake.notify_all();
        m_thread.join();
    }

    Link(const Link &) = delete;
    Link &operator=(const Link &) = delete;

    void enqueue(MessageKind kind, std::vector<std::uint8_t> bytes)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_queue.size() >= MaxQueuedFrames) {
                m_queue.pop_front();
                ++m_counters.framesDropped;
            }
            m_queue.push_back(Frame { kind, std::move(bytes) });
        }
        m_wake.notify_one();
    }

private:
    struct Frame {
        MessageKind kind;
        std::vector<std::uint8_t> bytes;
    };

    void run()
    {
        std::unique_lock lock(m_mutex);
        while (!m_stopping) {
            m_wake.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
            if (m_stopping) {
                return;
            }
            const Frame frame = std::move(m_queue.front());
            m_queue.pop_front();
            lock.unlock();
            const bool sent = sendFrame(frame);
            lock.lock();
            if (!sent) {
                ++m_counters.framesDropped;
                m_wake.wait_for(lock, ReconnectDelay, [this] { return m_stopping; });
            }
        }
    }

    bool sendFrame(const Frame &frame)
    {
        try {
            connect();
            sendAll(m_socket, frame.bytes);
            ++m_counters.framesSent;
            m_counters.bytesSent += frame.bytes.size();
            if (KindBytes *kind = m_counters.bytesOf(frame.kind)) {
                kind->sent += frame.bytes.size();
            }
            return true;
        } catch (const Poco::Exception &) {
            m_socket.close();
            m_connected = false;
            return false;
        }
    }

    void connect()
    {
        if (m_connected && peerHasClosed()) {
            m_socket.close();
            m_connected = false;
        }
        if (m_connected) {
            return;
        }
        m_socket = Poco::Net::StreamSocket();
        m_socket.connect(Poco::Net::SocketAddress(m_address), ConnectTimeout);
        m_socket.setNoDelay(true);
        m_socket.setSendTimeout(SendTimeout);
        m_connected = true;
    }

    // Nothing is ever received on this connection, so readable means closed. Without this check the first frame after a
    // restart of the peer would be lost.
    bool peerHasClosed()
    {
        return waitReadable(m_socket, Duration::zero());
    }

    std::string m_address;
    PeerCounters &m_counters;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<Frame> m_queue;
    bool m_stopping = false;
    bool m_connected = false;
    Poco::Net::StreamSocket m_socket;
    std::thread m_thread;
};

/// One accepted connection with its thread.
class PeerNetwork::Connection
{
public:
    Connection(const Poco::Net::StreamSocket &socket, const FrameCodec &codec, const Handler &handler, PeerCounters &counters)
        : m_socket(socket)
        , m_codec(codec)
        , m_handler(handler)
        , m_counters(counters)
        , m_thread([this] { run(); })
    {
    }

    ~Connection()
    {
        m_stopping = true;
        shutDown(m_socket);
        m_thread.join();
    }

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    bool hasEnded() const
    {
        return m_ended;
    }

private:
    void run()
    {
        try {
            m_socket.setReceiveTimeout(FrameTimeout);
            while (!m_stopping && receiveFrame()) { }
        } catch (const Poco::Exception &) {
            // The peer reconnects; a broken connection is part of normal operation.
        }
        // The descriptor is closed with this object, because another thread may still shut the socket down.
        shutDown(m_socket);
        m_ended = true;
    }

    bool receiveFrame()
    {
        waitReadable(m_socket, std::nullopt);
        std::array<std::uint8_t, FrameHeaderSize> header {};
        if (!receiveAll(m_socket, header.data(), header.size())) {
            return false;
        }
        const Result<std::size_t> length = m_codec.bodyLength(header);
        if (!length) {
            return reject();
        }
        std::vector<std::uint8_t> body(*length);
        if (!receiveAll(m_socket, body.data(), body.size())) {
            return false;
        }
        if (!m_codec.verify(header, body)) {
            return reject();
        }
        Result<Envelope> envelope = decodeEnvelope(body);
        if (!envelope) {
            return reject();
        }
        ++m_counters.framesReceived;
        const std::size_t size = header.size() + body.size();
        m_counters.bytesReceived += size;
        if (KindBytes *kind = m_counters.bytesOf(envelope->kind)) {
            kind->received += size;
        }
        m_handler(std::move(*envelope));
        return true;
    }

    bool reject()
    {
        ++m_counters.badFrames;
        return false;
    }

    Poco::Net::StreamSocket m_socket;
    const FrameCodec &m_codec;
    const Handler &m_handler;
    PeerCounters &m_counters;
    std::atomic<bool> m_stopping { false };
    std::atomic<bool> m_ended { false };
    std::thread m_thread;
};

/// The listening socket and the accepted connections.
class PeerNetwork::Acceptor
{
public:
    Acceptor(const Poco::Net::ServerSocket &socket, const FrameCodec &codec, Handler handler, PeerCounters &counters)
        : m_socket(socket)
        , m_codec(codec)
        , m_handler(std::move(handler))
        , m_counters(counters)
        , m_thread([this] { run(); })
    {
    }

    ~Acceptor()
    {
        m_stopping = true;
        m_thread.join();
        m_connections.clear();
    }

    Acceptor(const Acceptor &) = delete;
    Acceptor &operator=(const Acceptor &) = delete;

private:
    void run()
    {
        while (!m_stopping) {
            m_connections.remove_if([](const auto &it) { return it->hasEnded(); });
            acceptOne();
        }
        m_socket.close();
    }

    void acceptOne()
    {
        try {
            if (!waitReadable(m_socket, AcceptInterval)) {
                return;
            }
            Poco::Net::StreamSocket socket = m_socket.acceptConnection();
            if (m_connections.size() >= MaxInboundConnections) {
                socket.close();
                return;
            }
            m_connections.push_back(std::make_unique<Connection>(socket, m_codec, m_handler, m_counters));
        } catch (const Poco::Exception &) {
            // The client disconnected before it was accepted; the next one is accepted as usual.
        }
    }

    Poco::Net::ServerSocket m_socket;
    const FrameCodec &m_codec;
    Handler m_handler;
    PeerCounters &m_counters;
    std::atomic<bool> m_stopping { false };
    std::list<std::unique_ptr<Connection>> m_connections;
    std::thread m_thread;
};

PeerNetwork::PeerNetwork(FrameCodec codec, InstanceId self, Incarnation incarnation)
    : m_codec(std::move(codec))
    , m_self(std::move(self))
    , m_incarnation(incarnation)
{
}

PeerNetwork::~PeerNetwork()
{
    stop();
}

Result<void> PeerNetwork::listen(const std::string &address, Handler handler)
{
    try {
        Poco::Net::ServerSocket socket;
        socket.bind(Poco::Net::SocketAddress(address), true);
        socket.listen(ListenBacklog);
        m_address = socket.address().toString();
        m_acceptor = std::make_unique<Acceptor>(socket, m_codec, std::move(handler), m_counters);
        return {};
    } catch (const Poco::Exception &ec) {
        return failure(ResultCode::AddressUnavailable, "cannot listen on " + address + ": " + ec.displayText());
    }
}

const std::string &PeerNetwork::address() const
{
    return m_address;
}

void PeerNetwork::advertise(std::string address)
{
    m_address = std::move(address);
}

void PeerNetwork::send(const std::string &address, MessageKind kind, std::uint64_t correlation, std::vector<std::uint8_t> payload)
{
    if (m_stopping) {
        return;
    }
    const std::vector<std::uint8_t> body = encode(Envelope { m_self, m_address, m_incarnation, correlation, kind, std::move(payload) });
    if (body.size() > MaxFrameBody) {
        ++m_counters.framesDropped;
        return;
    }
    findOrCreateLink(address).enqueue(kind, m_codec.seal(body));
}

const PeerCounters &PeerNetwork::counters() const
{
    return m_counters;
}

void PeerNetwork::stop()
{
    m_stopping = true;
    m_acceptor.reset();
    const std::lock_guard lock(m_linksMutex);
    m_links.clear();
}

PeerNetwork::Link &PeerNetwork::findOrCreateLink(const std::string &address)
{
    const std::lock_guard lock(m_linksMutex);
    auto &link = m_links[address];
    if (!link) {
        link = std::make_unique<Link>(address, m_counters);
    }
    return *link;
}

}
