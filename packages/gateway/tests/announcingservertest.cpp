#include "cluster.h"

#include <algorithm>

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace Galenabarrow::Gateway;

namespace
{

/// How long after its response a server tolerates requests without limit.
constexpr Duration AwayNotice = std::chrono::milliseconds(500);
/// Longer than what is under way to a server on loopback takes.
constexpr Duration UnderWay = std::chrono::milliseconds(20);

std::size_t arrivalsBetween(const ScriptedServer &server, Instant from, Instant until)
{
    return static_cast<std::size_t>(
        std::count_if(server.arrivals.begin(), server.arrivals.end(), [&](Instant it) { return it > from && it < until; }));
}

/// Makes the server turn requests away for a time, and runs until it has answered one.
Instant turnAway(Cluster &cluster, ScriptedServer &server, const std::string &seconds)
{
    server.behaviour = Behaviour::Shed;
    server.retryAfter = seconds;
    const std::size_t before = server.requests();
    for (int n = 0; n < 1000 && server.requests() == before; ++n) {
        cluster.runFor(std::chrono::milliseconds(5));
    }
    REQUIRE(server.requests() > before);
    return server.arrivals[before];
}

/// Makes the server state that it leaves, and runs until it has answered a request or a probe.
Instant leave(Cluster &cluster, ScriptedServer &server)
{
    server.isLeaving = true;
    const std::size_t before = server.requests() + server.probes;
    for (int n = 0; n < 1000 && server.requests() + server.probes == before; ++n) {
        cluster.runFor(std::chrono::milliseconds(5));
    }
    REQUIRE(server.requests() + server.probes > before);
    return cluster.clock.now();
}

}

// Guards against requests to a server whose responses state that it leaves, while the core instances still know it as ready.
TEST_CASE("a server that states that it leaves gets no further request")
{
    const std::size_t leaving = GENERATE(1, 2);
    Cluster cluster({ 1, 1, 3 });
    cluster.startCallers(60);
    cluster.runFor(std::chrono::seconds(1));
    Instant since {};
    for (std::size_t n = 0; n < leaving; ++n) {
        since = leave(cluster, *cluster.servers[n]);
    }
    cluster.runFor(std::chrono::seconds(8));
    for (std::size_t n = 0; n < leaving; ++n) {
        CHECK(arrivalsBetween(*cluster.servers[n], since + UnderWay, cluster.clock.now()) == 0);
    }
    CHECK(cluster.statuses[200] >= 60 * 8);
    CHECK(cluster.statuses.size() == 1);
}

// Guards against a response without the field, to a request that was sent before or after the statement, that ends it.
TEST_CASE("a later response without the field does not end the statement that a server leaves")
{
    Cluster cluster({ 1, 1, 2 });
    cluster.servers[0]->statesInProbes = false;
    cluster.servers[0]->work = std::chrono::milliseconds(150);
    cluster.servers[1]->load = "2,0,2,100";
    cluster.send(0);
    cluster.runFor(std::chrono::milliseconds(50));
    REQUIRE(cluster.servers[0]->requests() == 1);
    cluster.servers[0]->work = {};
    cluster.send(0);
    cluster.servers[0]->isLeaving = true;
    cluster.runFor(std::chrono::milliseconds(50));
    REQUIRE(cluster.servers[0]->requests() == 2);
    cluster.servers[0]->isLeaving = false;
    cluster.servers[1]->load = "0,0,2,100";
    cluster.runFor(std::chrono::milliseconds(400));
    cluster.startCallers(40);
    cluster.runFor(std::chrono::seconds(4));
    CHECK(cluster.servers[0]->requests() == 2);
    CHECK(cluster.statuses[200] >= 150);
}

// Guards against a statement that is not read because nobody waits for the response.
TEST_CASE("the response to a request whose caller has gone is read")
{
    Cluster cluster({ 1, 1, 2 }, Routing::RequestKind::Unsafe);
    cluster.servers[0]->statesInProbes = false;
    cluster.servers[0]->work = std::chrono::milliseconds(200);
    cluster.servers[0]->isLeaving = true;
    cluster.servers[1]->load = "2,0,2,100";
    cluster.send(0);
    cluster.runFor(std::chrono::milliseconds(100));
    REQUIRE(cluster.servers[0]->requests() == 1);
    cluster.abandonCalls();
    cluster.runFor(std::chrono::milliseconds(300));
    cluster.servers[1]->load = "0,0,2,100";
    cluster.startCallers(40);
    cluster.runFor(std::chrono::seconds(2));
    CHECK(cluster.servers[0]->requests() == 1);
}

