#include <catch2/catch.hpp>

#include "cluster.h"
#include "gateway/requestrunner.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Gateway;

namespace
{

constexpr std::uint16_t EntryPort = 28490;
const DataCentreId North { "north" };
const DataCentreId South { "south" };

/// An entry with one scripted server in each of the given data centres, and a caller.
struct Fixture {
    explicit Fixture(const std::vector<DataCentreId> &dataCentres)
        : servers(North, random)
        , runner(loop, random, testHeaderNames(), RetryBudgetSettings { 3, 0, std::chrono::seconds(10), 1 }, ProbeSettings { 1000 },
                 servers)
        , entry(loop, [this](const Http::ExchangePointer &it) { runner.handle(it); })
    {
        REQUIRE(entry.listen({ "127.0.0.1", EntryPort }));
        Coordination::FeedUpdate update;
        update.isWhole = true;
        update.index = LogIndex(1);
        for (const DataCentreId &it : dataCentres) {
            backends.push_back(std::make_unique<ScriptedServer>(loop, backends.size()));
            Routing::BackendServer server;
            server.id = ServerId(backends.back()->name);
            server.address = backends.back()->address.text();
            server.service = ServiceId("desk");
            server.dataCentre = it;
            server.slots = 2;
            server.changedAt = LogIndex(1);
            update.servers.push_back(server);
        }
        servers.apply(update, loop.now());
        Routing::Route route;
        route.name = std::string("r");
        route.host = "h";
        route.prefix = "/";
        route.kind = Routing::RequestKind::Safe;
        route.maxAttempts = 3;
        route.objective = std::chrono::milliseconds(2000); // a request is queued for up to 250 ms
        route.timeout = std::chrono::milliseconds(5000);
        route.split = { { ServiceId("desk"), 1 } };
        Routing::RoutingConfig config;
        config.version = Version(1);
        config.routes = { route };
        config.services = { { ServiceId("desk"), "/health", 0, "" } };
        runner.setConfig(config);
        runFor(20); // refills the budget of probes
    }

    void runFor(int milliseconds)
    {
        loop.after(std::chrono::milliseconds(milliseconds), [this] { loop.stop(); });
        loop.run();
    }

    void send()
    {
        received.clear();
        client = Net::Stream::connect(loop, { "127.0.0.1", EntryPort });
        client->onData([this](std::string_view bytes) { received.append(bytes); });
        client->write("POST /a HTTP/1.1\r\nHost: h\r\nx-id: id1\r\nx-wait: 4000\r\nContent-Length: 2\r\n\r\nok");
    }

    void evacuate(const DataCentreId &dataCentre)
    {
        Coordination::FeedUpdate update;
        update.index = LogIndex(++m_index);
        update.evacuations = { Routing::Evacuation { dataCentre, true, update.index } };
        servers.apply(update, loop.now());
    }

    bool hasStatus(const char *status) const
    {
        return received.starts_with(std::string("HTTP/1.1 ") + status);
    }

    ManualClock clock;
    Net::EventLoop loop { clock };
    SeededRandom random { 4 };
    ServerTable servers;
    RequestRunner runner;
    Http::Server entry;
    std::vector<std::unique_ptr<ScriptedServer>> backends;
    std::shared_ptr<Net::Stream> client;
    std::string received;

private:
    std::uint64_t m_index = 1;
};

/// Requests and probes that the servers of the data centre received.
std::size_t arrivalsIn(const Cluster &cluster, const std::string &dataCentre)
{
    std::size_t count = 0;
    for (const auto &it : cluster.servers) {
        count += it->dataCentre == dataCentre ? it->requests() + it->probes : 0;
    }
    return count;
}

void evacuate(Cluster &cluster, const DataCentreId &dataCentre, bool isActive)
{
    bool isCommitted = false;
    cluster.core.front()->evacuate(
        dataCentre, isActive, [] { return true; }, [&](const Result<void> &result) { isCommitted = result.has_value(); });
    cluster.runFor(std::chrono::milliseconds(500));
    REQUIRE(isCommitted);
}

}

// Guards against a queued request that is sent to the slot it waited for.
TEST_CASE("a queued request is not sent to a server that is evacuated meanwhile")
{
    Fixture fixture({ North });
    fixture.backends[0]->load = "2,0,2,100";
    fixture.send();
    fixture.runFor(100);
    REQUIRE(fixture.received.empty());
    REQUIRE(fixture.backends[0]->probes > 0);

    SECTION("without the evacuation, it is sent when the server is free")
    {
        fixture.backends[0]->load = "0,0,2,100";
        fixture.runFor(30);
        CHECK(fixture.hasStatus("200"));
    }
    SECTION("with it, it is rejected at once when no other data centre is left")
    {
        const std::size_t probes = fixture.backends[0]->probes;
        fixture.evacuate(North);
        fixture.backends[0]->load = "0,0,2,100";
        fixture.runFor(30);
        CHECK(fixture.hasStatus("503"));
        CHECK(fixture.received.find("retry-after: ") != std::string::npos);
        CHECK(fixture.backends[0]->requests() == 0);
        CHECK(fixture.backends[0]->probes == probes);
    }
}

