#include <catch2/catch.hpp>

#include "gateway/requestrunner.h"
#include "rawserver.h"
#include "scriptedserver.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Gateway;

namespace
{

constexpr std::uint16_t EntryPort = 28480;
constexpr std::uint16_t ServerPort = 28481;
constexpr const char *HealthPath = "/health";

const std::string FreeHealth = "HTTP/1.1 200 OK\r\nx-load: 0,0,2,100\r\nContent-Length: 0\r\n\r\n";
const std::string RefusedHealth = "HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n";
const std::string RefusedUnnamed421 = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
const std::string RefusedUnnamed400 = "HTTP/1.1 400 Bad Request\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n";

std::string refusal(const std::string &id)
{
    return "HTTP/1.1 503 Service Unavailable\r\nx-id: " + id + "\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n";
}

std::string served(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nx-id: " + id + "\r\nx-sign: s0\r\nContent-Length: 5\r\n\r\nwhole";
}

/// An entry with one route, backend servers that write what the test tells them to, and a caller.
struct RawFixture {
    RawFixture(std::size_t serverCount, RawServer::Handler handler)
        : table(DataCentreId("north"), random)
        , runner(loop, random, testHeaderNames(), RetryBudgetSettings { 3, 0, std::chrono::seconds(10), 1 }, ProbeSettings { 1000 }, table)
        , entry(loop, [this](const Http::ExchangePointer &it) { runner.handle(it); })
    {
        REQUIRE(entry.listen({ "127.0.0.1", EntryPort }));
        Coordination::FeedUpdate update;
        update.isWhole = true;
        update.index = LogIndex(1);
        for (std::size_t n = 0; n < serverCount; ++n) {
            const Net::SocketAddress address { "127.0.0.1", static_cast<std::uint16_t>(ServerPort + n) };
            servers.push_back(std::make_unique<RawServer>(loop, address, handler));
            Routing::BackendServer server;
            server.id = ServerId("s" + std::to_string(n));
            server.address = address.text();
            server.service = ServiceId("desk");
            server.dataCentre = DataCentreId("north");
            server.slots = 2;
            server.changedAt = LogIndex(1);
            update.servers.push_back(server);
        }
        table.apply(update, loop.now());
        runFor(20);
    }

    /// Without \p healthPath no probes are sent.
    void configure(Routing::RequestKind kind, unsigned attempts, const char *healthPath = HealthPath)
    {
        Routing::Route route;
        route.name = std::string("r");
        route.host = "h";
        route.prefix = "/";
        route.kind = kind;
        route.maxAttempts = attempts;
        route.objective = std::chrono::milliseconds(200);
        route.timeout = std::chrono::milliseconds(300);
        route.split = { { ServiceId("desk"), 1 } };
        Routing::RoutingConfig config;
        config.version = Version(1);
        config.routes = { route };
        config.services = { { ServiceId("desk"), healthPath, 0, "" } };
        runner.setConfig(config);
    }

    void runFor(int milliseconds)
    {
        loop.after(std::chrono::milliseconds(milliseconds), [this] { loop.stop(); });
        loop.run();
    }

    void begin(const std::string &id)
    {
        received.clear();
        if (client == nullptr || !client->isOpen()) {
            client = Net::Stream::connect(loop, { "127.0.0.1", EntryPort });
            client->onData([this](std::string_view bytes) { received.append(bytes); });
        }
        client->write("POST /a HTTP/1.1\r\nHost: h\r\nx-id: " + id + "\r\nx-wait: 2000\r\nContent-Length: 2\r\n\r\nok");
    }

    /// Sends a request and returns the status of the response; 0 without one.
    int call(const std::string &id, int milliseconds = 400)
    {
        begin(id);
        runFor(milliseconds);
        return status();
    }

    int status() const
    {
        constexpr std::size_t StatusAt = 9; // after "HTTP/1.1 "
        return received.size() < StatusAt + 3 ? 0 : std::stoi(received.substr(StatusAt, 3));
    }