// Guards against a queued request that takes the slot of the very response that states that its server leaves.
TEST_CASE("a queued request is not sent to a server that leaves")
{
    Cluster cluster({ 1, 1, 1 });
    ScriptedServer &server = *cluster.servers[0];
    server.statesInProbes = false;
    server.load.clear();
    server.work = std::chrono::milliseconds(100);
    server.isLeaving = true;
    cluster.send(0, "/a");
    cluster.send(0, "/a");
    cluster.runFor(std::chrono::milliseconds(90));
    REQUIRE(server.requests() == 2);
    cluster.send(0, "/a");
    cluster.runFor(std::chrono::milliseconds(300));
    CHECK(server.requests() == 2);
    CHECK(cluster.statuses[200] == 2);
    CHECK(cluster.statuses[503] == 1);
}

// Guards against health checks that are not read, and against statements of another server at the address.
TEST_CASE("a health check states that a server leaves or turns requests away")
{
    const bool isLeaving = GENERATE(true, false);
    Cluster cluster({ 1, 1, 2 });
    ScriptedServer &server = *cluster.servers[0];
    server.load = "2,0,2,100";
    server.isLeaving = isLeaving;
    server.probeStatus = isLeaving ? 200 : 503;
    server.retryAfter = "3";
    cluster.startCallers(40);
    cluster.runFor(std::chrono::milliseconds(400));
    const std::size_t probes = server.probes;
    const std::size_t requests = server.requests();
    CHECK(probes > 0);
    server.load = "0,0,2,100";
    cluster.runFor(std::chrono::seconds(2));
    CHECK(server.probes == probes);
    CHECK(server.requests() == requests);
}

// Guards against any request to a server within the time for which it has turned requests away, from the first moment to the last.
TEST_CASE("a server that turns requests away for a time gets none until its end, then its part again")
{
    struct Row {
        const char *seconds;
        Duration time;
    };
    const auto [seconds, time] = GENERATE(Row { "2", std::chrono::seconds(2) }, Row { "4.5", std::chrono::milliseconds(4500) });
    const std::size_t away = GENERATE(1, 2);
    Cluster cluster({ 1, 1, 3 });
    cluster.startCallers(60);
    cluster.runFor(std::chrono::seconds(1));
    // The others are full, so that most requests would be sent to these servers.
    for (std::size_t n = away; n < cluster.servers.size(); ++n) {
        cluster.servers[n]->load = "2,0,2,100";
    }
    std::vector<Instant> since;
    for (std::size_t n = 0; n < away; ++n) {
        since.push_back(turnAway(cluster, *cluster.servers[n], seconds));
    }
    for (std::size_t n = 0; n < away; ++n) {
        cluster.servers[n]->behaviour = Behaviour::Answer;
    }
    cluster.runFor(time + std::chrono::seconds(2));
    std::size_t returned = 0;
    for (std::size_t n = 0; n < away; ++n) {
        const ScriptedServer &server = *cluster.servers[n];
        CHECK(arrivalsBetween(server, since[n] + AwayNotice, since[n] + time) == 0);
        CHECK(arrivalsBetween(server, since[n] + UnderWay, since[n] + time) == 0);
        returned += arrivalsBetween(server, since[n] + time, cluster.clock.now());
    }
    CHECK(returned >= 90);
}

// Guards against a shorter time, or none, in a later response that shortens the time of an earlier one.
TEST_CASE("of several times for which a server turns requests away the latest end counts")
{
    Cluster cluster({ 1, 1, 2 });
    ScriptedServer &server = *cluster.servers[0];
    server.work = std::chrono::milliseconds(30);
    server.behaviour = Behaviour::Shed;
    server.retryAfter = "3";
    cluster.servers[1]->load = "2,0,2,100";
    cluster.send(0);
    cluster.runFor(std::chrono::milliseconds(20));
    cluster.send(0);
    REQUIRE(server.requests() == 1);
    cluster.runFor(std::chrono::milliseconds(20));
    REQUIRE(server.requests() == 2);
    server.retryAfter = "0.2";
    const Instant since = cluster.clock.now();
    cluster.startCallers(40);
    cluster.runFor(std::chrono::milliseconds(2900));
    CHECK(arrivalsBetween(server, since, cluster.clock.now()) == 0);
}

