#include "http/reader.h"

#include <algorithm>

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace Galenabarrow::Http;

TEST_CASE("a request is read completely from pieces of any size")
{
    const std::string text =
        "POST /a/b?x=1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nX-Own: v\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    const std::size_t piece = GENERATE(1U, 2U, 7U, 1000U);
    RequestReader reader({});
    for (std::size_t n = 0; n < text.size(); n += piece) {
        reader.feed(std::string_view(text).substr(n, piece));
    }
    REQUIRE(reader.state() == ReadState::Complete);
    const Request request = reader.take();
    CHECK(request.method == "POST");
    CHECK(request.target == "/a/b?x=1");
    CHECK(request.path() == "/a/b");
    CHECK(request.body == "abcde");
    CHECK(request.keepsAlive);
    CHECK(reader.state() == ReadState::Idle);
}

TEST_CASE("pipelined requests are read one after the other")
{
    RequestReader reader({});
    reader.feed("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    REQUIRE(reader.state() == ReadState::Complete);
    CHECK(reader.take().target == "/1");
    REQUIRE(reader.state() == ReadState::Complete);
    const Request second = reader.take();
    CHECK(second.target == "/2");
    CHECK_FALSE(second.keepsAlive);
}

TEST_CASE("invalid requests fail with a result code")
{
    struct Row {
        const char *what;
        std::string text;
        ResultCode code;
    };
    const Row row =
        GENERATE(Row { "no request line", "this is no request\r\n\r\n", ResultCode::HeaderInvalid },
                 Row { "long header", "GET / HTTP/1.1\r\nX: " + std::string(5000, 'x') + "\r\n\r\n", ResultCode::HeaderTooLarge },
                 Row { "endless header", std::string("GET /") + std::string(5000, 'x'), ResultCode::HeaderTooLarge },
                 Row { "long body", "POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" + std::string(5000, 'x'), ResultCode::BodyTooLarge },
                 Row { "two framings", "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                       ResultCode::HeaderInvalid },
                 Row { "bad length", "POST / HTTP/1.1\r\nContent-Length: 3x\r\n\r\nabc", ResultCode::HeaderInvalid },
                 Row { "bad chunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n", ResultCode::HeaderInvalid });
    INFO(row.what);
    RequestReader reader(ReaderLimits { 4096, 4096 });
    reader.feed(row.text);
    REQUIRE(reader.state() == ReadState::Failed);
    CHECK(reader.failure() == row.code);
}

TEST_CASE("a response without a length is completed by an orderly close only")
{
    ResponseReader reader;
    reader.expect(false);
    reader.feed("HTTP/1.1 200 OK\r\nX-Own: v\r\n\r\npart");
    REQUIRE(reader.state() == ReadState::Partial);
    CHECK(reader.finish() == ReadState::Complete);
    const Response response = reader.take();
    CHECK(response.body == "part");
    CHECK(response.isCloseDelimited);
}

TEST_CASE("a response that ends early is not complete")
{
    const std::string text =
        GENERATE("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
                 "HTTP/1.1 200 OK\r\nContent-Le", "");
    ResponseReader reader;
    reader.expect(false);
    reader.feed(text);
    CHECK(reader.finish() != ReadState::Complete);
}

// Guards against an answer that looks whole although its server stopped in the middle of it and closed the connection.
TEST_CASE("a response that is cut after any byte is complete only if nothing of it is missing")
{
    struct Row {
        const char *what;
        std::string head;
        std::string rest;
        /// The body has no stated length: it ends with the connection.
        bool isCloseDelimited;
    };
    const std::string status = "HTTP/1.1 200 OK\r\nX-Own: v\r\n";
    const Row row = GENERATE_COPY(
        Row { "length", status + "Content-Length: 5\r\n\r\n", "whole", false },
        Row { "length of 0", status + "Content-Length: 0\r\n\r\n", "", false }, Row { "no length", status + "\r\n", "whole", true },
        Row { "no length, to be closed", status + "Connection: close\r\n\r\n", "whole", true },
        Row { "HTTP/1.0", "HTTP/1.0 200 OK\r\nX-Own: v\r\n\r\n", "whole", true },
        Row { "chunks", status + "Transfer-Encoding: chunked\r\n\r\n", "3\r\nwho\r\n2;ext=1\r\nle\r\n0\r\n\r\n", false },
        Row { "chunk of two digits", status + "Transfer-Encoding: chunked\r\n\r\n", "12\r\nwhole, 18 bytes it\r\n0\r\n\r\n", false },
        Row { "trailers", status + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nwhole\r\n0\r\nX-Sum: 1\r\nX-End: 2\r\n\r\n", false },
        Row { "no body", "HTTP/1.1 204 No Content\r\nX-Own: v\r\n\r\n", "", false },
        Row { "interim", "HTTP/1.1 100 Continue\r\nX-Own: v\r\n\r\n", "", false });
    const bool isByteByByte = GENERATE(false, true);
    INFO(row.what);
    const std::string whole = row.head + row.rest;
    for (std::size_t size = 0; size <= whole.size(); ++size) {
        INFO("cut after " << size << " of " << whole.size() << " bytes");
        ResponseReader reader;
        reader.expect(false);
        const std::size_t piece = isByteByByte ? 1 : whole.size();
        for (std::size_t n = 0; n < size; n += piece) {
            reader.feed(std::string_view(whole).substr(n, std::min(piece, size - n)));
        }
        const bool isComplete = reader.finish() == ReadState::Complete;
        CHECK(isComplete == (size == whole.size() || (row.isCloseDelimited && size >= row.head.size())));
        if (isComplete && size == whole.size()) {
            const Response response = reader.take();
            CHECK(response.body.size() == (row.rest.empty() ? 0 : row.rest.starts_with("12") ? 18 : 5));
        }
    }
}

TEST_CASE("bytes after a response are detected and are not part of it")
{
    ResponseReader reader;
    reader.expect(false);
    reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
    REQUIRE(reader.state() == ReadState::Complete);
    CHECK(reader.hasSurplus());
    CHECK(reader.take().body == "ok");
}

TEST_CASE("bytes that are not an HTTP response fail")
{
    ResponseReader reader;
    reader.expect(false);
    CHECK(reader.feed("\x01\x02garbage\r\n\r\n") == ReadState::Failed);
}

TEST_CASE("the response to HEAD has no body")
{
    ResponseReader reader;
    reader.expect(true);
    CHECK(reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n") == ReadState::Complete);
}

TEST_CASE("connection-specific fields are removed")
{
    Fields fields;
    for (const char *name : { "Connection", "Keep-Alive", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "X-Named" }) {
        fields.add(name, "v");
    }
    fields.set("Connection", "close, x-named");
    fields.add("X-Kept", "1");
    fields.removeConnectionFields();
    REQUIRE(fields.all().size() == 1);
    CHECK(fields.all()[0].name == "X-Kept");
}

TEST_CASE("a serialized request is parsed to an equal one")
{
    Request request;
    request.method = GENERATE("GET", "POST", "DELETE", "PUT");
    request.target = "/p/q?r=%20";
    request.fields.add("Host", "h");
    request.body = GENERATE("", "body");
    RequestReader reader({});
    REQUIRE(reader.feed(serialize(request)) == ReadState::Complete);
    const Request back = reader.take();
    CHECK(back.method == request.method);
    CHECK(back.target == request.target);
    CHECK(back.body == request.body);
}

// Guards against unbounded buffering when a peer sends endless bytes outside a body: reading the message must fail.
TEST_CASE("endless bytes in a header section, a chunk header or a trailer fail")
{
    const std::string head =
        GENERATE(std::string("X-Endless: "), std::string("Transfer-Encoding: chunked\r\n\r\n5;"),
                 std::string("Transfer-Encoding: chunked\r\n\r\n5"), std::string("Transfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: "));
    const std::string endless(std::size_t { 16 } * 1024, '0');
    constexpr int Pieces = 64; // 1 MiB

    ResponseReader response;
    response.expect(false);
    response.feed("HTTP/1.1 200 OK\r\n" + head);
    RequestReader request({});
    request.feed("POST /a HTTP/1.1\r\nHost: h\r\n" + head);
    for (int n = 0; n < Pieces; ++n) {
        response.feed(endless);
        request.feed(endless);
    }
    CHECK(response.state() == ReadState::Failed);
    CHECK(request.state() == ReadState::Failed);
}

// Guards against an entry that refuses all requests because a stored limit does not fit into the parser's 32 bits.
TEST_CASE("a limit for the header section above 32 bits is as good as none")
{
    ReaderLimits limits;
    limits.headerBytes = std::size_t { 1 } << 32U;
    RequestReader reader(limits);
    CHECK(reader.feed("GET /a HTTP/1.1\r\nHost: h\r\n\r\n") == ReadState::Complete);
}
