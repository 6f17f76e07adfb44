#include "net/stream.h"

#include <array>
#include <cerrno>
#include <utility>

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/errorguard.h"

namespace Galenabarrow::Net
{

namespace
{

constexpr std::size_t ReadSize = std::size_t { 64 } * 1024;
constexpr int Backlog = 1024;
/// A larger output buffer is released once it is empty, and its sent part as soon as that is half of it.
constexpr std::size_t MaxKeptOutput = std::size_t { 16 } * 1024;
/// Largest number of reads per event, so that a fast sender cannot starve the other connections.
constexpr int MaxReads = 8;
/// A connection fails when sent bytes stay unacknowledged for this long, as with a peer behind a network partition.
constexpr std::chrono::milliseconds UserTimeout(4000);
/// Time for a peer that has taken all bytes to close its side of a connection that is being closed.
constexpr Duration LingerTimeout = std::chrono::seconds(2);
/// The system reports no event when the peer's side has taken the last byte.
constexpr Duration TakenCheckInterval = std::chrono::milliseconds(20);

void configure(int fd)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const auto timeout = static_cast<unsigned>(UserTimeout.count());
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

}

Stream::Stream(EventLoop &loop, int fd, bool isConnected)
    : m_loop(loop)
    , m_fd(fd)
    , m_isConnected(isConnected)
{
}

Stream::~Stream()
{
    close();
}

std::shared_ptr<Stream> Stream::adopt(EventLoop &loop, int fd, std::string peer)
{
    configure(fd);
    std::shared_ptr<Stream> stream(new Stream(loop, fd, true));
    stream->m_peer = std::move(peer);
    stream->start();
    return stream;
}

std::shared_ptr<Stream> Stream::connect(EventLoop &loop, const SocketAddress &address)
{
    const std::optional<sockaddr_in> native = address.toNative();
    const int fd = native ? socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0) : -1;
    if (fd < 0) {
        return nullptr;
    }
    configure(fd);
    const int done = ::connect(fd, reinterpret_cast<const sockaddr *>(&*native), sizeof(*native));
    if (done != 0 && errno != EINPROGRESS) {
        ::close(fd);
        return nullptr;
    }
    std::shared_ptr<Stream> stream(new Stream(loop, fd, false));
    stream->start();
    return stream;
}

void Stream::start()
{
    m_isWaitingToWrite = !m_isConnected;
    const std::uint32_t events = EPOLLIN | (m_isWaitingToWrite ? static_cast<std::uint32_t>(EPOLLOUT) : 0U);
    m_loop.watch(m_fd, events, [self = weak_from_this()](std::uint32_t ready) {
        if (const auto stream = self.lock()) {
            stream->handle(ready);
        }
    });
}

void Stream::onData(DataCallback callback)
{
    m_dataCallback = std::move(callback);
}

void Stream::onEnd(EndCallback callback)
{
    m_endCallback = std::move(callback);
}

void Stream::onPeerEnd(EventLoop::Callback callback)
{
    m_peerEndCallback = std::move(callback);
}

void Stream::onConnected(EventLoop::Callback callback)
{
    m_connectedCallback = std::move(callback);
}

void Stream::onDrained(EventLoop::Callback callback)
{
    m_drainedCallback = std::move(callback);
}

void Stream::pauseReading()
{
    if (isOpen() && !m_isReadingPaused && !m_isClosing) {
        m_isReadingPaused = true;
        updateEvents();
    }
}

void Stream::resumeReading()
{
    if (isOpen() && m_isReadingPaused) {
        m_isReadingPaused = false;
        updateEvents();
    }
}

void Stream::write(std::string_view bytes)
{
    if (!isOpen() || m_isClosing) {
        return;
    }
    m_output.append(bytes);
    if (m_isConnected && !m_isWaitingToWrite) {
        flush();
    }
}

void Stream::close()
{
    if (m_fd < 0) {
        return;
    }
    m_loop.unwatch(m_fd);
    m_loop.cancel(m_closeTimer);
    m_closeTimer = 0;
    ::close(m_fd);
    m_fd = -1;
    // One of the callbacks may be running, so they are destroyed only after it has returned.
    m_loop.defer([data = std::move(m_dataCallback), end = std::move(m_endCallback), connected = std::move(m_connectedCallback),
                  drained = std::move(m_drainedCallback), peerEnd = std::move(m_peerEndCallback)] {});
    m_peerEndCallback = nullptr;
    m_drainedCallback = nullptr;
    m_dataCallback = nullptr;
    m_endCallback = nullptr;
    m_connectedCallback = nullptr;
}

