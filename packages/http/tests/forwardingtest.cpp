#include "http/server.h"

#include <catch2/catch.hpp>

#include "slowreader.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Http;

namespace
{

const Net::SocketAddress Address { "127.0.0.1", 28474 };
const std::string Call = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";

/// A body whose parts the test sends.
class ScriptedBody : public BodySource
{
public:
    explicit ScriptedBody(std::optional<std::uint64_t> length)
        : m_length(length)
    {
    }

    std::optional<std::uint64_t> length() const override
    {
        return m_length;
    }

    void start(std::function<void(std::string_view)> newData, std::function<void(bool)> newEnd) override
    {
        data = std::move(newData);
        end = std::move(newEnd);
    }

    void pause() override
    {
        isPaused = true;
    }

    void resume() override
    {
        isPaused = false;
    }

    std::function<void(std::string_view)> data;
    std::function<void(bool)> end;
    bool isPaused = false;

private:
    std::optional<std::uint64_t> m_length;
};

/// A server whose responses are forwarded, and one caller.
struct Fixture {
    explicit Fixture(std::optional<std::uint64_t> length, bool hasBudget = true)
        : server(loop, [this, length](const ExchangePointer &exchange) {
            const auto body = std::make_shared<ScriptedBody>(length);
            source = body;
            Response response = makeResponse(200);
            response.body = "begin";
            response.rest = body;
            exchange->respond(std::move(response));
        })
    {
        if (hasBudget) {
            server.setMemoryBudget(&budget);
        }
        REQUIRE(server.listen(Address));
    }

    void connect(const std::string &request = Call)
    {
        client = Net::Stream::connect(loop, Address);
        client->onData([this](std::string_view bytes) { received.append(bytes); });
        client->onEnd([this](Net::StreamEnd) { isEnded = true; });
        client->write(request);
        runFor(20);
    }

    void runFor(int milliseconds)
    {
        loop.after(std::chrono::milliseconds(milliseconds), [this] { loop.stop(); });
        loop.run();
    }

    ManualClock clock;
    Net::EventLoop loop { clock };
    Net::MemoryBudget budget { Net::MemoryBudgetSettings { std::size_t { 1024 } * 1024 } };
    std::weak_ptr<ScriptedBody> source;
    Server server;
    std::shared_ptr<Net::Stream> client;
    std::string received;
    bool isEnded = false;
};

}

TEST_CASE("a body of known length is forwarded while it is received, and the connection stays usable")
{
    Fixture fixture(8);
    fixture.connect(Call + Call);
    const auto source = fixture.source.lock();
    REQUIRE(source != nullptr);
    CHECK(fixture.received.ends_with("Content-Length: 8\r\n\r\nbegin"));
    CHECK(fixture.server.pendingCount() == 1);
    source->data("end");
    source->end(true);
    fixture.runFor(20);
    // The pipelined request is handled after the first response.
    CHECK(fixture.received.find("beginendHTTP/1.1 200 OK") != std::string::npos);
    CHECK_FALSE(fixture.isEnded);
}

TEST_CASE("a body of unknown length is forwarded in chunks")
{
    Fixture fixture(std::nullopt);
    fixture.connect();
    fixture.source.lock()->data("end");
    fixture.source.lock()->end(true);
    fixture.runFor(20);
    CHECK(fixture.received.ends_with("Transfer-Encoding: chunked\r\n\r\n5\r\nbegin\r\n3\r\nend\r\n0\r\n\r\n"));
    CHECK_FALSE(fixture.isEnded);
}

TEST_CASE("a caller of HTTP/1.0 gets a body of unknown length up to the end of the connection")
{
    Fixture fixture(std::nullopt);
    fixture.connect("GET /1 HTTP/1.0\r\nHost: h\r\n\r\n");
    fixture.source.lock()->data("end");
    fixture.source.lock()->end(true);
    fixture.runFor(100);
    CHECK(fixture.received.ends_with("Connection: close\r\n\r\nbeginend"));
    CHECK(fixture.isEnded);
}