// Pattern: the whole service is in need. Guards against requests that reach servers all the same, callers that wait in vain, and callers
// that all return at one moment.
TEST_CASE("when all servers turn requests away, these are rejected at once with a spread time at which a server takes work again")
{
    Cluster cluster({ 1, 1, 3 });
    for (const auto &it : cluster.servers) {
        it->behaviour = Behaviour::Shed;
        it->retryAfter = "4";
    }
    for (int n = 0; n < 20; ++n) {
        cluster.send(0);
        cluster.runFor(std::chrono::milliseconds(20));
    }
    for (const auto &it : cluster.servers) {
        REQUIRE(it->requests() >= 1);
    }
    CHECK(cluster.requests() == 3);
    cluster.runFor(std::chrono::milliseconds(600));
    cluster.statuses.clear();
    cluster.retryAfters.clear();
    for (int n = 0; n < 40; ++n) {
        cluster.send(0, "/a", std::string(n % 2 == 0 ? 2 : 600000, 'x'));
    }
    cluster.runFor(std::chrono::milliseconds(60));
    CHECK(cluster.requests() == 3);
    CHECK(cluster.statuses[503] == 40);
    REQUIRE(cluster.retryAfters.size() == 40);
    const auto [first, last] = std::minmax_element(cluster.retryAfters.begin(), cluster.retryAfters.end());
    CHECK(*first >= 2.9);
    CHECK(*last - *first >= 0.5);
    cluster.startCallers(40);
    cluster.runFor(std::chrono::milliseconds(2800));
    CHECK(cluster.requests() == 3);
}

// Guards against a caller that is told to return at once by a request that was rejected by the only server that takes work.
TEST_CASE("the caller of the request that finds the last server away is told when the first one takes work again")
{
    Cluster cluster({ 1, 1, 1 });
    cluster.servers[0]->behaviour = Behaviour::Shed;
    cluster.servers[0]->retryAfter = "2";
    cluster.send(0);
    cluster.runFor(std::chrono::milliseconds(200));
    REQUIRE(cluster.statuses[503] == 1);
    REQUIRE(cluster.retryAfters.size() == 1);
    CHECK(cluster.retryAfters[0] >= 1.9);
    CHECK(cluster.retryAfters[0] <= 4);
}

// Guards against all requests that waited reaching a server in the moment in which it takes work again.
TEST_CASE("a server that takes work again gets no more requests than it has slots until it has answered one")
{
    Cluster cluster({ 1, 1, 1 });
    ScriptedServer &server = *cluster.servers[0];
    server.behaviour = Behaviour::Shed;
    server.retryAfter = "1";
    server.load = "none"; // without reports nothing else bounds what is sent
    server.work = std::chrono::milliseconds(15);
    cluster.send(0);
    cluster.runFor(std::chrono::milliseconds(1000));
    REQUIRE(server.requests() == 1);
    server.behaviour = Behaviour::Answer;
    for (int n = 0; n < 30; ++n) {
        cluster.send(0);
    }
    const Instant end = server.arrivals[0] + server.work + std::chrono::seconds(1);
    cluster.runFor(std::chrono::milliseconds(500));
    CHECK(arrivalsBetween(server, Instant {} + UnderWay, end) == 1);
    CHECK(mostArrivals(server.arrivals, end, std::chrono::milliseconds(10)) <= Cluster::Slots);
}

// Guards against statements that are lost with a configuration change, or outlive the incarnation that made them.
TEST_CASE("a statement outlasts a change of the configuration and ends with a restart of the server")
{
    const bool isLeaving = GENERATE(true, false);
    Cluster cluster({ 1, 1, 2 });
    cluster.startCallers(40);
    ScriptedServer &server = *cluster.servers[0];
    const Instant since = isLeaving ? leave(cluster, server) : turnAway(cluster, server, "60");
    server.isLeaving = false;
    server.behaviour = Behaviour::Answer;
    cluster.changeConfig();
    cluster.runFor(std::chrono::seconds(1));
    CHECK(arrivalsBetween(server, since + UnderWay, cluster.clock.now()) == 0);
    server.crash();
    cluster.runFor(server.downFor + std::chrono::seconds(3));
    CHECK(arrivalsBetween(server, since + UnderWay, cluster.clock.now()) >= 10);
}

// Guards against a value that takes a server away for ever or ends the entry.
TEST_CASE("a statement that cannot be read takes no server away")
{
    const std::string value = GENERATE("", "-1", "inf", "nan", "1e9", "soon", "Sat, 05 Dec 2026 07:00:00 GMT");
    Cluster cluster({ 1, 1, 1 });
    cluster.startCallers(40);
    turnAway(cluster, *cluster.servers[0], value);
    cluster.servers[0]->behaviour = Behaviour::Answer;
    const std::size_t before = cluster.servers[0]->requests();
    cluster.runFor(std::chrono::seconds(2));
    CHECK(cluster.servers[0]->requests() - before >= 10);
    CHECK(cluster.entries[0]->isReady());
}
