#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/StreamSocket.h>

#include "base/clock.h"
#include "base/outcome.h"
#include "base/resultcode.h"

namespace Galenabarrow::Daemon
{

// Header names of the protocols in sections 3.6 and 3.7 of the design page.
constexpr const char *CustomerHeader = "Galenabarrow-Customer";
constexpr const char *DeadlineHeader = "Galenabarrow-Deadline-Ms";
constexpr const char *ActionKeyHeader = "Galenabarrow-Action-Key";
constexpr const char *DepthHeader = "Galenabarrow-Depth";
constexpr const char *AttemptHeader = "Galenabarrow-Attempt";
constexpr const char *AttemptIdHeader = "Galenabarrow-Attempt-Id";
constexpr const char *OutcomeHeader = "Galenabarrow-Outcome";
constexpr const char *CodeHeader = "Galenabarrow-Code";
constexpr const char *LoadHeader = "Galenabarrow-Load";
constexpr const char *RefusedHeader = "Galenabarrow-Refused";
constexpr const char *ResetAtHeader = "Galenabarrow-Reset-At";
constexpr const char *ChangeIdHeader = "Galenabarrow-Change-Id";
/// Set by an entry that forwards an action to the entry that owns its key.
constexpr const char *ForwardedHeader = "Galenabarrow-Forwarded-By";

/// A request that was read completely.
struct HttpRequest {
    Poco::Net::HTTPRequest head;
    std::string body;
    /// When its head was read.
    Instant arrivedAt {};
    /// The caller's connection, to detect that the caller has closed it.
    Poco::Net::StreamSocket connection;

    /// The path without the query.
    std::string_view path() const;
};

/// A reply with its complete body.
struct HttpReply {
    int status = 200;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string contentType = "application/json";
    std::string body;
};

/// Compares header names, ignoring case.
bool isSameHeader(std::string_view a, std::string_view b);
/// Adds a header line to \p head. Line breaks and null characters in \p value become spaces: Poco decodes encoded words
/// (RFC 2047) when it reads a head, so a value can contain them, and they would add lines or a complete message.
void appendHeader(std::string &head, std::string_view name, std::string_view value);
/// The value of \p outcome in Galenabarrow-Outcome.
std::string_view outcomeName(Outcome outcome);
/// A reply with the JSON body {"code", "name", "detail"} and the headers for outcome and code.
HttpReply errorReply(int status, Outcome outcome, ResultCode code, std::string_view detail);

}
