#include "daemon/httpinput.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string>
#include <string_view>

#include <Poco/String.h>

#include "daemon/httpmessage.h"

namespace Galenabarrow::Daemon
{

namespace
{

// Headers that decide what a request means. Two values for one of them make the request ambiguous, and two readers of
// it could choose differently.
constexpr auto SingleHeaders = std::to_array<const char *>({
    "Content-Length",
    "Transfer-Encoding",
    "Host",
    "If-Match",
    "Authorization",
    CustomerHeader,
    DeadlineHeader,
    ActionKeyHeader,
    DepthHeader,
    AttemptHeader,
    ChangeIdHeader,
    ForwardedHeader,
});

const char *contradictoryHeader(const Poco::Net::HTTPRequest &head)
{
    for (const char *name : SingleHeaders) {
        const std::string *first = nullptr;
        for (auto it = head.find(name); it != head.end() && Poco::icompare(it->first, name) == 0; ++it) {
            if (first != nullptr && *first != it->second) {
                return name;
            }
            first = &it->second;
        }
    }
    return nullptr;
}

Result<std::size_t> parseLength(const std::string &text, std::size_t maxBodyBytes)
{
    std::size_t length = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), length);
    if (ec == std::errc::result_out_of_range) {
        return failure(ResultCode::BodyTooLarge, "Content-Length is out of range");
    }
    if (ec != std::errc() || end != text.data() + text.size()) {
        return failure(ResultCode::HeaderInvalid, "Content-Length is not a number");
    }
    if (length > maxBodyBytes) {
        return failure(ResultCode::BodyTooLarge, "the body may have " + std::to_string(maxBodyBytes) + " bytes");
    }
    return length;
}

bool mayHaveBody(const std::string &method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

}

Result<std::size_t> checkHead(const Poco::Net::HTTPRequest &head, std::size_t maxBodyBytes)
{
    if (const char *name = contradictoryHeader(head)) {
        return failure(ResultCode::HeaderContradictory, std::string(name) + " is given twice with different values");
    }
    if (head.has("Transfer-Encoding")) {
        return failure(ResultCode::HeaderInvalid, "Transfer-Encoding is not supported; send Content-Length");
    }
    if (head.has("Content-Length")) {
        return parseLength(head.get("Content-Length"), maxBodyBytes);
    }
    if (mayHaveBody(head.getMethod())) {
        return failure(ResultCode::HeaderMissing, "Content-Length is missing");
    }
    return std::size_t { 0 };
}

int statusForInput(ResultCode code)
{
    switch (code) {
    case ResultCode::HeaderTooLarge:
        return 431;
    case ResultCode::BodyTooLarge:
        return 413;
    case ResultCode::TokenWrong:
        return 401;
    case ResultCode::PathUnknown:
        return 404;
    case ResultCode::TooManyConnections:
        return 503;
    default:
        return 400;
    }
}

}
