#include "daemon/upstreamsession.h"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <string_view>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include "base/httpstatus.h"
#include "wire/socketwait.h"

namespace Galenabarrow::Daemon
{

namespace
{

constexpr std::size_t MaxResponseHead = std::size_t { 64 } << 10U;
constexpr std::size_t MaxChunkLine = 1024;
constexpr int HexBase = 16;
// A receive timeout of 0 would disable the timeout.
constexpr Duration MinSocketTimeout = std::chrono::milliseconds(1);

/// The length in a chunk's first line; chunk extensions are ignored.
bool parseChunkLength(const std::string &line, std::size_t &length)
{
    const auto [end, ec] = std::from_chars(line.data(), line.data() + line.size(), length, HexBase);
    return ec == std::errc() && (end == line.data() + line.size() || *end == ';' || *end == ' ');
}

/// The status in the first line of \p head; 0 without a valid one. POCO's own type cannot hold every number that a server may send.
int parseStatus(std::string_view head)
{
    constexpr std::string_view Blanks = " \t\r\n";
    constexpr std::size_t Digits = 3;
    head.remove_prefix(std::min(head.find_first_not_of(Blanks), head.size())); // as POCO does
    head.remove_prefix(std::min(head.find_first_of(Blanks), head.size()));
    head.remove_prefix(std::min(head.find_first_not_of(Blanks), head.size()));
    const std::string_view text = head.substr(0, head.find_first_of(Blanks));
    int status = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), status);
    return text.size() == Digits && ec == std::errc() && end == text.data() + text.size() ? status : 0;
}

bool hasNoBody(const std::string &method, int status)
{
    return method == "HEAD" || status == Poco::Net::HTTPResponse::HTTP_NO_CONTENT || status == Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED;
}

}

UpstreamSession::UpstreamSession(const std::string &address)
    : WholeMessageSession(Poco::Net::SocketAddress(address))
{
    setKeepAlive(true);
}

void UpstreamSession::open(Duration timeout)
{
    const Poco::Timespan span(std::max(timeout, MinSocketTimeout).count());
    setTimeout(span, span, span);
    reconnect();
    socket().setNoDelay(true);
}

bool UpstreamSession::isStale()
{
    return !connected() || hasLeftover() || Wire::waitReadable(socket(), Duration::zero());
}

void UpstreamSession::setSendTimeout(Duration timeout)
{
    socket().setSendTimeout(Poco::Timespan(std::max(timeout, MinSocketTimeout).count()));
}

void UpstreamSession::setReceiveTimeout(Duration timeout)
{
    socket().setReceiveTimeout(Poco::Timespan(std::max(timeout, MinSocketTimeout).count()));
}

ResponseEnd UpstreamSession::receiveWhole(const std::string &method, Poco::Net::HTTPResponse &head, std::string &body)
{
    body.clear();
    const ResponseEnd headEnd = receiveHead(head);
    if (headEnd != ResponseEnd::Whole || hasNoBody(method, m_status)) {
        return headEnd;
    }
    if (head.getChunkedTransferEncoding()) {
        return receiveChunks(body);
    }
    if (!head.hasContentLength()) {
        return ResponseEnd::CutShort;
    }
    const Poco::Int64 length = head.getContentLength64();
    if (length < 0) {
        return ResponseEnd::Malformed;
    }
    if (length > static_cast<Poco::Int64>(MaxResponseBody)) {
        return ResponseEnd::TooLarge;
    }
    return readBody(body, static_cast<std::size_t>(length)) ? ResponseEnd::Whole : ResponseEnd::CutShort;
}

int UpstreamSession::status() const
{
    return m_status;
}

ResponseEnd UpstreamSession::receiveHead(Poco::Net::HTTPResponse &head)
{
    for (unsigned n = 0; n <= MaxInterimResponses; ++n) {
        std::string text;
        switch (readHead(text, MaxResponseHead)) {
        case HeadEnd::Whole:
            break;
        case HeadEnd::NoMessage:
            return ResponseEnd::NoResponse;
        case HeadEnd::CutShort:
            return ResponseEnd::CutShort;
        case HeadEnd::TooLarge:
            return ResponseEnd::TooLarge;
        }
        m_status = parseStatus(text);
        if (!isFinalStatus(m_status) && !isInterimStatus(m_status)) {
            return ResponseEnd::Malformed;
        }
        head.clear();
        std::istringstream stream(text);
        try {
            head.read(stream);
        } catch (const Poco::Net::MessageException &) {
            return ResponseEnd::Malformed;
        }
        if (isFinalStatus(m_status)) {
            return ResponseEnd::Whole;
        }
        if (head.hasContentLength() || head.getChunkedTransferEncoding()) {
            return ResponseEnd::Malformed;
        }
    }
    return ResponseEnd::Malformed;
}

ResponseEnd UpstreamSession::receiveChunks(std::string &body)
{
    std::string line;
    for (;;) {
        std::size_t length = 0;
        if (!readLine(line, MaxChunkLine)) {
            return ResponseEnd::CutShort;
        }
        if (!parseChunkLength(line, length)) {
            return ResponseEnd::Malformed;
        }
        if (length > MaxResponseBody - body.size()) {
            return ResponseEnd::TooLarge;
        }
        if (length == 0) {
            break;
        }
        if (!readBody(body, length) || !readLine(line, MaxChunkLine)) {
            return ResponseEnd::CutShort;
        }
    }
    do { // trailer fields
        if (!readLine(line, MaxChunkLine)) {
            return ResponseEnd::CutShort;
        }
    } while (!line.empty());
    return ResponseEnd::Whole;
}

}
