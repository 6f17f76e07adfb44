#pragma once

#include <string>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPResponse.h>

#include "base/clock.h"
#include "daemon/wholemessage.h"

namespace Galenabarrow::Daemon
{

/// How the reading of a response ended.
enum class ResponseEnd : unsigned char {
    Whole,
    /// The stream ended before the first byte of a response.
    NoResponse,
    CutShort,
    TooLarge,
    Malformed,
};

/// One connection to a server. It connects, sends and receives only on explicit calls, and never resends.
class UpstreamSession : public WholeMessageSession<Poco::Net::HTTPClientSession>
{
public:
    /// \p address is "host:port".
    explicit UpstreamSession(const std::string &address);

    /// Connects within \p timeout; throws Poco exceptions.
    void open(Duration timeout);
    /// True when the server has closed the connection or sent bytes that belong to no response.
    bool isStale();
    /// Bounds each send from now on by \p timeout.
    void setSendTimeout(Duration timeout);
    /// Bounds each receive from now on by \p timeout.
    void setReceiveTimeout(Duration timeout);
    /// Reads a complete response to \p method. Throws Poco exceptions when the connection fails. A body whose length is
    /// not stated counts as cut short, because its end cannot be distinguished from a lost connection.
    ResponseEnd receiveWhole(const std::string &method, Poco::Net::HTTPResponse &head, std::string &body);
    /// The status of the last response; its getStatus() is undefined for numbers beyond POCO's list.
    int status() const;

private:
    ResponseEnd receiveHead(Poco::Net::HTTPResponse &head);
    ResponseEnd receiveChunks(std::string &body);

    int m_status = 0;
};

/// Largest response body in bytes.
constexpr std::size_t MaxResponseBody = std::size_t { 8 } << 20U;

}
