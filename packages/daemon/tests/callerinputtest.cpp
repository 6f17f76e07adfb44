#include "daemon/callerinput.h"

#include <catch2/catch.hpp>

#include "daemon/httpinput.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Daemon;

namespace
{

using Fields = std::vector<std::pair<std::string, std::string>>;

HttpRequest makeRequest(const std::string &uri, const Fields &fields)
{
    HttpRequest request;
    request.head.setMethod("POST");
    request.head.setURI(uri);
    for (const auto &[name, value] : fields) {
        request.head.add(name, value);
    }
    return request;
}

const std::pair<std::string, std::string> Customer { CustomerHeader, "abyssinia" };
const std::pair<std::string, std::string> Deadline { DeadlineHeader, "500" };

}

// Guards against lenient parsing of headers: a malformed number must not be read as another number.
TEST_CASE("invalid calls are refused with a result code", "[daemon][input]")
{
    struct Row {
        std::string uri;
        Fields fields;
        ResultCode code;
    };
    const auto row = GENERATE(values<Row>({
        { "/s/orders/stock", { Customer, Deadline }, ResultCode::Ok },
        { "/orders/stock", { Customer, Deadline }, ResultCode::PathUnknown },
        { "/s/orders", { Customer, Deadline }, ResultCode::PathUnknown },
        { "/s//stock", { Customer, Deadline }, ResultCode::PathUnknown },
        { "/s/orders/stock", { Deadline }, ResultCode::HeaderMissing },
        { "/s/orders/stock", { Customer }, ResultCode::HeaderMissing },
        { "/s/orders/stock", { { CustomerHeader, "a b" }, Deadline }, ResultCode::HeaderInvalid },
        { "/s/orders/stock", { { CustomerHeader, "" }, Deadline }, ResultCode::HeaderInvalid },
        { "/s/orders/stock", { Customer, { DeadlineHeader, "" } }, ResultCode::HeaderInvalid },
        { "/s/orders/stock", { Customer, { DeadlineHeader, "-5" } }, ResultCode::HeaderInvalid },
        { "/s/orders/stock", { Customer, { DeadlineHeader, "5s" } }, ResultCode::HeaderInvalid },
        { "/s/orders/stock", { Customer, { DeadlineHeader, "1e3" } }, ResultCode::HeaderInvalid },
        { "/s/orders/stock", { Customer, { DeadlineHeader, "99999999999999999999" } }, ResultCode::HeaderInvalid },
        { "/s/orders/stock", { Customer, Deadline, { DepthHeader, "256" } }, ResultCode::HeaderInvalid },
        { "/s/orders/stock", { Customer, Deadline, { AttemptHeader, "x" } }, ResultCode::HeaderInvalid },
        { "/s/orders/stock", { Customer, Deadline, { ActionKeyHeader, "broken:scope:1" } }, ResultCode::HeaderInvalid },
        { "/s/orders/stock", { Customer, Deadline, { ActionKeyHeader, "" } }, ResultCode::HeaderInvalid },
    }));
    CAPTURE(row.uri, row.fields);
    const Result<CallerInput> input = parseCall(makeRequest(row.uri, row.fields));
    REQUIRE((input ? ResultCode::Ok : input.error().code) == row.code);
}

// Guards against an ambiguous request head that two parsers interpret differently.
TEST_CASE("ambiguous request heads and oversized bodies are refused", "[daemon][input]")
{
    struct Row {
        Fields fields;
        ResultCode code;
    };
    const auto row = GENERATE(values<Row>({
        { { { "Content-Length", "100" } }, ResultCode::Ok },
        { { { "Content-Length", "7" }, { "content-length", "7" } }, ResultCode::Ok },
        { { { "Content-Length", "7" }, { "content-length", "8" } }, ResultCode::HeaderContradictory },
        { { { "Content-Length", "0" }, { CustomerHeader, "a" }, { "galenabarrow-customer", "b" } }, ResultCode::HeaderContradictory },
        { { { "Content-Length", "0" }, { ActionKeyHeader, "a" }, { ActionKeyHeader, "b" } }, ResultCode::HeaderContradictory },
        { { { "Content-Length", "7" }, { "Transfer-Encoding", "chunked" } }, ResultCode::HeaderInvalid },
        { { { "Transfer-Encoding", "chunked" } }, ResultCode::HeaderInvalid },
        { { { "Content-Length", "1000" } }, ResultCode::BodyTooLarge },
        { { { "Content-Length", "99999999999999999999999" } }, ResultCode::BodyTooLarge },
        { { { "Content-Length", "-1" } }, ResultCode::HeaderInvalid },
        { { { "Content-Length", "seven" } }, ResultCode::HeaderInvalid },
        { {}, ResultCode::Ok },
    }));
    CAPTURE(row.fields);
    const Result<std::size_t> length = checkHead(makeRequest("/s/orders/stock", row.fields).head, 100);
    REQUIRE((length ? ResultCode::Ok : length.error().code) == row.code);
}

// Guards against an action that counts as a lookup because its path resembles a listed one.
TEST_CASE("only listed plain paths, GET and HEAD are idempotent", "[daemon][input]")
{
    struct Row {
        const char *method;
        const char *target;
        bool isIdempotent;
    };
    const auto row = GENERATE(values<Row>({
        { "GET", "/orders", true },
        { "HEAD", "/orders", true },
        { "POST", "/orders", false },
        { "POST", "/stock", true },
        { "POST", "/stock/price?x=1", true },
        { "POST", "/stockpile", false },
        { "POST", "/stock/../orders", false },
        { "POST", "/stock/%2e%2e/orders", false },
        { "POST", "//stock", false },
        { "POST", "/stock//orders", false },
        { "POST", "/orders?path=/stock", false },
        { "DELETE", "/orders", false },
    }));
    CAPTURE(row.method, row.target);
    ServiceTerms terms;
    terms.idempotentPaths = { "/stock" };
    REQUIRE(isIdempotent(row.method, row.target, &terms) == row.isIdempotent);
    REQUIRE(isIdempotent("POST", row.target, nullptr) == false);
}

// Guards against a server's reset time that is ignored, or an expired one that is applied (CLIProxyAPI issue 7482).
TEST_CASE("a future absolute reset time takes precedence over a positive relative one", "[daemon][input]")
{
    struct Row {
        const char *resetAt;
        const char *retryAfter;
        int seconds;
    };
    const auto row = GENERATE(values<Row>({
        { "1030", "", 30 },
        { "1030", "5", 30 },
        { "990", "5", 5 },
        { "1000", "", 0 },
        { "", "5", 5 },
        { "", "0", 0 },
        { "", "-3", 0 },
        { "soon", "later", 0 },
        { "", "", 0 },
        { "99999999999", "", 24 * 3600 },
    }));
    CAPTURE(row.resetAt, row.retryAfter);
    UpstreamResponse response;
    response.headers = { { "galenabarrow-reset-at", row.resetAt }, { "Retry-After", row.retryAfter } };
    const Instant now { std::chrono::hours(1) };
    const std::optional<Instant> reset = resetTimeOf(response, now, 1000);
    REQUIRE(reset.has_value() == (row.seconds > 0));
    if (reset) {
        REQUIRE(*reset == now + std::chrono::seconds(row.seconds));
    }
}
