#include <algorithm>
#include <tuple>

#include <catch2/catch.hpp>

#include "http/reader.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Http;

namespace
{

struct Outcome {
    ReadState state = ReadState::Idle;
    unsigned status = 0;
    std::string body;
    bool hasSurplus = false;
    ResultCode failure = ResultCode::Ok;

    bool operator==(const Outcome &) const = default;
};

struct Message {
    const char *what;
    std::string bytes;
};

constexpr std::size_t MaxBody = 40;
const std::string Head = "HTTP/1.1 200 OK\r\nX-Own: v\r\n";

std::vector<Message> responses()
{
    return {
        { "length", Head + "Content-Length: 5\r\n\r\nwhole" },
        { "length of 0", Head + "Content-Length: 0\r\n\r\n" },
        { "surplus after a length", Head + "Content-Length: 5\r\n\r\nwholeHTTP" },
        { "chunks", Head + "Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2;ext=1\r\nle\r\n0\r\n\r\n" },
        { "trailers", Head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-Sum: 1\r\n\r\n" },
        { "no length", Head + "\r\nwhole" },
        { "no length, no body", Head + "\r\n" },
        { "no content", "HTTP/1.1 204 No Content\r\nX-Own: v\r\n\r\n" },
        { "interim", "HTTP/1.1 103 Early Hints\r\nX-Own: v\r\n\r\n" },
        { "long body", Head + "Content-Length: 50\r\n\r\n" + std::string(50, 'x') },
        { "long body that looks like header fields", Head + "Content-Length: 50\r\n\r\nX-Request-Id: 1\r\n\r\n" + std::string(31, 'x') },
        { "long chunk", Head + "Transfer-Encoding: chunked\r\n\r\n32\r\n" + std::string(50, 'x') + "\r\n0\r\n\r\n" },
        { "long chunks",
          Head + "Transfer-Encoding: chunked\r\n\r\n1e\r\n" + std::string(30, 'x') + "\r\n1e\r\n" + std::string(30, 'x')
              + "\r\n0\r\n\r\n" },
        { "two lengths", Head + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nwhole!" },
        { "bad chunk", Head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nwhole\r\n" },
    };
}

std::vector<Message> requests()
{
    const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\n";
    return {
        { "length", head + "Content-Length: 5\r\n\r\nwhole" },
        { "no body", head + "\r\n" },
        { "empty lines before it", "\r\n\r\n" + head + "Content-Length: 5\r\n\r\nwhole" },
        { "next request", head + "Content-Length: 5\r\n\r\nwholeGET /b HTTP/1.1\r\n" },
        { "chunks", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2;ext=1\r\nle\r\n0\r\nX-Sum: 1\r\n\r\n" },
        { "long body", head + "Content-Length: 50\r\n\r\n" + std::string(50, 'x') },
        { "long body that looks like header fields", head + "Content-Length: 50\r\n\r\nX-Request-Id: 1\r\n\r\n" + std::string(31, 'x') },
        { "long chunk", head + "Transfer-Encoding: chunked\r\n\r\n32\r\n" + std::string(50, 'x') + "\r\n0\r\n\r\n" },
        { "two framings", head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" },
    };
}

using Pieces = std::vector<std::string_view>;

/// Calls \p check with the message undivided, byte by byte, and divided at each position and at each pair of positions.
template<typename Check>
void forEachDivision(std::string_view bytes, const Check &check)
{
    check(Pieces { bytes });
    Pieces single;
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        single.push_back(bytes.substr(n, 1));
    }
    check(single);
    for (std::size_t first = 1; first < bytes.size(); ++first) {
        for (std::size_t second = first; second < bytes.size(); ++second) {
            check(Pieces { bytes.substr(0, first), bytes.substr(first, second - first), bytes.substr(second) });
        }
    }
}

Outcome readResponse(const Pieces &pieces, std::optional<std::uint64_t> maxBody, bool takesParts)
{
    ResponseReader reader;
    reader.expect(false, maxBody);
    Outcome outcome;
    for (const std::string_view it : pieces) {
        const ReadState state = reader.feed(it);
        if (takesParts && state == ReadState::Partial && reader.hasHeader()) {
            outcome.status = reader.head().status;
            outcome.body += reader.takeBody();
        }
    }
    outcome.state = reader.finish();
    outcome.hasSurplus = reader.hasSurplus();
    if (outcome.state == ReadState::Complete) {
        const Response response = reader.take();
        outcome.status = response.status;
        outcome.body += response.body;
    } else {
        outcome.status = 0;
        outcome.body.clear();
    }
    return outcome;
}

Outcome readRequest(const Pieces &pieces)
{
    RequestReader reader(ReaderLimits { 4096, MaxBody });
    for (const std::string_view it : pieces) {
        reader.feed(it);
    }
    Outcome outcome;
    outcome.state = reader.state();
    outcome.failure = reader.failure();
    if (outcome.state == ReadState::Complete) {
        outcome.body = reader.take().body;
        outcome.hasSurplus = reader.state() != ReadState::Idle;
    }
    return outcome;
}

}

// Guards against a response that is thrown away, or accepted, because of how its bytes were divided: after a header section that came
// alone, a body without a limit was reported as too large, and a body above the limit was read when it came together with the header
// section.
TEST_CASE("a response is read alike however its bytes are divided", "[divided]")
{
    const Message message = GENERATE(from_range(responses()));
    const auto maxBody = GENERATE(std::optional<std::uint64_t>(), std::optional<std::uint64_t>(MaxBody));
    const bool takesParts = GENERATE(false, true);
    CAPTURE(message.what, maxBody.has_value(), takesParts);
    const Outcome expected = readResponse({ message.bytes }, maxBody, false);
    const bool isLong = std::string_view(message.what).starts_with("long");
    const bool isInvalid = std::string_view(message.what) == "two lengths" || std::string_view(message.what) == "bad chunk";
    CHECK(expected.state == ((isLong && maxBody) || isInvalid ? ReadState::Failed : ReadState::Complete));
    std::size_t different = 0;
    forEachDivision(message.bytes,
                    [&](const Pieces &pieces) { different += readResponse(pieces, maxBody, takesParts) == expected ? 0 : 1; });
    CHECK(different == 0);
}

// The same for requests.
TEST_CASE("a request is read alike however its bytes are divided", "[divided]")
{
    const Message message = GENERATE(from_range(requests()));
    CAPTURE(message.what);
    const Outcome expected = readRequest({ message.bytes });
    const bool isLong = std::string_view(message.what).starts_with("long");
    CHECK(expected.failure
          == (isLong                                                 ? ResultCode::BodyTooLarge
                  : std::string_view(message.what) == "two framings" ? ResultCode::HeaderInvalid
                                                                     : ResultCode::Ok));
    std::size_t different = 0;
    forEachDivision(message.bytes, [&](const Pieces &pieces) { different += readRequest(pieces) == expected ? 0 : 1; });
    CHECK(different == 0);
}
