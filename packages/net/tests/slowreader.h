#pragma once

#include <cerrno>
#include <string>

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/eventloop.h"
#include "net/socketaddress.h"

namespace Galenabarrow::Net
{

/// A peer behind a slow link: it has a small window and takes bytes at a fixed rate by the loop's clock.
class SlowReader
{
public:
    static constexpr int WindowBytes = 16384;
    static constexpr int SegmentBytes = 1400;
    /// 3 Mbit/s.
    static constexpr std::size_t BytesPerSecond = 375'000;
    static constexpr Duration Interval = std::chrono::milliseconds(10);

    SlowReader(EventLoop &loop, const SocketAddress &address)
        : m_loop(loop)
        , m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &WindowBytes, sizeof(WindowBytes));
        setsockopt(m_fd, IPPROTO_TCP, TCP_MAXSEG, &SegmentBytes, sizeof(SegmentBytes));
        const auto native = address.toNative();
        REQUIRE(::connect(m_fd, reinterpret_cast<const sockaddr *>(&*native), sizeof(*native)) == 0);
        fcntl(m_fd, F_SETFL, O_NONBLOCK);
    }

    ~SlowReader()
    {
        m_loop.cancel(m_timer);
        ::close(m_fd);
    }

    SlowReader(const SlowReader &) = delete;
    SlowReader &operator=(const SlowReader &) = delete;

    /// Sends as many of the bytes as the socket accepts, and returns whether the connection still takes bytes.
    bool send(std::string_view bytes) const
    {
        return ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) >= 0 || errno == EAGAIN;
    }

    void closeSending() const
    {
        shutdown(m_fd, SHUT_WR);
    }

    /// Ends the connection with a reset.
    void reset()
    {
        const linger atOnce { 1, 0 };
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce));
        ::close(m_fd);
        m_fd = -1;
    }

    void startReading()
    {
        m_timer = m_loop.after(Interval, [this] {
            std::string buf(BytesPerSecond * Interval / std::chrono::seconds(1), '\0');
            const ssize_t size = recv(m_fd, buf.data(), buf.size(), 0);
            if (size > 0) {
                received.append(buf, 0, static_cast<std::size_t>(size));
            } else if (size == 0) {
                isEnded = true;
                closeSending(); // as a caller does that has its answer
            } else if (errno != EAGAIN) {
                isReset = true;
            }
            if (!isEnded && !isReset) {
                startReading();
            }
        });
    }

    /// Bytes that have arrived at this side of the connection, read or not.
    std::size_t taken() const
    {
        int unread = 0;
        ioctl(m_fd, FIONREAD, &unread);
        return received.size() + static_cast<std::size_t>(unread);
    }

    std::string received;
    bool isEnded = false;
    bool isReset = false;

private:
    EventLoop &m_loop;
    int m_fd;
    TimerId m_timer = 0;
};

}
