#include <catch2/catch.hpp>

#include "gateway/upstreampool.h"
#include "rawserver.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Gateway;

namespace
{

const Net::SocketAddress Address { "127.0.0.1", 28499 };
const std::string Answer = "HTTP/1.1 200 OK\r\nx-id: r1\r\nContent-Length: 5\r\n\r\nwhole";

/// A backend server that writes \c reply to each request, and a pool.
struct Fixture {
    explicit Fixture(std::string bytes)
        : reply(std::move(bytes))
        , server(loop, Address, [this](RawServer::Connection &connection, const Http::Request &) { connection.stream->write(reply); })
    {
        pool.setMemoryBudget(&budget);
        Routing::BackendServer backend;
        backend.id = ServerId("s0");
        backend.address = Address.text();
        attempt = pool.send(backend, UpstreamRequest { "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "r1" });
        attempt->onFailure([this](AttemptFailure it) { failure = it; });
        attempt->onResponse([this](Http::Response received) { response = std::move(received); });
        loop.after(std::chrono::milliseconds(100), [this] { loop.stop(); });
        loop.run();
    }

    ManualClock clock;
    Net::EventLoop loop { clock };
    Net::MemoryBudget budget { Net::MemoryBudgetSettings { std::size_t { 64 } * 1024 * 1024 } };
    std::string reply;
    RawServer server;
    UpstreamPool pool { loop, "x-id" };
    std::shared_ptr<Attempt> attempt;
    std::optional<AttemptFailure> failure;
    std::optional<Http::Response> response;
};

std::string answerWith(const std::string &status)
{
    return "HTTP/1.1 " + status + " OK\r\nx-id: r1\r\nx-sign: s0\r\nContent-Length: 5\r\n\r\nwhole";
}

}

// Guards against a status without a meaning that a caller gets as an answer, and against a request that waits until its timeout although no
// valid response can follow.
TEST_CASE("a response with a status that is not a final one fails at once", "[oddstatus]")
{
    const std::string status = GENERATE("000", "001", "099", "100", "101", "199", "600", "999", "1000", "20", "2OO", "-20");
    CAPTURE(status);
    const Fixture fixture(answerWith(status));
    CHECK_FALSE(fixture.response);
    CHECK(fixture.failure == AttemptFailure::Broken);
    CHECK_FALSE(fixture.server.connections.front().stream->isOpen());
}

// The same for a response that is larger than what is held of one.
TEST_CASE("a large response with a status that is not a final one fails at once", "[oddstatus]")
{
    const std::string status = GENERATE("000", "099", "600", "999");
    CAPTURE(status);
    const Fixture fixture("HTTP/1.1 " + status + " OK\r\nx-id: r1\r\nContent-Length: 4000000\r\n\r\n" + std::string(3'000'000, 'y'));
    CHECK_FALSE(fixture.response);
    CHECK(fixture.failure == AttemptFailure::Broken);
}

// Guards against an ordinary response that is thrown away.
TEST_CASE("final responses are passed on, also after interim ones", "[oddstatus]")
{
    const std::string status = GENERATE("200", "299", "304", "404", "500", "599");
    const Fixture fixture("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + answerWith(status));
    REQUIRE(fixture.response);
    CHECK(fixture.response->status == static_cast<unsigned>(std::stoi(status)));
    CHECK_FALSE(fixture.failure);
}

// Guards against a server that keeps an entry reading without ever answering.
TEST_CASE("interim responses without end fail", "[oddstatus]")
{
    std::string interim;
    for (int n = 0; n < 1000; ++n) {
        interim += "HTTP/1.1 102 Processing\r\n\r\n";
    }
    const Fixture fixture(interim + Answer);
    CHECK_FALSE(fixture.response);
    CHECK(fixture.failure == AttemptFailure::Broken);
}
