#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/eventloop.h"
#include "net/socketaddress.h"

namespace Galenabarrow::Net
{

/// Why a stream ended.
enum class StreamEnd {
    /// The peer closed its side.
    Closed,
    /// A reset, a refused connection or another error of the socket.
    Failed,
};

/// A TCP connection on an event loop. Callbacks are not called after close().
class Stream : public std::enable_shared_from_this<Stream>
{
public:
    using DataCallback = std::function<void(std::string_view)>;
    using EndCallback = std::function<void(StreamEnd)>;

    /// Takes ownership of a connected socket.
    static std::shared_ptr<Stream> adopt(EventLoop &loop, int fd, std::string peer = {});
    /// Starts to connect; null if that fails at once, with the cause in errno. A later failure is reported by the end callback.
    static std::shared_ptr<Stream> connect(EventLoop &loop, const SocketAddress &address);
    ~Stream();
    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;

    void onData(DataCallback callback);
    void onEnd(EndCallback callback);
    void onConnected(EventLoop::Callback callback);
    /// Sets the callback for the time when the socket has accepted all queued bytes.
    void onDrained(EventLoop::Callback callback);

    /// Queues bytes and sends as many as the socket accepts without blocking.
    void write(std::string_view bytes);
    /// Stops reading, so that the peer can send no more than the socket buffers hold. An orderly close by the peer is noticed only
    /// after resumeReading().
    void pauseReading();
    void resumeReading();
    /// Closes the connection at once and discards queued bytes.
    void close();
    /// Closes the connection after all queued bytes have been sent.
    void closeAfterFlush();
    bool isOpen() const;
    bool isConnected() const;
    /// The connection was established, even if it has ended since.
    bool wasConnected() const;
    /// Number of queued bytes that the socket has not accepted yet.
    std::size_t unsent() const;
    /// The host of the peer of an accepted connection.
    const std::string &peer() const;

private:
    Stream(EventLoop &loop, int fd, bool isConnected);
    void start();
    void handle(std::uint32_t events);
    void finishConnect();
    void readAvailable();
    void flush();
    /// Registers for the events that reading and writing wait for now.
    void updateEvents();
    void setWaitingToWrite(bool isWaiting);
    void end(StreamEnd reason);

    EventLoop &m_loop;
    int m_fd;
    bool m_isConnected;
    std::string m_peer;
    bool m_isClosing = false;
    bool m_isWaitingToWrite = false;
    bool m_isReadingPaused = false;
    std::string m_output;
    std::size_t m_sent = 0;
    DataCallback m_dataCallback;
    EndCallback m_endCallback;
    EventLoop::Callback m_connectedCallback;
    EventLoop::Callback m_drainedCallback;
};

/// A listening socket.
class Listener
{
public:
    using AcceptCallback = std::function<void(std::shared_ptr<Stream>)>;

    Listener(EventLoop &loop, AcceptCallback callback);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    /// Returns false if the address cannot be bound; errno has the cause.
    bool listen(const SocketAddress &address);
    void close();

private:
    void acceptAll();

    EventLoop &m_loop;
    int m_fd = -1;
    AcceptCallback m_callback;
};

}
