#include "daemon/callerinput.h"

#include <algorithm>
#include <charconv>
#include <limits>

#include "base/name.h"

namespace Galenabarrow::Daemon
{

namespace
{

constexpr std::string_view ServicePrefix = "/s/";
constexpr std::uint64_t MaxDeadlineMs = 3'600'000;

template<typename Number>
Result<Number> parseHeader(const Poco::Net::HTTPRequest &head, const char *name, Number max)
{
    const std::string &text = head.get(name);
    Number number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc() || end != text.data() + text.size() || number > max) {
        return failure(ResultCode::HeaderInvalid, std::string(name) + " has to be a whole number from 0 to " + std::to_string(max));
    }
    return number;
}

Result<std::uint8_t> parseOptionalByte(const Poco::Net::HTTPRequest &head, const char *name)
{
    if (!head.has(name)) {
        return std::uint8_t { 0 };
    }
    return parseHeader<std::uint8_t>(head, name, std::numeric_limits<std::uint8_t>::max() - 1);
}

Result<void> parsePath(const HttpRequest &request, CallerInput &input)
{
    const std::string_view uri = request.head.getURI();
    if (!uri.starts_with(ServicePrefix)) {
        return failure(ResultCode::PathUnknown, "the path has to start with /s/<service>/");
    }
    const std::string_view rest = uri.substr(ServicePrefix.size());
    const std::size_t slash = rest.find('/');
    if (slash == std::string_view::npos || slash == 0) {
        return failure(ResultCode::PathUnknown, "the path has to start with /s/<service>/");
    }
    input.service = ServiceId(std::string(rest.substr(0, slash)));
    input.target = rest.substr(slash);
    return {};
}

Result<void> parseHeaders(const Poco::Net::HTTPRequest &head, CallerInput &input)
{
    for (const char *name : { CustomerHeader, DeadlineHeader }) {
        if (!head.has(name)) {
            return failure(ResultCode::HeaderMissing, std::string(name) + " is missing");
        }
    }
    input.customer = CustomerId(head.get(CustomerHeader));
    if (!isName(input.customer.value())) {
        return failure(ResultCode::HeaderInvalid, std::string(CustomerHeader) + " is not a name");
    }
    const Result<std::uint64_t> deadline = parseHeader<std::uint64_t>(head, DeadlineHeader, MaxDeadlineMs);
    const Result<std::uint8_t> depth = parseOptionalByte(head, DepthHeader);
    const Result<std::uint8_t> attempt = parseOptionalByte(head, AttemptHeader);
    if (!deadline) {
        return tl::make_unexpected(deadline.error());
    }
    if (!depth) {
        return tl::make_unexpected(depth.error());
    }
    if (!attempt) {
        return tl::make_unexpected(attempt.error());
    }
    input.timeLeft = std::chrono::milliseconds(*deadline);
    input.depth = *depth;
    input.isRetryUpstream = *attempt > 0;
    input.forwardedBy = head.get(ForwardedHeader, "");
    return {};
}

/// True when the path has no parts that a server may normalise or decode to another path.
bool isPlainPath(std::string_view path)
{
    const bool hasSpecial = path.find_first_of("%\\;#") != std::string_view::npos;
    return !hasSpecial && path.find("..") == std::string_view::npos && path.find("//") == std::string_view::npos
        && path.find("/./") == std::string_view::npos;
}

bool hasPathPrefix(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
}

}

Result<CallerInput> parseCall(const HttpRequest &request)
{
    CallerInput input;
    if (const Result<void> path = parsePath(request, input); !path) {
        return tl::make_unexpected(path.error());
    }
    if (const Result<void> headers = parseHeaders(request.head, input); !headers) {
        return tl::make_unexpected(headers.error());
    }
    if (request.head.has(ActionKeyHeader)) {
        Result<Actions::ActionKey> key = Actions::parseActionKey(request.head.get(ActionKeyHeader));
        if (!key) {
            return tl::make_unexpected(key.error());
        }
        input.key = std::move(*key);
    }
    return input;
}

bool isIdempotent(std::string_view method, std::string_view target, const ServiceTerms *terms)
{
    if (method == "GET" || method == "HEAD") {
        return true;
    }
    const std::string_view path = target.substr(0, target.find('?'));
    if (terms == nullptr || !isPlainPath(path)) {
        return false;
    }
    return std::any_of(terms->idempotentPaths.begin(), terms->idempotentPaths.end(),
                       [path](const std::string &prefix) { return hasPathPrefix(path, prefix); });
}

CallContent contentOf(HttpRequest &request, const CallerInput &input, bool isAction)
{
    CallContent content;
    content.method = request.head.getMethod();
    content.target = input.target;
    content.headers.reserve(request.head.size());
    for (const auto &field : request.head) {
        if (!isHopHeader(field.first)) {
            content.headers.push_back(field);
        }
    }
    // Hop headers that the server needs nevertheless, for this call or to pass them on with its own calls.
    for (const char *name : { CustomerHeader, ActionKeyHeader, "Content-Type" }) {
        if (request.head.has(name)) {
            content.headers.emplace_back(name, request.head.get(name));
        }
    }
    content.body = std::move(request.body);
    content.isAction = isAction;
    content.depth = input.depth;
    content.isRetryUpstream = input.isRetryUpstream;
    return content;
}

}