// Guards against a caller that takes the beginning of a response for the whole.
TEST_CASE("the connection is closed without an end of the body when its reception fails")
{
    Fixture fixture(std::nullopt);
    fixture.connect();
    fixture.source.lock()->end(false);
    fixture.runFor(20);
    CHECK(fixture.isEnded);
    CHECK(fixture.received.ends_with("5\r\nbegin\r\n"));
    CHECK(fixture.server.connectionCount() == 0);
}

// Guards against a response that is received faster than its caller takes it, and against one that is never continued.
TEST_CASE("the source of a body is paused while the caller does not take it")
{
    constexpr std::size_t Length = std::size_t { 8 } * 1024 * 1024;
    constexpr std::size_t Part = std::size_t { 64 } * 1024;
    const bool hasBudget = GENERATE(true, false);
    Fixture fixture(Length + 5, hasBudget);
    Net::SlowReader reader(fixture.loop, Address);
    reader.send(Call);
    fixture.runFor(20);
    std::size_t sent = 0;
    const auto sendAll = [&] {
        while (sent < Length && !fixture.source.lock()->isPaused) {
            fixture.source.lock()->data(std::string(Part, 'x'));
            sent += Part;
        }
    };
    sendAll();
    REQUIRE(sent < Length);
    CHECK(fixture.budget.used() < 3 * Part);
    reader.startReading();
    for (int n = 0; n < 10'000 && sent < Length; ++n) {
        fixture.runFor(20);
        sendAll();
    }
    CHECK(sent == Length);
}

TEST_CASE("the reception of a body ends when its caller disconnects")
{
    Fixture fixture(8);
    fixture.connect();
    fixture.client->close();
    fixture.client = Net::Stream::connect(fixture.loop, Address);
    fixture.source.lock()->data("end"); // the closed side is noticed when the bytes are refused
    fixture.runFor(50);
    fixture.runFor(50);
    CHECK(fixture.source.expired());
}

namespace
{

/// A server with little memory whose handler never answers.
struct LimitedFixture {
    LimitedFixture()
        : server(loop, [this](const ExchangePointer &exchange) { exchanges.push_back(exchange); })
    {
        server.setMemoryBudget(&budget);
        REQUIRE(server.listen(Address));
    }

    void send(const std::string &bytes)
    {
        clients.push_back(Net::Stream::connect(loop, Address));
        clients.back()->onData([this](std::string_view data) { received.append(data); });
        clients.back()->write(bytes);
        runFor(20);
    }

    void runFor(int milliseconds)
    {
        loop.after(std::chrono::milliseconds(milliseconds), [this] { loop.stop(); });
        loop.run();
    }

    void sweepFor(int seconds)
    {
        for (int n = 0; n < seconds; ++n) {
            budget.sweep(loop.now());
            runFor(1000);
        }
        budget.sweep(loop.now());
        runFor(20);
    }

    ManualClock clock;
    Net::EventLoop loop { clock };
    Net::MemoryBudget budget { Net::MemoryBudgetSettings { std::size_t { 1024 } * 1024 } };
    Server server;
    std::vector<ExchangePointer> exchanges;
    std::vector<std::shared_ptr<Net::Stream>> clients;
    std::string received;
};

const std::string LargeHead = "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n\r\n";

}

