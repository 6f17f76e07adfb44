#include <chrono>
#include <csignal>
#include <future>
#include <map>
#include <thread>

#include <catch2/catch.hpp>

#include "processfixture.h"
#include "teststand/loadgenerator.h"
#include "teststand/markedbody.h"

using namespace Galenabarrow::Daemon::Test;
using namespace Galenabarrow::Teststand;
using namespace std::chrono_literals;

namespace
{

const std::vector<std::string> FastServer { "--service_time_us=500", "--distribution=fixed" };

LoadConfig lookupsAndActions(const Cluster &cluster)
{
    LoadConfig load;
    load.entries = cluster.callerAddresses();
    load.customer = "abyssinia";
    load.services = { "orders" };
    load.threads = 8;
    load.ratePerSecond = 400;
    load.calls = 4'000;
    load.seconds = 120;
    load.deadlineMs = 5000;
    load.actionPermille = 300;
    load.seed = 11;
    return load;
}

}

// Guards against a second run of an action whose entry died during its dispatch (P4), and against "not run" for it (P3).
TEST_CASE("an action whose entry is killed during the dispatch runs at most once", "[daemon][process]")
{
    Cluster cluster(2);
    cluster.startServer({ "--service_time_us=300000", "--distribution=fixed" });
    const std::string key = cluster.keyScope(1) + ":killed";
    auto first = std::async(std::launch::async, [&] { return cluster.action(1, key); });
    REQUIRE(waitUntil([&] { return cluster.executions(key) == 1 || first.wait_for(0s) == std::future_status::ready; }));
    if (cluster.executions(key) == 0) {
        const HttpAnswer answer = first.get();
        FAIL("the action was not dispatched: " << answer.status << " " << answer.outcome << " " << answer.code);
    }
    cluster.entry(1).process->signal(SIGKILL);
    REQUIRE(first.get().status == 0);
    const HttpAnswer second = cluster.action(0, key);
    REQUIRE(second.outcome == "unknown");
    REQUIRE(second.code == 205);
    REQUIRE(cluster.executions(key) == 1);
}

