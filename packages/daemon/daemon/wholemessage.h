#pragma once

#include <cerrno>
#include <cstddef>
#include <string>
#include <utility>

#include <sys/socket.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPSession.h>
#include <Poco/Net/NetException.h>

namespace Galenabarrow::Daemon
{

/// How the header section of a message ended.
enum class HeadEnd : unsigned char {
    Whole,
    /// The stream ended before the first byte.
    NoMessage,
    /// The stream ended within the section.
    CutShort,
    TooLarge,
};

/// Adds reading and writing of complete messages to a POCO session class. POCO's own streams treat the end of the
/// connection as the end of a header section or of a chunked body, so that a truncated message is accepted as complete.
template<typename Session>
class WholeMessageSession : public Session
{
public:
    using Session::Session;

    /// Reads up to and including the empty line into \p head.
    HeadEnd readHead(std::string &head, std::size_t limit)
    {
        head.clear();
        while (!head.ends_with("\r\n\r\n") && !head.ends_with("\n\n")) {
            const int ch = this->get();
            if (ch < 0) {
                return head.empty() ? HeadEnd::NoMessage : HeadEnd::CutShort;
            }
            if (head.size() >= limit) {
                return HeadEnd::TooLarge;
            }
            head += static_cast<char>(ch);
        }
        return HeadEnd::Whole;
    }

    /// Appends exactly \p size bytes to \p body; false when the stream ends before.
    bool readBody(std::string &body, std::size_t size)
    {
        std::size_t filled = body.size();
        body.resize(filled + size);
        while (filled < body.size()) {
            const int n = this->read(body.data() + filled, static_cast<std::streamsize>(body.size() - filled));
            if (n <= 0) {
                return false;
            }
            filled += static_cast<std::size_t>(n);
        }
        return true;
    }

    /// Reads a line without its end; false when the stream ends or \p limit is reached before the end of the line.
    bool readLine(std::string &line, std::size_t limit)
    {
        line.clear();
        for (int ch = this->get(); ch != '\n'; ch = this->get()) {
            if (ch < 0 || line.size() >= limit) {
                return false;
            }
            line += static_cast<char>(ch);
        }
        if (line.ends_with('\r')) {
            line.pop_back();
        }
        return true;
    }

    /// Writes \p bytes from offset \p sent to the connection. Never reconnects: HTTPClientSession::write reconnects and
    /// resends when its first write on a reused connection fails, which could run an action twice.
    void writeAll(const std::string &bytes, std::size_t sent = 0)
    {
        while (sent < bytes.size()) {
            sent += send(bytes, sent, 0);
        }
    }

    /// Writes as many of \p bytes as the connection accepts without blocking, and returns their number.
    std::size_t writeSome(const std::string &bytes)
    {
        return send(bytes, 0, MSG_DONTWAIT);
    }

    /// Bytes that writeAll and writeSome have written to the connection since the last reset.
    std::size_t bytesSent() const
    {
        return m_bytesSent;
    }

    void resetBytesSent()
    {
        m_bytesSent = 0;
    }

    /// True when bytes were received that have not been read.
    bool hasLeftover() const
    {
        return this->buffered() > 0;
    }

private:
    /// StreamSocket::sendBytes is not used: it continues a partial send by itself, and when the rest fails, its exception
    /// hides that a part was sent. The request would then count as not run.
    std::size_t send(const std::string &bytes, std::size_t sent, int flags)
    {
        ssize_t n = 0;
        do {
            n = ::send(this->socket().impl()->sockfd(), bytes.data() + sent, bytes.size() - sent, flags | MSG_NOSIGNAL);
        } while (n < 0 && errno == EINTR);
        if (n < 0 && errno != EAGAIN) {
            throw Poco::Net::ConnectionAbortedException("send failed", errno);
        }
        if (n < 0 && (flags & MSG_DONTWAIT) == 0) {
            throw Poco::TimeoutException("send timed out");
        }
        const std::size_t bytesSent = n < 0 ? 0 : static_cast<std::size_t>(n);
        m_bytesSent += bytesSent;
        return bytesSent;
    }

    std::size_t m_bytesSent = 0;
};

}
