#include "http/server.h"

#include <stdexcept>

#include <catch2/catch.hpp>

#include "slowreader.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Http;

namespace
{

const Net::SocketAddress Address { "127.0.0.1", 28471 };

/// A server and a client on one event loop.
struct Fixture {
    explicit Fixture(Handler handler)
        : server(loop, std::move(handler))
    {
        ServerLimits limits;
        limits.headerTimeout = std::chrono::milliseconds(80);
        limits.bodyTimeout = std::chrono::milliseconds(80);
        limits.idleTimeout = std::chrono::milliseconds(80);
        limits.reader.bodyBytes = 1000;
        server.setLimits(limits);
        REQUIRE(server.listen(Address));
        client = Net::Stream::connect(loop, Address);
        client->onData([this](std::string_view bytes) { received.append(bytes); });
        client->onEnd([this](Net::StreamEnd) { isEnded = true; });
    }

    void runFor(int milliseconds)
    {
        loop.after(std::chrono::milliseconds(milliseconds), [this] { loop.stop(); });
        loop.run();
    }

    ManualClock clock;
    Net::EventLoop loop { clock };
    Server server;
    std::shared_ptr<Net::Stream> client;
    std::string received;
    bool isEnded = false;
};

void answerOk(const ExchangePointer &exchange)
{
    exchange->respond(makeResponse(200, exchange->request().target));
}

}

TEST_CASE("a connection stays open for further requests, and responses are sent in order")
{
    Fixture fixture(answerOk);
    fixture.client->write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.runFor(50);
    const std::size_t first = fixture.received.find("/1");
    const std::size_t second = fixture.received.find("/2");
    REQUIRE(first != std::string::npos);
    REQUIRE(second != std::string::npos);
    CHECK(first < second);
    CHECK_FALSE(fixture.isEnded);
}

TEST_CASE("a caller that disconnects before its response is detected")
{
    bool isDisconnected = false;
    ExchangePointer pending;
    Fixture fixture([&](const ExchangePointer &exchange) {
        pending = exchange;
        exchange->onDisconnected([&isDisconnected] { isDisconnected = true; });
    });
    fixture.client->write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.runFor(30);
    REQUIRE(pending != nullptr);
    CHECK(fixture.server.pendingCount() == 1);
    fixture.client->close();
    fixture.runFor(30);
    CHECK(isDisconnected);
    CHECK(fixture.server.connectionCount() == 0);
    pending->respond(makeResponse(200)); // must not access the removed connection
}

TEST_CASE("slow and idle connections are closed")
{
    struct Row {
        const char *sent;
        const char *status;
    };
    const Row row =
        GENERATE(Row { "", "" }, Row { "GET / HT", "408" }, Row { "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc", "408" });
    Fixture fixture(answerOk);
    fixture.client->write(row.sent);
    fixture.runFor(200);
    CHECK(fixture.isEnded);
    CHECK(fixture.received.find(row.status) != std::string::npos);
}

TEST_CASE("a body over the limit is rejected and the connection is closed")
{
    Fixture fixture(answerOk);
    fixture.client->write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n");
    fixture.runFor(50);
    CHECK(fixture.received.find("413") != std::string::npos);
    CHECK(fixture.isEnded);
}

TEST_CASE("a closing server answers a received request with Connection: close")
{
    ExchangePointer pending;
    Fixture fixture([&pending](const ExchangePointer &exchange) { pending = exchange; });
    fixture.client->write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.runFor(30);
    REQUIRE(pending != nullptr);
    fixture.server.startClosing();
    fixture.server.stopListening();
    fixture.server.closeIdle();
    fixture.runFor(10);
    CHECK_FALSE(fixture.isEnded);
    pending->respond(makeResponse(200, "late"));
    fixture.runFor(30);
    CHECK(fixture.received.find("Connection: close") != std::string::npos);
    CHECK(fixture.received.find("late") != std::string::npos);
    CHECK(fixture.isEnded);
}