// Guards against a frozen entry that wakes and serves by a contract which was withdrawn meanwhile (P7), or that dispatches
// a call whose deadline has passed.
TEST_CASE("an entry that was frozen dispatches nothing before it has caught up", "[daemon][process]")
{
    constexpr int FreshnessLimitMs = 1000;
    Cluster cluster(2, { .freshnessLimitMs = FreshnessLimitMs });
    cluster.startServer(FastServer);
    REQUIRE(cluster.call(1, "GET", "/stock").outcome == "answered");
    const std::string key = cluster.keyScope(1) + ":frozen";
    cluster.entry(1).process->signal(SIGSTOP);
    auto action = std::async(std::launch::async, [&] { return cluster.action(1, key, {}, 20'000); });
    auto lookup = std::async(std::launch::async, [&] { return cluster.call(1, "GET", "/stock", {}, 20'000); });
    REQUIRE(
        cluster.operatorRequest(0, "DELETE", "/v1/contracts/abyssinia", { { "If-Match", "1" }, { "Galenabarrow-Change-Id", "withdraw" } })
            .status
        == 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(FreshnessLimitMs + 500));
    const std::uint64_t before = cluster.totalExecutions();
    cluster.entry(1).process->signal(SIGCONT);
    REQUIRE(action.get().outcome == "not-run");
    REQUIRE(lookup.get().outcome == "not-run");
    REQUIRE(cluster.totalExecutions() == before);
    REQUIRE(waitUntil([&] { return cluster.call(1, "GET", "/stock").code == 100; }));
}

// Guards against calls that wait in the queue while the process is frozen and are dispatched after their deadline.
TEST_CASE("a call whose deadline passed while the entry was frozen is not dispatched", "[daemon][process]")
{
    // Longer than the freeze, so that the deadline alone has to prevent the dispatch.
    constexpr int FreshnessLimitMs = 5000;
    Cluster cluster(1, { .freshnessLimitMs = FreshnessLimitMs });
    cluster.startServer({ "--service_time_us=400000", "--distribution=fixed", "--slots=1" });
    const std::string scope = cluster.keyScope(0);
    auto first = std::async(std::launch::async, [&] { return cluster.action(0, scope + ":first"); });
    REQUIRE(waitUntil([&] { return cluster.executions(scope + ":first") == 1; }));
    auto second = std::async(std::launch::async, [&] { return cluster.action(0, scope + ":second", {}, 300); });
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    cluster.entry(0).process->signal(SIGSTOP);
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    cluster.entry(0).process->signal(SIGCONT);
    REQUIRE(first.get().outcome == "answered");
    REQUIRE(second.get().outcome == "not-run");
    REQUIRE(cluster.executions(scope + ":second") == 0);
}

// Guards against calls that are cut off or refused in a planned stop of an entry (P6), also when SIGTERM is sent twice.
TEST_CASE("a graceful stop of an entry under load loses no call", "[daemon][process]")
{
    Cluster cluster(3);
    for (int n = 0; n < 3; ++n) {
        cluster.startServer({ "--service_time_us=3000", "--slots=8" });
    }
    const LoadConfig load = lookupsAndActions(cluster);
    auto running = std::async(std::launch::async, [&] { return runLoad(load); });
    std::this_thread::sleep_for(std::chrono::seconds(2));
    cluster.entry(2).process->signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    cluster.entry(2).process->signal(SIGTERM);
    // Max-age and the grace period after it end 2 s after the first signal, in the middle of this call.
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    REQUIRE(cluster.call(2, "GET", "/stock", { { BehaviourHeader, "slow=1500" } }, 2000).outcome == "answered");
    REQUIRE(cluster.entry(2).process->wait() == 0);
    LoadReport report = running.get();
    INFO(report.toJson());
    REQUIRE(report.calls == load.calls);
    REQUIRE(report.outcomes["answered"] == load.calls);
    REQUIRE(report.wrongBodies == 0);
}

// Guards against calls that are accepted in a graceful stop and cut off at its end: locally, and at the owner of their key.
TEST_CASE("a stopping entry cuts no call that it has accepted", "[daemon][process]")
{
    using Clock = std::chrono::steady_clock;
    constexpr int DrainSeconds = 3;
    Cluster cluster(2, { .drainSeconds = DrainSeconds });
    cluster.startServer({ "--service_time_us=3000", "--slots=50" });
    const std::string scopes[] = { cluster.keyScope(0), cluster.keyScope(1) };
    cluster.entry(1).process->signal(SIGTERM);
    std::vector<std::future<HttpAnswer>> answers;
    const auto end = Clock::now() + std::chrono::milliseconds(1900);
    for (int n = 0; Clock::now() < end; ++n) {
        answers.push_back(std::async(std::launch::async, [&cluster, n, key = scopes[n % 2] + ":late-" + std::to_string(n)] {
            return cluster.action(1, key, { { BehaviourHeader, "slow=1800" } }, 2000);
        }));
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    std::map<std::string, int> outcomes;
    for (auto &it : answers) {
        const HttpAnswer answer = it.get();
        ++outcomes[answer.status == 0 ? "cut" : answer.outcome + " " + std::to_string(answer.code)];
    }
    REQUIRE(cluster.entry(1).process->wait() == 0);
    std::string text;
    for (const auto &[outcome, count] : outcomes) {
        text += outcome + ": " + std::to_string(count) + ", ";
    }
    INFO(text);
    REQUIRE(outcomes["cut"] == 0);
    REQUIRE(outcomes["not-run 108"] > 0);
}

// Guards against calls that are lost when a server drains (P6) and against new work for it (P5).
TEST_CASE("a server drains under load without losing a call", "[daemon][process]")
{
    Cluster cluster(2);
    Child &leaving = cluster.startServer({ "--service_time_us=3000", "--slots=8" });
    cluster.startServer({ "--service_time_us=3000", "--slots=8" });
    const LoadConfig load = lookupsAndActions(cluster);
    auto running = std::async(std::launch::async, [&] { return runLoad(load); });
    std::this_thread::sleep_for(std::chrono::seconds(2));
    leaving.signal(SIGTERM);
    REQUIRE(leaving.wait() == 0);
    LoadReport report = running.get();
    INFO(report.toJson());
    REQUIRE(report.outcomes["answered"] == load.calls);
    REQUIRE(report.wrongBodies == 0);
}

// Guards against new work for a draining server more than 2 s after the drain began, also when the server itself goes on
// to announce that it stays (P5).
TEST_CASE("a server that an operator drains gets no new work after 2 s", "[daemon][process]")
{
    Cluster cluster(2);
    Child &draining = cluster.startServer({ "--service_time_us=3000", "--slots=8" });
    cluster.startServer({ "--service_time_us=3000", "--slots=8" });
    const LoadConfig load = lookupsAndActions(cluster);
    auto running = std::async(std::launch::async, [&] { return runLoad(load); });
    std::this_thread::sleep_for(std::chrono::seconds(2));
    REQUIRE(cluster.operatorRequest(1, "POST", "/v1/servers/s0/drain").status == 200);
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const std::string before = send(draining.value("address"), "GET", "/standin/counts", {}).body;
    REQUIRE(running.get().outcomes["answered"] == load.calls);
    const std::string after = send(draining.value("address"), "GET", "/standin/counts", {}).body;
    REQUIRE(before.substr(before.find("\"total\"")) == after.substr(after.find("\"total\"")));
}

// Guards against input that stops the entry, against invalid requests that run, and against errors without a result code.
TEST_CASE("invalid input through a socket is refused with a result code and affects no other call", "[daemon][process]")
{
    Cluster cluster(1);
    cluster.startServer(FastServer);
    const std::string scope = cluster.keyScope(0);
    const std::string callers = cluster.entry(0).callers;
    const std::string head = " HTTP/1.1\r\nHost: x\r\n";
    const std::string known = "Galenabarrow-Customer: abyssinia\r\nGalenabarrow-Deadline-Ms: 500\r\n";
    const std::string get = "GET /s/orders/stock" + head;
    const std::string post = "POST /s/orders/orders" + head + known + "Galenabarrow-Action-Key: " + scope;
    const std::string expiredAction =
        "POST /s/orders/orders" + head + "Galenabarrow-Customer: abyssinia\r\nGalenabarrow-Deadline-Ms: 0\r\nGalenabarrow-Action-Key: ";
    struct Row {
        const char *name;
        std::string request;
        /// Empty when the connection is closed without an answer.
        std::string code;
        /// "unknown" for a request that is not read completely or names an action key: it may be a resend of an action that ran.
        std::string outcome = "not-run";
    };
    const std::vector<Row> rows {
        { "no HTTP", "hello\r\n\r\n", "401", "unknown" },
        { "header without colon", get + "Broken\r\n\r\n", "401", "unknown" },
        { "header section too large", get + "X: " + std::string(5000, 'x') + "\r\n\r\n", "403", "unknown" },
        { "endless request line", "GET /" + std::string(9000, 'x'), "403", "unknown" },
        { "unknown path", "GET /unknown" + head + known + "\r\n", "406" },
        { "no customer", get + "Galenabarrow-Deadline-Ms: 5\r\n\r\n", "400" },
        { "unknown customer", get + "Galenabarrow-Customer: nobody\r\nGalenabarrow-Deadline-Ms: 500\r\n\r\n", "100" },
        { "unknown service", "GET /s/unknown/stock" + head + known + "\r\n", "101" },
        { "no deadline", get + "Galenabarrow-Customer: abyssinia\r\n\r\n", "400" },
        { "malformed deadline", get + "Galenabarrow-Customer: abyssinia\r\nGalenabarrow-Deadline-Ms: soon\r\n\r\n", "401" },
        { "expired deadline", get + "Galenabarrow-Customer: abyssinia\r\nGalenabarrow-Deadline-Ms: 0\r\n\r\n", "104" },
        { "two customers", get + known + "Galenabarrow-Customer: other\r\n\r\n", "402", "unknown" },
        { "two lengths", post + ":a1\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\nhello", "402", "unknown" },
        { "length and chunks", post + ":a2\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "401", "unknown" },
        { "chunks", post + ":a3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "401", "unknown" },
        { "body too large", post + ":a4\r\nContent-Length: 65537\r\n\r\n", "404", "unknown" },
        { "malformed length", post + ":a5\r\nContent-Length: 5x\r\n\r\nhello", "401", "unknown" },
        { "folded header", get + "X: a\r\n b\r\n" + known + "\r\n", "401", "unknown" },
        { "space before the colon", get + known + "X : a\r\n\r\n", "401", "unknown" },
        { "action without key", "POST /s/orders/orders" + head + known + "Content-Length: 0\r\n\r\n", "400" },
        { "malformed key", "POST /s/orders/orders" + head + known + "Galenabarrow-Action-Key: a:b:c\r\nContent-Length: 0\r\n\r\n", "401",
          "unknown" },
        // The scope's owner knows its keys; without a scope, another entry may have run an earlier request with this key.
        { "expired deadline of an action with a scope", expiredAction + scope + ":a6\r\nContent-Length: 0\r\n\r\n", "104" },
        { "resend of it", post + ":a6\r\nContent-Length: 0\r\n\r\n", "111" },
        { "expired deadline of an action without a scope", expiredAction + "a7\r\nContent-Length: 0\r\n\r\n", "205", "unknown" },
        { "cut in a header", post + ":cut-1", "" },
        { "cut after a header line", post + ":cut-2\r\nContent-Length: 0\r\n", "" },
        { "cut in the body", post + ":cut-3\r\nContent-Length: 5\r\n\r\nhel", "" },
        { "nothing", "", "" },
    };
    const std::uint64_t before = cluster.totalExecutions();
    for (const Row &row : rows) {
        // The end of the stream after the request makes the entry close the connection after its answer.
        const std::string answer = sendRaw(callers, row.request, true);
        CAPTURE(row.name, answer);
        if (row.code.empty()) {
            REQUIRE(answer.empty());
        } else {
            REQUIRE(answer.find("Galenabarrow-Code: " + row.code + "\r\n") != std::string::npos);
            REQUIRE(answer.find("Galenabarrow-Outcome: " + row.outcome + "\r\n") != std::string::npos);
        }
    }
    REQUIRE(cluster.totalExecutions() == before);
    REQUIRE(cluster.call(0, "GET", "/stock").outcome == "answered");
}

// Guards against an unlimited number of connections and against senders that occupy a thread without a time limit.
TEST_CASE("connections are bounded and slow senders time out", "[daemon][process]")
{
    Cluster cluster(1);
    cluster.startServer(FastServer);
    const std::string callers = cluster.entry(0).callers;
    // More than the limit of 64 connections of these clusters; the stand-in server's announcements need one now and then.
    std::vector<std::future<std::string>> slow;
    const auto addSlowSender = [&] {
        slow.push_back(std::async(std::launch::async, [&] { return sendRaw(callers, "GET /s/orders/stock HTTP/1.1\r\nHost:", false); }));
    };
    for (int n = 0; n < 80; ++n) {
        addSlowSender();
    }
    // A call or announcement that had a connection while the senders connected frees it afterwards, so each attempt adds
    // a sender.
    std::map<int, int> codes;
    const bool isFull = waitUntil([&] {
        ++codes[cluster.call(0, "GET", "/stock").code];
        addSlowSender();
        return codes.contains(408);
    });
    CAPTURE(codes);
    REQUIRE(isFull);
    int accepted = 0;
    for (auto &it : slow) {
        const std::string answer = it.get();
        CAPTURE(answer);
        REQUIRE((answer.empty() || answer.find("Galenabarrow-Code: 408\r\n") != std::string::npos));
        accepted += answer.empty() ? 1 : 0;
    }
    REQUIRE(accepted <= 64);
    REQUIRE(accepted > 56);
    REQUIRE(waitUntil([&] { return cluster.call(0, "GET", "/stock").outcome == "answered"; }));
    const std::string counter = "galenabarrow_http_slow_senders_total " + std::to_string(accepted) + "\n";
    REQUIRE(cluster.operatorRequest(0, "GET", "/metrics").body.find(counter) != std::string::npos);
}

// Guards against an operators' interface that can be used without the token.
TEST_CASE("the operators' interface needs the token", "[daemon][process]")
{
    Cluster cluster(1);
    const std::string operators = cluster.entry(0).operators;
    for (const char *path : { "/v1/status", "/v1/contracts", "/metrics", "/v1/burn" }) {
        INFO(path);
        REQUIRE(send(operators, "GET", path, {}).code == 407);
        REQUIRE(send(operators, "GET", path, { { "Authorization", "Bearer wrong" } }).code == 407);
        REQUIRE(cluster.operatorRequest(0, "GET", path).status == 200);
        REQUIRE(send(cluster.entry(0).callers, "GET", path, {}).status == 404);
    }
    const Fields change { { "If-Match", "7" }, { "Galenabarrow-Change-Id", "late" } };
    REQUIRE(cluster.operatorRequest(0, "DELETE", "/v1/contracts/abyssinia", change).code == 300);
    REQUIRE(cluster.operatorRequest(0, "DELETE", "/v1/contracts/abyssinia", { { "If-Match", "1" } }).code == 400);
    REQUIRE(cluster.operatorRequest(0, "POST", "/v1/servers/nobody/drain").code == 406);
}