void Stream::closeAfterFlush()
{
    if (!isOpen() || m_isClosing) {
        return;
    }
    resumeReading();
    m_isClosing = true;
    if (m_isConnected && unsent() == 0) {
        finishSending();
    }
}

bool Stream::isOpen() const
{
    return m_fd >= 0;
}

bool Stream::isConnected() const
{
    return m_isConnected && isOpen();
}

bool Stream::wasConnected() const
{
    return m_isConnected;
}

std::size_t Stream::unsent() const
{
    return m_output.size() - m_sent;
}

std::uint64_t Stream::accepted() const
{
    return m_accepted;
}

std::size_t Stream::untaken() const
{
    int held = 0;
    if (!isConnected() || ioctl(m_fd, SIOCOUTQ, &held) != 0) {
        held = 0;
    }
    return unsent() + static_cast<std::size_t>(held);
}

const std::string &Stream::peer() const
{
    return m_peer;
}

void Stream::handle(std::uint32_t events)
{
    const auto self = shared_from_this();
    if (!runGuarded(
            "connection", [this] { return m_peer; }, [&] { process(events); })) {
        end(StreamEnd::Failed);
    }
}

void Stream::process(std::uint32_t events)
{
    if (!m_isConnected) {
        finishConnect();
        return;
    }
    if ((events & EPOLLOUT) != 0) {
        flush();
    }
    if (isOpen() && m_isReadingPaused && (events & (EPOLLHUP | EPOLLERR)) != 0) {
        end(StreamEnd::Failed); // the event would be reported without end, as nothing is read
        return;
    }
    if (isOpen() && m_hasPeerEnded && !m_isSendingFinished && (events & (EPOLLHUP | EPOLLERR)) != 0) {
        end(StreamEnd::Failed);
        return;
    }
    if (isOpen() && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
        readAvailable();
    }
}

void Stream::finishConnect()
{
    int error = 0;
    socklen_t length = sizeof(error);
    getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0) {
        end(StreamEnd::Failed);
        return;
    }
    m_isConnected = true;
    if (m_connectedCallback) {
        m_connectedCallback();
    }
    if (isOpen()) {
        flush();
    }
}

void Stream::readAvailable()
{
    static thread_local std::array<char, ReadSize> buf;
    for (int n = 0; n < MaxReads && isOpen() && !m_isReadingPaused && !m_hasPeerEnded; ++n) {
        const ssize_t size = recv(m_fd, buf.data(), buf.size(), 0);
        if (size > 0) {
            if (m_dataCallback && !m_isClosing) {
                m_dataCallback(std::string_view(buf.data(), static_cast<std::size_t>(size)));
            }
            if (static_cast<std::size_t>(size) < buf.size()) {
                return; // the socket is empty; the level-triggered event reports later bytes
            }
            continue;
        }
        if (size == 0) {
            handlePeerEnd();
            return;
        }
        if (errno == EINTR) {
            continue;
        }
        if (errno != EAGAIN && errno != EWOULDBLOCK) {
            end(StreamEnd::Failed);
        }
        return;
    }
}

void Stream::flush()
{
    while (unsent() > 0) {
        const ssize_t size = send(m_fd, m_output.data() + m_sent, unsent(), MSG_NOSIGNAL);
        if (size >= 0) {
            m_sent += static_cast<std::size_t>(size);
            m_accepted += static_cast<std::uint64_t>(size);
            continue;
        }
        if (errno == EINTR) {
            continue;
        }
        if (errno != EAGAIN && errno != EWOULDBLOCK) {
            end(StreamEnd::Failed);
            return;
        }
        break;
    }
    if (unsent() == 0) {
        if (m_output.capacity() > MaxKeptOutput) {
            std::string().swap(m_output); // an assignment would keep the buffer
        }
        m_output.clear();
        m_sent = 0;
    } else if (m_sent >= MaxKeptOutput && m_sent >= unsent()) {
        m_output.erase(0, m_sent);
        m_output.shrink_to_fit();
        m_sent = 0;
    }
    const bool wasWaiting = m_isWaitingToWrite;
    setWaitingToWrite(unsent() > 0);
    if (m_isClosing) {
        if (unsent() == 0 && !m_isSendingFinished) {
            finishSending();
        }
        return;
    }
    if (wasWaiting && unsent() == 0 && m_drainedCallback) {
        m_drainedCallback();
    }
}

