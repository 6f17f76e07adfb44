#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "base/id.h"
#include "gateway/headernames.h"
#include "gateway/limitfield.h"
#include "gateway/noticefields.h"

namespace Galenabarrow::Gateway
{

/// The kinds of responses in which a server makes statements about itself.
enum class StatementSource : std::uint8_t {
    /// The response to a request that was run.
    Response,
    /// The response to a request that was not run.
    Rejection,
    Probe,
};

/// What a server says of itself in one response.
struct ServerStatement {
    StatementSource source = StatementSource::Response;
    unsigned status = 0;
    LimitField limit;
    NoticeFields notices;
    /// The remaining cold time; only in responses to probes, absent when none is stated.
    std::optional<Duration> coldLeft {};
};

/// Reads what \p response to the request \p requestId says of the server that it was sent to. Absent when it says nothing of that server:
/// it does not name the request, states another server, or is neither signed nor marked as a rejection.
std::optional<ServerStatement> readStatement(const Http::Response &response, const HeaderNames &names, const ServerId &server,
                                             std::string_view requestId);
/// As readStatement(), for the response to a probe: it has to name the server.
std::optional<ServerStatement> readProbeStatement(const Http::Response &response, const HeaderNames &names, const ServerId &server);

}
