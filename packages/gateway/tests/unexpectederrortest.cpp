#include <algorithm>
#include <stdexcept>

#include <catch2/catch.hpp>

#include "base/errorguard.h"
#include "gateway/requestrunner.h"
#include "scriptedserver.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Gateway;

namespace
{

constexpr std::uint16_t EntryPort = 28495;
constexpr std::size_t ServerCount = 3;
constexpr std::size_t CallCount = 12;

/// Throws at one of its numbers, wherever in the work for a request that may be.
class ThrowingRandom final : public RandomSource
{
public:
    std::uint64_t next() override
    {
        if (draws++ == throwAt) {
            throw std::runtime_error("no number");
        }
        return m_random.next();
    }

    std::size_t draws = 0;
    std::size_t throwAt = SIZE_MAX;

private:
    SeededRandom m_random { 11 };
};

/// An entry with servers that answer, reject, fail, break and hang, and callers that send a request every 7 ms.
struct Fixture {
    explicit Fixture(Routing::RequestKind kind)
        : servers(DataCentreId("north"), random)
        , runner(loop, random, testHeaderNames(), RetryBudgetSettings { 3, 10, std::chrono::seconds(10), 1 }, ProbeSettings { 1000 },
                 servers)
        , entry(loop, [this](const Http::ExchangePointer &it) { runner.handle(it); })
    {
        REQUIRE(entry.listen({ "127.0.0.1", EntryPort }));
        Coordination::FeedUpdate update;
        update.isWhole = true;
        update.index = LogIndex(1);
        for (std::size_t n = 0; n < ServerCount; ++n) {
            backends.push_back(std::make_unique<ScriptedServer>(loop, n));
            backends.back()->work = std::chrono::milliseconds(10);
            backends.back()->load.clear();
            Routing::BackendServer server;
            server.id = ServerId(backends.back()->name);
            server.address = backends.back()->address.text();
            server.service = ServiceId("desk");
            server.dataCentre = DataCentreId("north");
            server.slots = 2;
            server.changedAt = LogIndex(1);
            update.servers.push_back(server);
        }
        servers.apply(update, loop.now());
        Routing::Route route;
        route.name = std::string("r");
        route.host = "h";
        route.prefix = "/";
        route.kind = kind;
        route.maxAttempts = 2;
        route.objective = std::chrono::milliseconds(100);
        route.timeout = std::chrono::milliseconds(300);
        route.split = { { ServiceId("desk"), 1 } };
        Routing::RoutingConfig config;
        config.version = Version(1);
        config.routes = { route };
        config.services = { { ServiceId("desk"), "/health", 0, "" } };
        runner.setConfig(config);
    }

    void runFor(int milliseconds)
    {
        loop.after(std::chrono::milliseconds(milliseconds), [this] { loop.stop(); });
        loop.run();
    }

    void send()
    {
        calls.push_back(std::make_unique<Call>());
        Call &call = *calls.back();
        call.stream = Net::Stream::connect(loop, { "127.0.0.1", EntryPort });
        call.stream->onData([&call](std::string_view bytes) { call.received.append(bytes); });
        call.stream->write("POST /a HTTP/1.1\r\nHost: h\r\nx-id: id" + std::to_string(calls.size())
                           + "\r\nx-wait: 2000\r\nContent-Length: 2\r\n\r\nok");
    }

    void sendAll()
    {
        const Behaviour behaviours[] = { Behaviour::Shed, Behaviour::Fail, Behaviour::Break, Behaviour::Hang };
        for (std::size_t n = 0; n < CallCount; ++n) {
            backends[0]->behaviour = n % 2 == 0 ? Behaviour::Answer : behaviours[n / 2 % 4];
            send();
            runFor(7);
        }
        backends[0]->behaviour = Behaviour::Answer;
        runFor(1000);
    }

    struct Call {
        std::shared_ptr<Net::Stream> stream;
        std::string received;
    };

    ManualClock clock;
    Net::EventLoop loop { clock };
    ThrowingRandom random;
    ServerTable servers;
    RequestRunner runner;
    Http::Server entry;
    std::vector<std::unique_ptr<ScriptedServer>> backends;
    std::vector<std::unique_ptr<Call>> calls;
};

bool hasStatus(const std::string &response, const char *status)
{
    return response.starts_with(std::string("HTTP/1.1 ") + status);
}

/// Whether a server that never rejects has received the request.
bool hasRun(const Fixture &fixture, std::size_t number)
{
    const std::string id = "id" + std::to_string(number + 1);
    return std::any_of(fixture.backends.begin() + 1, fixture.backends.end(), [&](const auto &server) {
        return std::any_of(server->received.begin(), server->received.end(),
                           [&](const Http::Request &it) { return *it.fields.find("x-id") == id; });
    });
}

}

// Guards against an unexpected error in the work for one request that ends the process, leaves the request without an answer, says "not
// run" of one that may run, or leaks what the request held.
TEST_CASE("an unexpected error ends one request and nothing else", "[guard]")
{
    const auto kind = GENERATE(Routing::RequestKind::Safe, Routing::RequestKind::Unsafe);
    std::size_t draws = 0;
    {
        Fixture undisturbed(kind);
        undisturbed.sendAll();
        draws = undisturbed.random.draws;
    }
    REQUIRE(draws > CallCount);
    std::size_t ended = 0;
    for (std::size_t n = 0; n < draws; ++n) {
        CAPTURE(n, draws);
        const std::uint64_t before = unexpectedErrors()["request"];
        Fixture fixture(kind);
        fixture.random.throwAt = n;
        fixture.sendAll();
        for (std::size_t call = 0; call < fixture.calls.size(); ++call) {
            const std::string &received = fixture.calls[call]->received;
            CAPTURE(call, received);
            CHECK(received.starts_with("HTTP/1.1 "));
            CHECK_FALSE((hasStatus(received, "503") && hasRun(fixture, call)));
        }
        CHECK(fixture.runner.running() == 0);
        for (const auto &it : fixture.backends) {
            CHECK(fixture.servers.find(ServerId(it->name))->inFlight == 0);
        }
        ended += unexpectedErrors()["request"] - before;
        fixture.send();
        fixture.runFor(500);
        CHECK(hasStatus(fixture.calls.back()->received, "200"));
    }
    CHECK(ended >= draws / 2);
}