// Guards against a slot that the late answer to a probe from before the evacuation offers to a waiting request.
TEST_CASE("the late answer of an evacuated server offers no slot to a queued request")
{
    Fixture fixture({ North, South });
    fixture.backends[0]->probeDelay = std::chrono::milliseconds(120);
    fixture.backends[1]->load = "2,0,2,100";
    fixture.send();
    fixture.runFor(60);
    REQUIRE(fixture.received.empty());
    fixture.evacuate(North);
    fixture.runFor(100);
    CHECK(fixture.backends[0]->requests() == 0);
    fixture.backends[1]->load = "0,0,2,100";
    fixture.runFor(60);
    CHECK(fixture.hasStatus("200"));
    CHECK(fixture.backends[0]->requests() == 0);
    CHECK(fixture.backends[1]->requests() == 1);
}

// Guards against a retry that chooses its server by a state from before the evacuation.
TEST_CASE("a retry goes to no server that was evacuated while the first attempt ran")
{
    Fixture fixture({ North, South });
    const bool isOtherLeft = GENERATE(true, false);
    if (isOtherLeft) {
        fixture.backends.push_back(std::make_unique<ScriptedServer>(fixture.loop, 2));
        Coordination::FeedUpdate update;
        update.index = LogIndex(2);
        Routing::BackendServer server;
        server.id = ServerId(fixture.backends[2]->name);
        server.address = fixture.backends[2]->address.text();
        server.service = ServiceId("desk");
        server.dataCentre = DataCentreId("west");
        server.slots = 2;
        server.changedAt = LogIndex(2);
        update.servers = { server };
        fixture.servers.apply(update, fixture.loop.now());
    }
    fixture.backends[0]->behaviour = Behaviour::Shed;
    fixture.backends[0]->work = std::chrono::milliseconds(50);
    fixture.send();
    fixture.runFor(30);
    REQUIRE(fixture.backends[0]->requests() == 1); // the nearest one
    fixture.evacuate(South);
    fixture.evacuate(North);
    fixture.runFor(60);
    CHECK(fixture.hasStatus(isOtherLeft ? "200" : "503"));
    CHECK(fixture.backends[0]->requests() == 1);
    CHECK(fixture.backends[1]->requests() == 0);
}

// Guards against requests that the evacuation cuts off: an unsafe one could not be repeated.
TEST_CASE("a request that runs at a server when its data centre is evacuated is answered")
{
    Fixture fixture({ North, South });
    fixture.backends[0]->work = std::chrono::milliseconds(80);
    fixture.send();
    fixture.runFor(40);
    REQUIRE(fixture.backends[0]->requests() == 1);
    fixture.evacuate(North);
    fixture.runFor(60);
    CHECK(fixture.hasStatus("200"));
    CHECK(fixture.backends[1]->requests() == 0);
}

// Guards against callers that wait for a server that none of the data centres has, and against probes in search of one.
TEST_CASE("when all data centres are evacuated, a request is rejected at once")
{
    Fixture fixture({ North, South });
    fixture.evacuate(North);
    fixture.evacuate(South);
    fixture.send();
    fixture.runFor(5);
    CHECK(fixture.hasStatus("503"));
    CHECK(fixture.received.find("retry-after: ") != std::string::npos);
    for (const auto &it : fixture.backends) {
        CHECK(it->requests() + it->probes == 0);
    }
    CHECK(fixture.runner.counters().evacuated == 1);
    const std::string metrics = fixture.runner.metrics();
    CHECK(metrics.find("galenabarrow_gateway_evacuations 2\n") != std::string::npos);
    CHECK(metrics.find("events_total{event=\"evacuated\"} 1\n") != std::string::npos);
}

// Guards against any path by which an order does not reach an entry, or its end does not.
TEST_CASE("under load, the servers of an evacuated data centre receive neither requests nor probes until the evacuation ends")
{
    Cluster::Size size;
    size.core = 3;
    size.servers = 6;
    size.southernServers = 3;
    Cluster cluster(size);
    cluster.startCallers(60);
    cluster.runFor(std::chrono::seconds(1));
    REQUIRE(arrivalsIn(cluster, "north") > 0);

    evacuate(cluster, North, true);
    const std::size_t before = arrivalsIn(cluster, "north");
    const std::size_t southBefore = arrivalsIn(cluster, "south");
    cluster.runFor(std::chrono::seconds(8));
    CHECK(arrivalsIn(cluster, "north") == before);
    CHECK(arrivalsIn(cluster, "south") > southBefore);

    evacuate(cluster, North, false);
    cluster.runFor(std::chrono::seconds(1));
    CHECK(arrivalsIn(cluster, "north") > before);
    CHECK(cluster.statuses.size() == 1);
    CHECK(cluster.statuses[200] > 500);
}

// Guards against an entry that learns of earlier orders only through the changes after its start.
TEST_CASE("an entry that connects after an evacuation was ordered sends nothing there")
{
    Cluster::Size size;
    size.entries = 1;
    size.servers = 4;
    size.southernServers = 2;
    Cluster cluster(size);
    evacuate(cluster, North, true);
    const std::size_t before = arrivalsIn(cluster, "north");
    cluster.startEntry();
    cluster.runFor(std::chrono::seconds(2));
    REQUIRE(cluster.entries[1]->isReady());
    cluster.startCallers(20);
    cluster.runFor(std::chrono::seconds(3));
    CHECK(arrivalsIn(cluster, "north") == before);
    CHECK(cluster.statuses.size() == 1);
    CHECK(cluster.statuses[200] > 40);
    CHECK(cluster.entries[1]->metrics().find("galenabarrow_gateway_evacuations 1\n") != std::string::npos);
}
