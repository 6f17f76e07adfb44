#include <csignal>
#include <future>
#include <sstream>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "processfixture.h"
#include "teststand/loadgenerator.h"
#include "teststand/markedbody.h"

using namespace Galenabarrow::Daemon::Test;
using namespace Galenabarrow::Teststand;

namespace
{

/// The sum of all calls that a metrics page counts.
std::size_t recordedCalls(const std::string &page)
{
    const std::string name = "galenabarrow_calls_total{";
    std::size_t sum = 0;
    std::istringstream lines(page);
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind(name, 0) == 0) {
            sum += std::stoull(line.substr(line.rfind(' ') + 1));
        }
    }
    return sum;
}

/// A fast server, so that the tests spend their time on what they test.
const std::vector<std::string> FastServer { "--service_time_us=500", "--distribution=fixed" };

}

// Guards against a burn report that counts a forwarded call at both entries.
TEST_CASE("a forwarded action is recorded once", "[daemon][process]")
{
    Cluster cluster(2);
    cluster.startServer(FastServer);
    REQUIRE(cluster.action(1, cluster.keyScope(0) + ":forwarded").outcome == "answered");
    std::size_t recorded = 0;
    for (std::size_t n = 0; n < 2; ++n) {
        recorded += recordedCalls(cluster.operatorRequest(n, "GET", "/metrics").body);
    }
    REQUIRE(recorded == 1);
}

// Guards against faults on the path of a call through separate processes, from the caller to a server and back.
TEST_CASE("a call is answered end to end", "[daemon][process]")
{
    Cluster cluster(1);
    cluster.startServer(FastServer);
    const HttpAnswer lookup = cluster.call(0, "GET", "/stock", { { MarkHeader, "m1" }, { SizeHeader, "100" } });
    REQUIRE(lookup.status == 200);
    REQUIRE(lookup.outcome == "answered");
    REQUIRE(lookup.body == markedBody("m1", 100));
    const std::string key = cluster.keyScope(0) + ":order-1";
    REQUIRE(cluster.action(0, key).outcome == "answered");
    REQUIRE(cluster.action(0, key).code == 209);
    REQUIRE(cluster.executions(key) == 1);
}

// Guards against a resend of an action by the HTTP client when the server closes a reused connection: HTTPClientSession
// does that by itself.
TEST_CASE("an action whose reused connection is closed during the exchange runs once and its outcome is unknown", "[daemon][process]")
{
    Cluster cluster(1);
    cluster.startServer(FastServer);
    cluster.setBehaviour("close-reused");
    const std::string scope = cluster.keyScope(0);
    REQUIRE(cluster.action(0, scope + ":first").outcome == "answered");
    const HttpAnswer second = cluster.action(0, scope + ":second");
    REQUIRE(second.outcome == "unknown");
    REQUIRE(second.code == 202);
    REQUIRE(cluster.executions(scope + ":second") == 1);
    REQUIRE(cluster.action(0, scope + ":second").outcome == "unknown");
    REQUIRE(cluster.executions(scope + ":second") == 1);
}

// Guards against "not run" for an action that timed out, and against its late response reaching the next call.
TEST_CASE("a late response is not delivered to any call", "[daemon][process]")
{
    Cluster cluster(1);
    cluster.startServer(FastServer);
    const std::string key = cluster.keyScope(0) + ":late";
    const HttpAnswer late = cluster.action(0, key, { { MarkHeader, "late" }, { BehaviourHeader, "slow=700" } }, 200);
    REQUIRE(late.outcome == "unknown");
    REQUIRE(late.code == 201);
    for (int n = 0; n < 40; ++n) {
        const std::string mark = "next" + std::to_string(n);
        const HttpAnswer next =
            cluster.call(0, "GET", "/stock", { { MarkHeader, mark }, { SizeHeader, "64" }, { BehaviourHeader, "slow=20" } });
        REQUIRE(next.body == markedBody(mark, 64));
    }
    REQUIRE(cluster.executions(key) == 1);
}

