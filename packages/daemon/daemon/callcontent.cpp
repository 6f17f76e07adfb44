#include "daemon/callcontent.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>

namespace Galenabarrow::Daemon
{

namespace
{

constexpr auto HopHeaders = std::to_array<std::string_view>({
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Transfer-Encoding",
    "TE",
    "Trailer",
    "Upgrade",
    "Content-Length",
    "Host",
    "Expect",
    OutcomeHeader,
    CodeHeader,
    LoadHeader,
    RefusedHeader,
    ResetAtHeader,
    CustomerHeader,
    DepthHeader,
    AttemptHeader,
    AttemptIdHeader,
    DeadlineHeader,
    ForwardedHeader,
    ActionKeyHeader,
    "Content-Type",
});

struct StatusRow {
    ResultCode code;
    int status;
};

constexpr auto Statuses = std::to_array<StatusRow>({
    { ResultCode::NoContract, 403 },
    { ResultCode::ServiceNotInContract, 403 },
    { ResultCode::RateLimited, 429 },
    { ResultCode::ConcurrencyLimited, 429 },
    { ResultCode::DeadlineExpired, 504 },
    { ResultCode::AttemptTimedOut, 504 },
    { ResultCode::ConnectionLost, 502 },
    { ResultCode::AnswerCutShort, 502 },
    { ResultCode::AnswerTooLarge, 502 },
    { ResultCode::OutcomeUnknown, 502 },
    { ResultCode::KeyOwnerUnreachable, 502 },
    { ResultCode::KeyOwnerEnded, 409 },
    { ResultCode::KeyAlreadyRefused, 409 },
    { ResultCode::KeyWindowForgotten, 409 },
    { ResultCode::KeyInProgress, 409 },
    { ResultCode::KeyAlreadyRun, 409 },
});

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

// Limits how long a server can exclude itself from use with one response.
constexpr std::int64_t MaxResetSeconds = 86'400;

}

bool isHopHeader(const std::string &name)
{
    return std::any_of(HopHeaders.begin(), HopHeaders.end(), [&name](std::string_view it) { return isSameHeader(name, it); });
}

int statusForCall(ResultCode code)
{
    const auto it = std::find_if(Statuses.begin(), Statuses.end(), [code](const StatusRow &row) { return row.code == code; });
    return it == Statuses.end() ? 503 : it->status;
}

HttpReply replyFor(CallEnd end)
{
    if (end.outcome != Outcome::Answered) {
        return errorReply(statusForCall(end.code), end.outcome, end.code, resultCodeName(end.code));
    }
    HttpReply reply;
    reply.status = end.response.status;
    reply.contentType = end.response.header("Content-Type");
    reply.headers.reserve(end.response.headers.size() + 2);
    for (auto &field : end.response.headers) {
        if (!isHopHeader(field.first)) {
            reply.headers.push_back(std::move(field));
        }
    }
    reply.headers.emplace_back(OutcomeHeader, std::string(outcomeName(end.outcome)));
    reply.headers.emplace_back(CodeHeader, std::to_string(static_cast<int>(end.code)));
    reply.body = std::move(end.response.body);
    return reply;
}

std::optional<Entry::ServerLoad> loadOf(const UpstreamResponse &response)
{
    const std::string text = response.header(LoadHeader);
    const std::size_t slash = text.find('/');
    if (slash == std::string::npos) {
        return std::nullopt;
    }
    const std::optional<std::int64_t> inFlight = parseNumber(std::string_view(text).substr(0, slash));
    const std::optional<std::int64_t> slots = parseNumber(std::string_view(text).substr(slash + 1));
    if (!inFlight || !slots || *inFlight < 0 || *slots <= 0 || *inFlight > UINT16_MAX || *slots > UINT16_MAX) {
        return std::nullopt;
    }
    return Entry::ServerLoad { static_cast<std::uint32_t>(*inFlight), static_cast<std::uint32_t>(*slots) };
}

std::optional<Instant> resetTimeOf(const UpstreamResponse &response, Instant now, std::int64_t unixNow)
{
    const std::optional<std::int64_t> absolute = parseNumber(response.header(ResetAtHeader));
    if (absolute && *absolute > unixNow) {
        return now + std::chrono::seconds(std::min(*absolute - unixNow, MaxResetSeconds));
    }
    const std::optional<std::int64_t> relative = parseNumber(response.header("Retry-After"));
    if (relative && *relative > 0) {
        return now + std::chrono::seconds(std::min(*relative, MaxResetSeconds));
    }
    return std::nullopt;
}

CallEnd endOfForwarded(UpstreamResponse response)
{
    const std::string outcome = response.header(OutcomeHeader);
    const auto code = static_cast<ResultCode>(std::strtoul(response.header(CodeHeader).c_str(), nullptr, 10));
    if (outcome == outcomeName(Outcome::Answered)) {
        return CallEnd { Outcome::Answered, code, std::move(response) };
    }
    if (outcome == outcomeName(Outcome::NotRun)) {
        return CallEnd { Outcome::NotRun, code, {} };
    }
    return CallEnd { Outcome::Unknown, code == ResultCode::Ok ? ResultCode::KeyOwnerUnreachable : code, {} };
}

}
