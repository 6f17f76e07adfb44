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

/// A TCP connection on an event loop. Callbacks are not called after close(). An exception of a callback ends the connection as Failed.
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
    /// Sets the callback for a peer that closes its side. The stream then stays open for sending until it is closed here; without the
    /// callback, it ends at once.
    void onPeerEnd(EventLoop::Callback callback);
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
    /// Closes the connection after the peer's side has taken all queued bytes, and then calls the end callback. Received bytes are
    /// dropped until the peer closes its side or a timeout passes: a socket that is closed with unread bytes resets the
    /// connection, and the peer may lose what it has not read yet.
    void closeAfterFlush();
    bool isOpen() const;
    bool isConnected() const;
    /// The connection was established, even if it has ended since.
    bool wasConnected() const;
    /// Number of queued bytes that the socket has not accepted yet.
    std::size_t unsent() const;
    /// Number of bytes that the socket has accepted so far.
    std::uint64_t accepted() const;
    /// Number of queued bytes that the peer's side has not taken yet. Where the system does not tell, bytes that the socket has accepted
    /// count as taken.
    std::size_t untaken() const;
    /// The host of the peer of an accepted connection.
    const std::string &peer() const;

private:
    Stream(EventLoop &loop, int fd, bool isConnected);
    void start();
    void handle(std::uint32_t events);
    void process(std::uint32_t events);
    void finishConnect();
    void readAvailable();
    void flush();
    /// Registers for the events that reading and writing wait for now.
    void updateEvents();
    void setWaitingToWrite(bool isWaiting);
    void handlePeerEnd();
    void finishSending();
    /// While the connection is being closed: waits until the peer's side has taken all bytes, and then until it closes.
    void checkTaken();
    void startCloseTimer(Duration delay, EventLoop::Callback callback);
    void end(StreamEnd reason);

    EventLoop &m_loop;
    int m_fd;
    bool m_isConnected;
    std::string m_peer;
    bool m_isClosing = false;
    bool m_isWaitingToWrite = false;
    bool m_isReadingPaused = false;
    bool m_hasPeerEnded = false;
    /// The sending side was shut down after the last byte.
    bool m_isSendingFinished = false;
    TimerId m_closeTimer = 0;
    /// While the connection is being closed: untaken() at the last check, and when it last changed.
    std::size_t m_lastUntaken = 0;
    Instant m_takenAt {};
    std::string m_output;
    std::size_t m_sent = 0;
    std::uint64_t m_accepted = 0;
    DataCallback m_dataCallback;
    EndCallback m_endCallback;
    EventLoop::Callback m_peerEndCallback;
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
