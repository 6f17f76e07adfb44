#include "daemon/httpinput.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <string>
#include <string_view>

#include <Poco/String.h>

#include "daemon/httpmessage.h"

namespace Galenabarrow::Daemon
{

namespace
{

// Headers that decide what a request means. Two values for one of them make the request ambiguous, and two parsers
// could choose differently.
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
        return failure(ResultCode::BodyTooLarge, "the body may have at most " + std::to_string(maxBodyBytes) + " bytes");
    }
    return length;
}

bool isTokenCharacter(char ch)
{
    return std::isalnum(static_cast<unsigned char>(ch)) != 0 || std::string_view("!#$%&'*+-.^_`|~").find(ch) != std::string_view::npos;
}

bool isHeaderLine(std::string_view line)
{
    const std::size_t colon = line.find(':');
    return colon != std::string_view::npos && colon > 0 && std::all_of(line.begin(), line.begin() + colon, isTokenCharacter)
        && std::none_of(line.begin() + colon, line.end(), [](char ch) { return ch == '\r' || ch == '\0'; });
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
    return std::size_t { 0 };
}

Result<void> checkHeaderLines(std::string_view head)
{
    std::size_t begin = head.find('\n') + 1;
    while (begin < head.size()) {
        const std::size_t end = head.find('\n', begin);
        std::string_view line = head.substr(begin, end - begin);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (!line.empty() && !isHeaderLine(line)) {
            return failure(ResultCode::HeaderInvalid, "a header line is malformed");
        }
        begin = end == std::string_view::npos ? head.size() : end + 1;
    }
    return {};
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