TEST_CASE("an unfinished body is read no further than the budget allows, and a small request is served meanwhile")
{
    LimitedFixture fixture;
    fixture.send(LargeHead + std::string(1'900'000, 'x'));
    CHECK(fixture.budget.level() == Net::MemoryBudget::Level::Tight);
    CHECK(fixture.budget.used() < 700'000);
    fixture.send(Call);
    CHECK(fixture.exchanges.size() == 1);
    CHECK(fixture.budget.counters().rejected == 0);
}

// Guards against a rejection of a request that may have run, and against one without a time to retry.
TEST_CASE("a stalled body of a request that was not handed over is rejected, and its memory released")
{
    LimitedFixture fixture;
    fixture.send(LargeHead + std::string(1'900'000, 'x'));
    fixture.sweepFor(5);
    CHECK(fixture.received.starts_with("HTTP/1.1 503 Service Unavailable\r\nRetry-After: "));
    CHECK(fixture.exchanges.empty());
    CHECK(fixture.budget.level() == Net::MemoryBudget::Level::Normal);
}

TEST_CASE("a stalled body of a request that was handed over ends its connection without a response")
{
    LimitedFixture fixture;
    ServerLimits limits;
    limits.forwardFrom = 1000;
    fixture.server.setLimits(limits);
    bool isDisconnected = false;
    fixture.send(LargeHead + std::string(1'900'000, 'x'));
    REQUIRE(fixture.exchanges.size() == 1);
    fixture.exchanges[0]->onDisconnected([&isDisconnected] { isDisconnected = true; });
    fixture.sweepFor(5);
    CHECK(isDisconnected);
    CHECK(fixture.received.empty());
    CHECK(fixture.server.connectionCount() == 0);
}

TEST_CASE("a request is rejected while memory is exhausted")
{
    LimitedFixture fixture;
    for (int n = 0; n < 16; ++n) {
        fixture.send(LargeHead + std::string(50'000, 'x'));
    }
    REQUIRE(fixture.budget.level() == Net::MemoryBudget::Level::Exhausted);
    fixture.send(Call);
    CHECK(fixture.exchanges.empty());
    CHECK(fixture.received.starts_with("HTTP/1.1 503 Service Unavailable\r\nRetry-After: "));
}

// Guards against a caller that makes the server queue responses which it does not take.
TEST_CASE("pipelined requests are not handled while the caller takes no responses")
{
    constexpr std::size_t Count = 1000;
    LimitedFixture fixture;
    Net::SlowReader reader(fixture.loop, Address);
    std::string calls;
    for (std::size_t n = 0; n < Count; ++n) {
        calls += Call;
    }
    reader.send(calls);
    for (std::size_t n = 0; n < Count; ++n) {
        fixture.runFor(1);
        for (const ExchangePointer &it : std::exchange(fixture.exchanges, {})) {
            it->respond(makeResponse(200, std::string(50'000, 'x')));
        }
    }
    CHECK(fixture.budget.used() < 300'000);
}

TEST_CASE("connections above the limit are closed")
{
    LimitedFixture fixture;
    ServerLimits limits;
    limits.maxConnections = 2;
    fixture.server.setLimits(limits);
    std::vector<bool> changes;
    fixture.server.onConnectionLimit([&changes](bool isReached) { changes.push_back(isReached); });
    for (int n = 0; n < 4; ++n) {
        fixture.send("");
    }
    CHECK(fixture.server.connectionCount() == 2);
    CHECK(fixture.server.refusedConnections() == 2);
    CHECK(changes == std::vector<bool> { true });
    fixture.clients.clear();
    fixture.runFor(20);
    CHECK(changes == std::vector<bool> { true, false });
}

// Guards against a removal of sent bytes that moves the rest of a large body each time.
TEST_CASE("the discarded beginning of a large body is removed in large steps, and no other byte")
{
    constexpr std::size_t Size = std::size_t { 16 } * 1024 * 1024;
    constexpr std::size_t Step = std::size_t { 32 } * 1024;
    Request request;
    request.body = std::string(Size, 'a');
    request.body.back() = 'z';
    Exchange exchange(std::move(request), Size, {}, "", {});
    std::size_t removals = 0;
    std::uint64_t last = 0;
    for (std::uint64_t end = Step; end <= Size; end += Step) {
        exchange.discardBody(end);
        CHECK(exchange.discardedBody() <= end);
        CHECK(exchange.receivedBody() == Size);
        removals += exchange.discardedBody() != std::exchange(last, exchange.discardedBody()) ? 1 : 0;
        if (end < Size) {
            REQUIRE(exchange.request().body.back() == 'z');
        }
    }
    CHECK(exchange.discardedBody() == Size);
    CHECK(removals < 50);
}

// Guards against buffers that stay allocated, and so resident, after they were emptied.
TEST_CASE("the buffer of a large body is released when the whole body was discarded")
{
    constexpr std::size_t Size = std::size_t { 1024 } * 1024;
    Request request;
    request.body = std::string(Size, 'a');
    Exchange exchange(std::move(request), 2 * Size, {}, "", {});
    exchange.discardBody(Size - 1);
    CHECK(exchange.heldBytes() == Size);
    exchange.discardBody(Size);
    CHECK(exchange.heldBytes() == 0);
    CHECK(exchange.request().body.capacity() < 100);
}