    std::size_t requests() const
    {
        std::size_t count = 0;
        for (const auto &it : servers) {
            count += it->requests("/a");
        }
        return count;
    }

    ManualClock clock;
    Net::EventLoop loop { clock };
    SeededRandom random { 4 };
    ServerTable table;
    RequestRunner runner;
    Http::Server entry;
    std::vector<std::unique_ptr<RawServer>> servers;
    std::shared_ptr<Net::Stream> client;
    std::string received;
};

std::string idOf(const Http::Request &request)
{
    return *request.fields.find("x-id");
}

}

// Guards against a promise "not run" for a request that runs, and against a second run, when a server sends an earlier response once more.
TEST_CASE("a late copy of an earlier response is not taken for the response to a request")
{
    struct Row {
        const char *what;
        std::string copy;
        /// The request that the server runs follows one that it answered with these bytes.
        std::string earlier;
    };
    const Row row = GENERATE(Row { "of a health check", FreeHealth, "" }, Row { "of a refused health check", RefusedHealth, "" },
                             Row { "of a refused request", refusal("id0"), refusal("id0") },
                             Row { "of a served request", served("id0"), served("id0") },
                             Row { "of a 421 without id", RefusedUnnamed421, RefusedUnnamed421 },
                             Row { "of a 400 without id", RefusedUnnamed400, RefusedUnnamed400 },
                             Row { "of an interim response", "HTTP/1.1 100 Continue\r\n\r\n", "" });
    const auto kind = GENERATE(Routing::RequestKind::Unsafe, Routing::RequestKind::Safe);
    INFO(row.what);
    RawFixture *that = nullptr;
    RawFixture fixture(2, [&](RawServer::Connection &connection, const Http::Request &request) {
        if (request.path() == HealthPath) {
            connection.stream->write(FreeHealth);
            return;
        }
        if (idOf(request) == "id0") {
            connection.stream->write(row.earlier);
            return;
        }
        connection.stream->write(row.copy);
        that->loop.after(std::chrono::milliseconds(10), [&connection] { connection.stream->write(served("id1")); });
    });
    that = &fixture;
    fixture.configure(kind, 2, row.earlier.empty() ? HealthPath : "");
    if (!row.earlier.empty()) {
        REQUIRE(fixture.call("id0", 50) != 0); // a refused one has both servers answer
    }
    const std::size_t before = fixture.requests();
    CHECK(fixture.call("id1", 100) == 200);
    CHECK(fixture.requests() - before == 1);
}

// Guards against a promise that rests on a response that may belong to another exchange: the server may be running the request.
TEST_CASE("a refusal without an id after a health check is no promise")
{
    const std::string copy = GENERATE(RefusedHealth, RefusedUnnamed421, RefusedUnnamed400);
    RawFixture fixture(2, [&](RawServer::Connection &connection, const Http::Request &request) {
        connection.stream->write(request.path() == HealthPath ? FreeHealth : copy);
    });
    fixture.configure(Routing::RequestKind::Unsafe, 2);
    CHECK(fixture.call("id1") == 504);
    CHECK(fixture.requests() == 1);
}

// Guards against full servers whose refusals are not used: they name the request, or are the only exchange of their connection.
TEST_CASE("a refusal that can only belong to the request is a promise")
{
    struct Row {
        const char *what;
        std::string refusal;
        const char *healthPath;
    };
    const Row row = GENERATE(
        Row { "with the id, after a health check", refusal("id1"), HealthPath }, Row { "with the id, new connection", refusal("id1"), "" },
        Row { "503 without id, new connection", RefusedHealth, "" }, Row { "421 without id, new connection", RefusedUnnamed421, "" },
        Row { "400 without id, new connection", RefusedUnnamed400, "" });
    INFO(row.what);
    RawFixture fixture(2, [&](RawServer::Connection &connection, const Http::Request &request) {
        connection.stream->write(request.path() == HealthPath ? FreeHealth : row.refusal);
    });
    fixture.configure(Routing::RequestKind::Unsafe, 2, row.healthPath);
    CHECK(fixture.call("id1", 100) == 503);
    CHECK(fixture.requests() == 2);
}