void Stream::setWaitingToWrite(bool isWaiting)
{
    if (isWaiting != m_isWaitingToWrite) {
        m_isWaitingToWrite = isWaiting;
        updateEvents();
    }
}

void Stream::updateEvents()
{
    const std::uint32_t reading = m_isReadingPaused || m_hasPeerEnded ? 0U : static_cast<std::uint32_t>(EPOLLIN);
    const std::uint32_t writing = m_isWaitingToWrite ? static_cast<std::uint32_t>(EPOLLOUT) : 0U;
    m_loop.modify(m_fd, reading | writing);
}

void Stream::handlePeerEnd()
{
    if (!m_isClosing && !m_peerEndCallback) {
        end(StreamEnd::Closed);
        return;
    }
    m_hasPeerEnded = true;
    if (m_isSendingFinished) {
        m_loop.unwatch(m_fd); // with both sides closed, the socket would report a hang-up without end
        checkTaken();
        return;
    }
    updateEvents();
    if (!m_isClosing) {
        const auto callback = m_peerEndCallback; // it may close the stream, which resets the member
        callback();
    }
}

void Stream::finishSending()
{
    m_isSendingFinished = true;
    shutdown(m_fd, SHUT_WR); // if the connection has failed, its event or the check below reports that
    if (m_hasPeerEnded) {
        m_loop.unwatch(m_fd); // as in handlePeerEnd()
    }
    m_takenAt = m_loop.now();
    startCloseTimer(TakenCheckInterval, [this] { checkTaken(); });
}

void Stream::checkTaken()
{
    int error = 0;
    socklen_t length = sizeof(error);
    getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0) {
        end(StreamEnd::Failed);
        return;
    }
    const std::size_t left = untaken();
    if (left != std::exchange(m_lastUntaken, left)) {
        m_takenAt = m_loop.now();
    }
    const bool isGivenUp = m_loop.now() - m_takenAt >= UserTimeout; // the socket goes on sending what it has accepted
    if (left > 0 && !isGivenUp) {
        startCloseTimer(TakenCheckInterval, [this] { checkTaken(); });
    } else if (left > 0 || m_hasPeerEnded) {
        end(StreamEnd::Closed);
    } else {
        startCloseTimer(LingerTimeout, [this] { end(StreamEnd::Closed); });
    }
}

void Stream::startCloseTimer(Duration delay, EventLoop::Callback callback)
{
    m_loop.cancel(m_closeTimer);
    m_closeTimer = m_loop.after(delay, [self = weak_from_this(), callback = std::move(callback)] {
        if (const auto stream = self.lock()) {
            callback();
        }
    });
}

void Stream::end(StreamEnd reason)
{
    const EndCallback callback = std::move(m_endCallback);
    close();
    if (callback) {
        runGuarded(
            "connection", [this] { return m_peer; }, [&] { callback(reason); });
    }
}

Listener::Listener(EventLoop &loop, AcceptCallback callback)
    : m_loop(loop)
    , m_callback(std::move(callback))
{
}

Listener::~Listener()
{
    close();
}

bool Listener::listen(const SocketAddress &address)
{
    const std::optional<sockaddr_in> native = address.toNative();
    m_fd = native ? socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0) : -1;
    if (m_fd < 0) {
        return false;
    }
    const int on = 1;
    setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(m_fd, reinterpret_cast<const sockaddr *>(&*native), sizeof(*native)) != 0 || ::listen(m_fd, Backlog) != 0) {
        const int error = errno;
        ::close(m_fd);
        m_fd = -1;
        errno = error;
        return false;
    }
    m_loop.watch(m_fd, EPOLLIN, [this](std::uint32_t) { acceptAll(); });
    return true;
}

void Listener::close()
{
    if (m_fd >= 0) {
        m_loop.unwatch(m_fd);
        ::close(m_fd);
        m_fd = -1;
    }
}

void Listener::acceptAll()
{
    while (m_fd >= 0) {
        sockaddr_in peer {};
        socklen_t length = sizeof(peer);
        const int fd = accept4(m_fd, reinterpret_cast<sockaddr *>(&peer), &length, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return; // EAGAIN, or a connection that ended before it was accepted
        }
        std::array<char, INET_ADDRSTRLEN> host {};
        inet_ntop(AF_INET, &peer.sin_addr, host.data(), host.size());
        runGuarded(
            "accept", [&] { return std::string(host.data()); }, [&] { m_callback(Stream::adopt(m_loop, fd, host.data())); });
    }
}

}
