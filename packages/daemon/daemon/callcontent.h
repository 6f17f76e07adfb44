#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/id.h"
#include "base/outcome.h"
#include "base/resultcode.h"
#include "daemon/httpmessage.h"
#include "daemon/upstreamclient.h"

namespace Galenabarrow::Daemon
{

/// The part of a call's request that is the same for every server and attempt.
struct CallContent {
    std::string method;
    /// Path and query below the service.
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool isAction = false;
    /// The value of Galenabarrow-Depth in the request, 0 without one; servers receive it increased by 1.
    std::uint8_t depth = 0;
    /// The caller marked the call as a retry with Galenabarrow-Attempt.
    bool isRetryUpstream = false;
};

/// How a call ended, with the response that is passed on.
struct CallEnd {
    Outcome outcome = Outcome::NotRun;
    ResultCode code = ResultCode::Ok;
    /// Only for Outcome::Answered.
    UpstreamResponse response;
};

/// The end that another entry states in its reply to a forwarded call; unknown when it states none.
CallEnd endOfForwarded(UpstreamResponse response);
/// True for headers that belong to one connection or to the protocol between entry and server, and are not passed on.
bool isHopHeader(const std::string &name);
/// The reply to the caller.
HttpReply replyFor(CallEnd end);
/// The HTTP status of a call without a response.
int statusForCall(ResultCode code);

/// The load in a server's response; nothing when it states none or the value is malformed.
std::optional<Entry::ServerLoad> loadOf(const UpstreamResponse &response);
/// The time until which a server asks for no further calls. A future Galenabarrow-Reset-At takes precedence over a
/// positive Retry-After; other values are ignored. \p unixNow is the time of day in seconds at \p now.
std::optional<Instant> resetTimeOf(const UpstreamResponse &response, Instant now, std::int64_t unixNow);

}