// Guards against a partial response that is accepted as complete.
TEST_CASE("cut-short and oversized answers are errors", "[daemon][process]")
{
    Cluster cluster(1);
    cluster.startServer(FastServer);
    const std::string scope = cluster.keyScope(0);
    struct Row {
        const char *behaviour;
        int code;
    };
    for (const Row &row : { Row { "cut-short", 203 }, Row { "cut-chunked", 203 }, Row { "oversized", 204 } }) {
        INFO(row.behaviour);
        const std::string key = scope + ":" + row.behaviour;
        const HttpAnswer answer = cluster.action(0, key, { { BehaviourHeader, row.behaviour } });
        REQUIRE(answer.outcome == "unknown");
        REQUIRE(answer.code == row.code);
        REQUIRE(cluster.executions(key) == 1);
    }
    REQUIRE(cluster.action(0, scope + ":drip", { { BehaviourHeader, "drip" } }, 300).outcome == "unknown");
    REQUIRE(cluster.call(0, "GET", "/stock", { { MarkHeader, "m" }, { SizeHeader, "8" } }).body == markedBody("m", 8));
}

// Guards against responses that are mixed up between calls when connections are reused and abandoned (P2), and against
// actions that run twice (P4).
TEST_CASE("10,000 interleaved calls each get their own complete response", "[daemon][process]")
{
    Cluster cluster(2);
    for (int n = 0; n < 3; ++n) {
        cluster.startServer({ "--service_time_us=300", "--slots=8" });
    }
    LoadConfig load;
    load.entries = cluster.callerAddresses();
    load.customer = "abyssinia";
    load.services = { "orders" };
    load.threads = 16;
    load.calls = 10'000;
    load.seconds = 300;
    load.deadlineMs = 400;
    load.actionPermille = 300;
    load.bodyBytes = 3000;
    load.seed = 7;
    load.behaviours = { "slow=5", "cut-short", "slow=600", "cut-chunked", "failing" };
    load.behaviourEvery = 40;
    LoadReport report = runLoad(load);
    INFO(report.toJson());
    REQUIRE(report.calls == 10'000);
    REQUIRE(report.wrongBodies == 0);
    REQUIRE(report.outcomes["lost"] == 0);
    REQUIRE(report.outcomes["answered"] > 9'000);
    const std::map<std::string, std::uint64_t> allExecutions = cluster.allExecutions();
    for (const std::string &line : report.actionLines) {
        const std::string key = line.substr(0, line.find(' '));
        const std::string outcome = line.substr(line.find(' ') + 1);
        const auto found = allExecutions.find(key);
        const std::uint64_t executions = found == allExecutions.end() ? 0 : found->second;
        CAPTURE(line, executions);
        REQUIRE(executions <= 1);
        REQUIRE((outcome != "answered" || executions == 1));
        REQUIRE((outcome != "not-run" || executions == 0));
    }
}

// Guards against an action that two entries run, and against a "not run" for a key that another entry has run (P3, P4).
TEST_CASE("one action key at two entries runs once", "[daemon][process]")
{
    Cluster cluster(2);
    cluster.startServer({ "--service_time_us=100000", "--distribution=fixed" });
    const std::string scoped = cluster.keyScope(0) + ":both";
    const std::string unscoped = "unscoped-both";
    for (const std::string &key : { scoped, unscoped }) {
        INFO(key);
        auto first = std::async(std::launch::async, [&] { return cluster.action(0, key); });
        auto second = std::async(std::launch::async, [&] { return cluster.action(1, key); });
        const HttpAnswer a = first.get();
        const HttpAnswer b = second.get();
        CAPTURE(a.outcome, a.code, b.outcome, b.code);
        REQUIRE((a.outcome == "answered") != (b.outcome == "answered"));
        REQUIRE((a.outcome == "unknown" || b.outcome == "unknown"));
        const HttpAnswer late = cluster.action(1, key);
        REQUIRE(late.code == 209);
        REQUIRE(late.outcome != "not-run");
        REQUIRE(cluster.executions(key) == 1);
    }
}