// Guards against a response that is put together from a cut one and the next: it names two requests.
TEST_CASE("a response with two ids belongs to no request")
{
    RawFixture fixture(2, [&](RawServer::Connection &connection, const Http::Request &request) {
        const std::string cut = "HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\nx-id: id1\r\nx-own: ";
        connection.stream->write(request.path() == HealthPath ? FreeHealth : cut + refusal("id0"));
    });
    fixture.configure(Routing::RequestKind::Unsafe, 2);
    CHECK(fixture.call("id1") == 504);
    CHECK(fixture.requests() == 1);
}

// Guards against a request that waits for its deadline on a connection that ended between the choice of it and the writing.
TEST_CASE("a request is sent on a new connection when its kept one ends before it is written")
{
    const bool isClosed = GENERATE(false, true);
    RawFixture fixture(2, [&](RawServer::Connection &connection, const Http::Request &request) {
        connection.stream->write(request.path() == HealthPath ? FreeHealth : served(idOf(request)));
    });
    fixture.configure(Routing::RequestKind::Unsafe, 1);
    REQUIRE(fixture.call("id0", 50) == 200);
    for (int n = 1; n < 20; ++n) {
        // The entry finds the request and the end of the connection in one round of its event loop.
        fixture.begin("id" + std::to_string(n));
        for (const auto &server : fixture.servers) {
            for (RawServer::Connection &it : server->connections) {
                if (isClosed) {
                    it.stream->close();
                } else {
                    it.stream->write(refusal("id0"));
                }
            }
        }
        fixture.runFor(20);
        CHECK(fixture.status() == 200);
    }
}

// Guards against a callback of an attempt whose owner has gone.
TEST_CASE("a cancelled attempt reports no failure, also when no connection could be opened")
{
    ManualClock clock;
    Net::EventLoop loop { clock };
    UpstreamPool pool(loop, "x-id");
    Routing::BackendServer server;
    server.id = ServerId("s0");
    server.address = GENERATE("no address", "127.0.0.1:1");
    const auto attempt = pool.send(server, UpstreamRequest { "GET / HTTP/1.1\r\n\r\n", "id1" });
    std::size_t failures = 0;
    attempt->onFailure([&failures](AttemptFailure) { ++failures; });
    attempt->cancel();
    loop.after(std::chrono::milliseconds(300), [&loop] { loop.stop(); });
    loop.run();
    CHECK(failures == 0);
}

// Guards against a response that looks whole to the caller although its server stopped in the middle of it and closed the connection.
TEST_CASE("a server that closes in the middle of its response has given none")
{
    struct Row {
        const char *what;
        std::string whole;
    };
    const Row row = GENERATE(
        Row { "length", served("id1") },
        Row { "chunks",
              "HTTP/1.1 200 OK\r\nx-id: id1\r\nx-sign: s0\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nx-sum: 1\r\n\r\n" },
        Row { "after an interim response", "HTTP/1.1 100 Continue\r\n\r\n" + served("id1") });
    INFO(row.what);
    std::size_t cut = 0;
    RawFixture fixture(1, [&](RawServer::Connection &connection, const Http::Request &request) {
        if (request.path() == HealthPath) {
            connection.stream->write(FreeHealth);
            return;
        }
        connection.stream->write(row.whole.substr(0, cut));
        connection.stream->closeAfterFlush();
    });
    fixture.configure(Routing::RequestKind::Unsafe, 1);
    for (cut = 0; cut < row.whole.size(); ++cut) {
        INFO("cut after " << cut << " of " << row.whole.size() << " bytes");
        fixture.client = nullptr;
        CHECK(fixture.call("id1", 60) == 502);
    }
    fixture.client = nullptr;
    CHECK(fixture.call("id1", 60) == 200);
}