TEST_CASE("100 Continue is sent to a caller that waits for it")
{
    Fixture fixture(answerOk);
    fixture.client->write("POST /1 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    fixture.runFor(20);
    CHECK(fixture.received.find("100 Continue") != std::string::npos);
    fixture.client->write("ok");
    fixture.runFor(20);
    CHECK(fixture.received.find("200 OK") != std::string::npos);
}

namespace
{

/// A fixture whose server hands requests over before the end of their body.
struct ForwardingFixture : Fixture {
    ForwardingFixture()
        : Fixture([this](const ExchangePointer &exchange) { exchanges.push_back(exchange); })
    {
        ServerLimits limits = server.limits();
        limits.forwardFrom = 10;
        limits.bodyBuffer = std::size_t { 64 } * 1024;
        limits.reader.bodyBytes = std::size_t { 64 } * 1024 * 1024;
        server.setLimits(limits);
    }

    void sendHead(std::size_t bodyLength, const char *fields = "")
    {
        client->write(std::string("POST /1 HTTP/1.1\r\nHost: h\r\n") + fields + "Content-Length: " + std::to_string(bodyLength)
                      + "\r\n\r\n");
    }

    std::vector<ExchangePointer> exchanges;
};

}

TEST_CASE("a long body is handed over while it is being received")
{
    ForwardingFixture fixture;
    std::size_t calls = 0;
    fixture.sendHead(20);
    fixture.client->write("0123456789abc");
    fixture.runFor(20);
    REQUIRE(fixture.exchanges.size() == 1);
    const ExchangePointer exchange = fixture.exchanges[0];
    exchange->onBody([&calls] { ++calls; });
    CHECK(exchange->bodyLength() == 20);
    CHECK(exchange->request().body == "0123456789abc");
    CHECK_FALSE(exchange->isBodyComplete());
    fixture.client->write("defghijGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.runFor(20);
    CHECK(calls == 1);
    CHECK(exchange->request().body == "0123456789abcdefghij");
    CHECK(exchange->isBodyComplete());
    CHECK(fixture.exchanges.size() == 1); // the next request waits for the response to this one
    exchange->respond(makeResponse(200));
    fixture.runFor(20);
    REQUIRE(fixture.exchanges.size() == 2);
    CHECK(fixture.exchanges[1]->request().target == "/2");
}

// Guards against a rest of a body that is taken for the next request, and against a reset that destroys the response.
TEST_CASE("after a response before the end of the body, the rest of the body is dropped")
{
    const bool isLast = GENERATE(false, true);
    ForwardingFixture fixture;
    fixture.sendHead(30, isLast ? "Connection: close\r\n" : "");
    fixture.client->write("0123456789");
    fixture.runFor(20);
    REQUIRE(fixture.exchanges.size() == 1);
    fixture.exchanges[0]->respond(makeResponse(503));
    fixture.runFor(20);
    CHECK(fixture.received.find("503") != std::string::npos);
    CHECK_FALSE(fixture.isEnded);
    fixture.client->write("GET /smuggled HTTP/1.");
    fixture.runFor(20);
    CHECK(fixture.isEnded == isLast);
    if (!isLast) {
        fixture.client->write("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
        fixture.runFor(20);
        REQUIRE(fixture.exchanges.size() == 2);
        CHECK(fixture.exchanges[1]->request().target == "/2");
    }
}

TEST_CASE("a caller that stops sending after an early response gets no second response")
{
    ForwardingFixture fixture;
    fixture.sendHead(30);
    fixture.runFor(20);
    REQUIRE(fixture.exchanges.size() == 1);
    fixture.exchanges[0]->respond(makeResponse(200));
    fixture.runFor(200);
    CHECK(fixture.isEnded);
    CHECK(fixture.received.find("408") == std::string::npos);
}

TEST_CASE("a caller that disconnects in the midst of its body is detected")
{
    ForwardingFixture fixture;
    bool isDisconnected = false;
    fixture.sendHead(30);
    fixture.runFor(20);
    REQUIRE(fixture.exchanges.size() == 1);
    fixture.exchanges[0]->onDisconnected([&isDisconnected] { isDisconnected = true; });
    fixture.client->close();
    fixture.runFor(20);
    CHECK(isDisconnected);
    CHECK_FALSE(fixture.exchanges[0]->isBodyComplete());
    CHECK(fixture.server.connectionCount() == 0);
}

// Guards against an entry that is killed for its memory because callers send faster than servers read.
TEST_CASE("a connection is not read while the handler holds a full buffer of its body")
{
    ForwardingFixture fixture;
    constexpr std::size_t Length = std::size_t { 8 } * 1024 * 1024;
    constexpr std::size_t ReadSize = std::size_t { 64 } * 1024;
    const std::size_t bound = fixture.server.limits().bodyBuffer + ReadSize;
    fixture.sendHead(Length);
    fixture.client->write(std::string(Length, 'x'));
    fixture.runFor(50);
    REQUIRE(fixture.exchanges.size() == 1);
    const ExchangePointer exchange = fixture.exchanges[0];
    CHECK(exchange->request().body.size() <= bound);
    for (int n = 0; n < 1000 && !exchange->isBodyComplete(); ++n) {
        exchange->discardBody(exchange->receivedBody());
        fixture.runFor(5);
        REQUIRE(exchange->request().body.size() <= bound);
    }
    CHECK(exchange->isBodyComplete());
    exchange->respond(makeResponse(200));
    fixture.runFor(20);
    CHECK(fixture.received.find("200 OK") != std::string::npos);
}

namespace
{

/// A server whose responses are large, and callers behind slow links.
struct LargeAnswerFixture : Fixture {
    static constexpr std::size_t AnswerBytes = 1'200'000;

    LargeAnswerFixture()
        : Fixture([](const ExchangePointer &exchange) { exchange->respond(makeResponse(200, std::string(AnswerBytes, 'a'))); })
    {
    }

    Net::SlowReader &addReader(std::string_view request = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
    {
        readers.push_back(std::make_unique<Net::SlowReader>(loop, Address));
        readers.back()->send(request);
        readers.back()->startReading();
        return *readers.back();
    }

    /// Runs until the server has no connections, and returns whether it had none before \p limit.
    bool runUntilClosed(int limit)
    {
        for (int n = 0; n < limit && server.connectionCount() > 0; n += 50) {
            server.closeIdle();
            runFor(50);
        }
        return server.connectionCount() == 0;
    }

    std::vector<std::unique_ptr<Net::SlowReader>> readers;
};

std::size_t bodySize(const std::string &received)
{
    const std::size_t end = received.find("\r\n\r\n");
    return end == std::string::npos ? 0 : received.size() - end - 4;
}

}

// Guards against a planned stop that cuts responses which are still being sent.
TEST_CASE("large responses to callers behind slow links are sent whole when the server closes idle connections")
{
    const bool wasClosing = GENERATE(false, true);
    LargeAnswerFixture fixture;
    fixture.client->close();
    if (wasClosing) {
        fixture.server.startClosing();
    }
    for (int n = 0; n < 8; ++n) {
        fixture.addReader();
    }
    fixture.runFor(500);
    fixture.server.startClosing();
    fixture.server.stopListening();
    CHECK(fixture.server.pendingCount() == 0);
    CHECK(fixture.runUntilClosed(6000));
    std::size_t whole = 0;
    for (const auto &it : fixture.readers) {
        whole += it->taken() > LargeAnswerFixture::AnswerBytes ? 1 : 0;
    }
    CHECK(whole == 8);
    fixture.runFor(300);
    for (const auto &it : fixture.readers) {
        CHECK(bodySize(it->received) == LargeAnswerFixture::AnswerBytes);
        CHECK(it->isEnded);
    }
}

// Guards against a response that is discarded since its caller has nothing more to send.
TEST_CASE("a caller that closes its side while its response is being sent gets the whole response")
{
    LargeAnswerFixture fixture;
    Net::SlowReader &reader = fixture.addReader();
    fixture.runFor(500);
    reader.closeSending();
    fixture.runFor(4000);
    CHECK(bodySize(reader.received) == LargeAnswerFixture::AnswerBytes);
    CHECK(reader.isEnded);
    CHECK_FALSE(reader.isReset);
}

// Guards against error responses that are destroyed by the reset of a connection on which the caller is still sending.
TEST_CASE("an error response reaches a caller that goes on sending its request")
{
    struct Row {
        const char *head;
        const char *status;
    };
    const Row row = GENERATE(Row { "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n", "413" },
                             Row { "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n", "400" },
                             Row { "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n", "408" });
    Fixture fixture(answerOk);
    Net::SlowReader sender(fixture.loop, Address);
    sender.send(row.head);
    bool isAccepted = true;
    const bool isSlow = std::string_view(row.status) == "408";
    for (int n = 0; n < 20; ++n) {
        isAccepted = isAccepted && sender.send(std::string(isSlow ? 1 : 20'000, 'x'));
        fixture.runFor(10);
    }
    CHECK(isAccepted);
    sender.startReading();
    fixture.runFor(50);
    CHECK(sender.received.find(row.status) != std::string::npos);
    CHECK(sender.isEnded);
    CHECK_FALSE(sender.isReset);
}

// Guards against a time without a request that begins before the caller has the response.
TEST_CASE("the idle timeout begins when the response was taken")
{
    LargeAnswerFixture fixture;
    Net::SlowReader &reader = fixture.addReader();
    while (bodySize(reader.received) < LargeAnswerFixture::AnswerBytes && !reader.isEnded) {
        fixture.runFor(10);
    }
    CHECK_FALSE(reader.isEnded);
    reader.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.runFor(300);
    CHECK(reader.received.size() > LargeAnswerFixture::AnswerBytes + 10'000);
}

// Guards against a process that ends since a handler threw, and against a connection that waits for ever.
TEST_CASE("an exception of a handler is answered and ends no other exchange")
{
    Fixture fixture([](const ExchangePointer &exchange) {
        if (exchange->request().target == "/bad") {
            throw std::runtime_error("unexpected");
        }
        answerOk(exchange);
    });
    fixture.client->write("GET /bad HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.runFor(20);
    CHECK(fixture.received.starts_with("HTTP/1.1 500"));
    fixture.received.clear();
    fixture.client->write("GET /good HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.runFor(20);
    CHECK(fixture.received.starts_with("HTTP/1.1 200"));
    CHECK(fixture.server.pendingCount() == 0);
}
