#include <filesystem>
#include <fstream>

#include <fcntl.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "cluster.h"
#include "coordination/feed.h"
#include "gateway/requestrunner.h"
#include "scriptedserver.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Gateway;

namespace
{

constexpr std::uint16_t EntryPort = 28497;
constexpr Duration Fresh = std::chrono::milliseconds(100);

Routing::ClientAccount makeAccount(const std::string &name, std::vector<std::string> keys, std::optional<int> priority = std::nullopt)
{
    Routing::ClientAccount account;
    account.name = AccountId(name);
    account.keys = std::move(keys);
    account.priority = priority;
    return account;
}

Routing::Route makeRoute(const std::string &prefix)
{
    Routing::Route route;
    route.name = prefix;
    route.host = "h";
    route.prefix = prefix;
    route.kind = Routing::RequestKind::Safe;
    route.maxAttempts = 2;
    route.objective = std::chrono::milliseconds(800);
    route.timeout = std::chrono::milliseconds(2000);
    route.split = { { ServiceId("desk"), 1 } };
    return route;
}

/// A connection of a caller that stays open.
struct Caller {
    Caller(Net::EventLoop &loop, const Net::SocketAddress &address)
        : stream(Net::Stream::connect(loop, address))
    {
        stream->onData([this](std::string_view bytes) { received.append(bytes); });
    }

    /// Sends a request with these further header lines.
    void send(const std::string &path, const std::string &lines)
    {
        received.clear();
        stream->write("GET " + path + " HTTP/1.1\r\nHost: h\r\nx-id: id" + std::to_string(++sent) + "\r\nx-wait: 2000\r\n" + lines
                      + "\r\n");
    }

    /// The status of the response; empty without one.
    std::string status() const
    {
        constexpr std::size_t StatusAt = 9; // after "HTTP/1.1 "
        return received.size() < StatusAt ? std::string() : received.substr(StatusAt, 3);
    }

    std::shared_ptr<Net::Stream> stream;
    std::string received;
    int sent = 0;
};

/// An entry with a public and two other routes, and one scripted server.
struct AccountFixture {
    AccountFixture()
        : servers(DataCentreId("north"), random)
        , runner(loop, random, testHeaderNames(), RetryBudgetSettings { 3, 10, std::chrono::seconds(10), 1 }, ProbeSettings { 1000 },
                 servers)
        , entry(loop, [this](const Http::ExchangePointer &it) { runner.handle(it); })
        , backend(loop, 0)
    {
        runner.setStateAgeSource([this] { return stateAge; });
        REQUIRE(entry.listen({ "127.0.0.1", EntryPort }));
        addServer(backend);
        caller.emplace(loop, Net::SocketAddress { "127.0.0.1", EntryPort });
        runFor(20);
    }

    void addServer(const ScriptedServer &added)
    {
        Coordination::FeedUpdate update;
        update.index = LogIndex(servers.size() + 1);
        Routing::BackendServer server;
        server.id = ServerId(added.name);
        server.address = added.address.text();
        server.service = ServiceId("desk");
        server.dataCentre = DataCentreId("north");
        server.slots = 2;
        server.changedAt = update.index;
        update.servers = { server };
        servers.apply(update, loop.now());
    }

    void configureWithoutAccounts()
    {
        configure({}, false);
    }

    void configure(std::vector<Routing::ClientAccount> accounts, bool hasAccounts = true)
    {
        Routing::RoutingConfig config;
        config.version = Version(++version);
        config.routes = { makeRoute("/"), makeRoute("/public/"), makeRoute("/low/") };
        config.routes[1].isPublic = true;
        config.routes[2].priority = 5;
        config.services = { { ServiceId("desk"), "/health", 0, "" } };
        config.accounts = std::move(accounts);
        config.hasAccounts = hasAccounts;
        runner.setConfig(config);
    }

    void runFor(int milliseconds)
    {
        loop.after(std::chrono::milliseconds(milliseconds), [this] { loop.stop(); });
        loop.run();
    }

    /// Sends a request over the open connection and returns the status of the response.
    std::string call(const std::string &path, const std::string &lines)
    {
        caller->send(path, lines);
        runFor(60);
        return caller->status();
    }

    bool hasEvent(const std::string &event, int count) const
    {
        return runner.metrics().find("events_total{event=\"" + event + "\"} " + std::to_string(count) + "\n") != std::string::npos;
    }

    ManualClock clock;
    Net::EventLoop loop { clock };
    SeededRandom random { 4 };
    ServerTable servers;
    RequestRunner runner;
    Http::Server entry;
    ScriptedServer backend;
    std::optional<Caller> caller;
    std::optional<Duration> stateAge = Fresh;
    std::uint64_t version = 0;
};

std::string fieldOf(const Http::Request &request, std::string_view name)
{
    const std::string *value = request.fields.find(name);
    return value == nullptr ? "absent" : *value;
}

}

// Guards against a server that gets the key, or does not get the name of the account.
TEST_CASE("a request with a known key reaches a server with the name of the account and without the key")
{
    AccountFixture fixture;
    fixture.configure({ makeAccount("first", { "key1" }), makeAccount("second", { "key2" }) });
    CHECK(fixture.call("/a", "Authorization: Bearer key2\r\n") == "200");
    REQUIRE(fixture.backend.requests() == 1);
    CHECK(fieldOf(fixture.backend.received[0], "x-account") == "second");
    CHECK(fieldOf(fixture.backend.received[0], "Authorization") == "absent");
    CHECK(fixture.hasEvent("unauthorized", 0));
}

// Guards against access without a valid key, and against a response that names no scheme (RFC 9110, section 15.5.2).
TEST_CASE("a request without a valid key is answered 401 and reaches no server")
{
    const std::string lines = GENERATE("", "Authorization: Bearer other\r\n", "Authorization: Basic key1\r\n", "Authorization: key1\r\n",
                                       "Authorization: Bearer key1\r\nAuthorization: Bearer key2\r\n", "x-account: first\r\n");
    INFO(lines);
    AccountFixture fixture;
    fixture.configure({ makeAccount("first", { "key1" }), makeAccount("second", { "key2" }) });
    CHECK(fixture.call("/a", lines) == "401");
    CHECK(fixture.caller->received.starts_with("HTTP/1.1 401 Unauthorized\r\n"));
    CHECK(fixture.caller->received.find("WWW-Authenticate: Bearer\r\n") != std::string::npos);
    CHECK(fixture.backend.requests() == 0);
    CHECK(fixture.hasEvent("unauthorized", 1));
    CHECK(fixture.call("/a", "Authorization: Bearer key1\r\n") == "200"); // the connection is still usable
}

// Guards against an entry that is open to everybody, and passes keys and forged account names on, once the last account was removed.
TEST_CASE("without an account left every key is refused and reaches no server")
{
    const std::string lines = GENERATE("", "Authorization: Bearer key1\r\n", "Authorization: Bearer other\r\nx-account: first\r\n");
    INFO(lines);
    AccountFixture fixture;
    fixture.configure({ makeAccount("first", { "key1" }) });
    CHECK(fixture.call("/a", "Authorization: Bearer key1\r\n") == "200");
    fixture.configure({});
    CHECK(fixture.call("/a", lines) == "401");
    CHECK(fixture.backend.requests() == 1);
    CHECK(fixture.call("/public/a", lines) == "200");
    CHECK(fieldOf(fixture.backend.received.back(), "Authorization") == "absent");
    CHECK(fieldOf(fixture.backend.received.back(), "x-account") == "absent");
}

// Guards against a key in a place that is read by people or by monitoring.
TEST_CASE("a key is in no response and no metric")
{
    AccountFixture fixture;
    fixture.configure({ makeAccount("first", { "topsecret" }) });
    CHECK(fixture.call("/a", "Authorization: Bearer topsecret\r\n") == "200");
    CHECK(fixture.caller->received.find("topsecret") == std::string::npos);
    CHECK(fixture.call("/a", "Authorization: Bearer topsecret2\r\n") == "401");
    CHECK(fixture.caller->received.find("topsecret") == std::string::npos);
    CHECK(fixture.runner.metrics().find("topsecret") == std::string::npos);
}

namespace
{

/// The log lines that \p work writes.
template<typename Work>
std::string logOf(const Work &work)
{
    const std::filesystem::path path = std::filesystem::temp_directory_path() / ("galenabarrow-accounts-" + std::to_string(::getpid()));
    const int saved = ::dup(STDERR_FILENO);
    const int file = ::open(path.c_str(), O_CREAT | O_TRUNC | O_WRONLY, 0600);
    REQUIRE(file >= 0);
    ::dup2(file, STDERR_FILENO);
    ::close(file);
    Log::configure("debug");
    work();
    Log::configure("error"); // other tests write few lines
    ::dup2(saved, STDERR_FILENO);
    ::close(saved);
    std::ifstream stream(path);
    std::string lines(std::istreambuf_iterator<char>(stream), {});
    std::filesystem::remove(path);
    return lines;
}

}

// Guards against a key in a log line, and against lines that do not tell whose request failed.
TEST_CASE("log lines show the name of the account and no key")
{
    AccountFixture fixture;
    const std::string lines = logOf([&] {
        fixture.configure({ makeAccount("first", { "topsecret" }) });
        fixture.backend.behaviour = GENERATE(Behaviour::Fail, Behaviour::Break, Behaviour::Shed);
        fixture.call("/a", "Authorization: Bearer topsecret\r\n");
        fixture.call("/a", "Authorization: Bearer topsecret2\r\n");
        fixture.call("/public/a", "Authorization: Bearer topsecret\r\n");
        fixture.runFor(300); // the requests wait for another server before they fail
    });
    CHECK(lines.find(" account=first ") != std::string::npos);
    CHECK(lines.find(" account=\"\" ") != std::string::npos);
    CHECK(lines.find("topsecret") == std::string::npos);
}

// Guards against a caller that passes for an account, also by having the entry's own field removed as a connection-specific one.
TEST_CASE("an account field of the caller is dropped")
{
    AccountFixture fixture;
    fixture.configure({ makeAccount("first", { "key1" }) });
    const std::string forged = "x-account: other\r\nX-Account: other\r\nConnection: x-account, authorization\r\n";
    CHECK(fixture.call("/a", "Authorization: Bearer key1\r\n" + forged) == "200");
    CHECK(fixture.call("/public/a", forged) == "200");
    REQUIRE(fixture.backend.requests() == 2);
    CHECK(fieldOf(fixture.backend.received[0], "x-account") == "first");
    CHECK(fieldOf(fixture.backend.received[1], "x-account") == "absent");
}

// Guards against a public route that requires a key, passes one on, or loses credentials of another scheme.
TEST_CASE("a public route needs no key, removes a bearer key and forwards other credentials")
{
    struct Row {
        const char *lines;
        const char *forwarded;
    };
    const Row row = GENERATE(Row { "", "absent" }, Row { "Authorization: Bearer key1\r\n", "absent" },
                             Row { "Authorization: Bearer other\r\n", "absent" }, Row { "Authorization: Basic abc\r\n", "Basic abc" },
                             Row { "Authorization: Basic abc\r\nAuthorization: bearer key1\r\n", "Basic abc" });
    INFO(row.lines);
    AccountFixture fixture;
    fixture.configure({ makeAccount("first", { "key1" }) });
    CHECK(fixture.call("/public/a", row.lines) == "200");
    REQUIRE(fixture.backend.requests() == 1);
    CHECK(fieldOf(fixture.backend.received[0], "Authorization") == row.forwarded);
    CHECK(fieldOf(fixture.backend.received[0], "x-account") == "absent");
}

// Guards against any change for deployments without accounts.
TEST_CASE("without a list of accounts both header fields are forwarded unchanged")
{
    AccountFixture fixture;
    fixture.configureWithoutAccounts();
    CHECK(fixture.call("/a", "Authorization: Bearer key1\r\nx-account: mine\r\n") == "200");
    CHECK(fixture.call("/a", "") == "200");
    REQUIRE(fixture.backend.requests() == 2);
    CHECK(fieldOf(fixture.backend.received[0], "Authorization") == "Bearer key1");
    CHECK(fieldOf(fixture.backend.received[0], "x-account") == "mine");
}

// Guards against a check per connection: a removed key must not work for as long as its caller keeps the connection.
TEST_CASE("a key that is removed, moved or added is treated by the new configuration on an open connection")
{
    AccountFixture fixture;
    fixture.configure({ makeAccount("first", { "removed", "moved" }), makeAccount("second", {}) });
    CHECK(fixture.call("/a", "Authorization: Bearer removed\r\n") == "200");
    CHECK(fixture.call("/a", "Authorization: Bearer moved\r\n") == "200");
    CHECK(fixture.call("/a", "Authorization: Bearer added\r\n") == "401");
    fixture.configure({ makeAccount("first", { "added" }), makeAccount("second", { "moved" }) });
    CHECK(fixture.call("/a", "Authorization: Bearer removed\r\n") == "401");
    CHECK(fixture.call("/a", "Authorization: Bearer moved\r\n") == "200");
    CHECK(fixture.call("/a", "Authorization: Bearer added\r\n") == "200");
    REQUIRE(fixture.backend.requests() == 4);
    CHECK(fieldOf(fixture.backend.received[1], "x-account") == "first");
    CHECK(fieldOf(fixture.backend.received[2], "x-account") == "second");
    CHECK(fieldOf(fixture.backend.received[3], "x-account") == "first");
}

// Guards against a request that fails, changes its account or reveals its key when a change takes effect between two attempts.
TEST_CASE("a request in progress keeps the account and the rules it started with")
{
    const bool startsWithAccounts = GENERATE(true, false);
    AccountFixture fixture;
    const std::vector<Routing::ClientAccount> accounts { makeAccount("first", { "key1" }) };
    fixture.configure(startsWithAccounts ? accounts : std::vector<Routing::ClientAccount> {}, startsWithAccounts);
    fixture.backend.behaviour = Behaviour::Shed;
    fixture.backend.work = std::chrono::milliseconds(50);
    fixture.caller->send("/a", "Authorization: Bearer key1\r\nx-account: mine\r\n");
    fixture.runFor(30);
    REQUIRE(fixture.backend.requests() == 1);
    ScriptedServer other(fixture.loop, 1);
    fixture.addServer(other); // for the next attempt
    fixture.configure(startsWithAccounts ? std::vector<Routing::ClientAccount> {} : accounts, !startsWithAccounts);
    fixture.runFor(100);
    CHECK(fixture.caller->status() == "200");
    REQUIRE(other.requests() == 1);
    CHECK(fieldOf(other.received[0], "x-account") == (startsWithAccounts ? "first" : "mine"));
    CHECK(fieldOf(other.received[0], "Authorization") == (startsWithAccounts ? "absent" : "Bearer key1"));
}

// Guards against a 401 for a key that was added while this entry was cut off: callers do not repeat such a request.
TEST_CASE("an unknown key is answered 503 with a retry time when the state is too old or was never confirmed")
{
    struct Row {
        std::optional<Duration> age;
        const char *status;
    };
    const Row row =
        GENERATE(Row { std::chrono::milliseconds(0), "401" }, Row { std::chrono::milliseconds(2500), "401" },
                 Row { std::chrono::microseconds(2500001), "503" }, Row { std::chrono::hours(1), "503" }, Row { std::nullopt, "503" });
    AccountFixture fixture;
    fixture.configure({ makeAccount("first", { "key1" }) });
    fixture.stateAge = row.age;
    CHECK(fixture.call("/a", "Authorization: Bearer other\r\n") == row.status);
    const bool isRejection = std::string(row.status) == "503";
    CHECK((fixture.caller->received.find("retry-after") != std::string::npos) == isRejection);
    CHECK(fixture.hasEvent("unauthorized", isRejection ? 0 : 1));
    CHECK(fixture.hasEvent("unconfirmed_key", isRejection ? 1 : 0));
    // What does not depend on a newer key stays as it is.
    CHECK(fixture.call("/a", "Authorization: Bearer key1\r\n") == "200");
    CHECK(fixture.call("/public/a", "") == "200");
    CHECK(fixture.call("/a", "") == "401");
}

// Guards against a 401 from an entry that knows no key yet.
TEST_CASE("a request to a starting entry is checked by the first configuration")
{
    const bool isKnown = GENERATE(true, false);
    AccountFixture fixture;
    CHECK(fixture.call("/a", isKnown ? "Authorization: Bearer key1\r\n" : "Authorization: Bearer other\r\n").empty());
    fixture.configure({ makeAccount("first", { "key1" }) });
    fixture.runFor(60);
    CHECK(fixture.caller->status() == (isKnown ? "200" : "401"));
}

// Guards against a 401 from an entry that knows no key.
TEST_CASE("an entry without a configuration answers 503, with or without a key")
{
    AccountFixture fixture;
    fixture.runFor(1500);
    CHECK(fixture.call("/a", "Authorization: Bearer key1\r\n") == "503");
    CHECK(fixture.call("/a", "") == "503");
}

// Guards against a wait queue that is ordered by the routes when the accounts state another order.
TEST_CASE("among waiting requests the priority of the account precedes that of the route")
{
    const bool hasPriority = GENERATE(true, false);
    AccountFixture fixture;
    const auto priority = [&](int value) { return hasPriority ? std::optional(value) : std::nullopt; };
    fixture.configure({ makeAccount("first", { "key1" }, priority(6)), makeAccount("second", { "key2" }, priority(1)) });
    // The late answer to a probe hands the free slot to the first request of the queue. Requests wait as the other server is full.
    fixture.backend.probeDelay = std::chrono::milliseconds(60);
    ScriptedServer full(fixture.loop, 1);
    full.load = "2,0,2,100";
    fixture.addServer(full);
    Caller other(fixture.loop, { "127.0.0.1", EntryPort });
    fixture.caller->send("/a", "Authorization: Bearer key1\r\n");
    fixture.runFor(30);
    other.send("/low/b", "Authorization: Bearer key2\r\n");
    fixture.runFor(150);
    CHECK(fixture.hasEvent("waited", 2));
    REQUIRE(fixture.backend.requests() == 2);
    CHECK(fixture.backend.received[0].path() == (hasPriority ? "/low/b" : "/a"));
}

namespace
{

/// Core instances, entries with one open connection each, and the account configuration in force.
struct AccountCluster : Cluster {
    AccountCluster()
        : Cluster({ 3, 3, 2 })
    {
        Routing::ConfigChange change;
        change.version = Version(2);
        change.base = Version(1);
        change.config.routes = { makeRoute("/") };
        change.config.services = { { ServiceId("desk"), "/health", 0, "" } };
        change.config.accounts = { makeAccount("first", { "stays", "moves", "ends" }), makeAccount("second", { "other" }) };
        submit(change);
        for (std::size_t n = 0; n < entries.size(); ++n) {
            callers.push_back(std::make_unique<Caller>(loop, entryAddress(n)));
        }
        runFor(std::chrono::seconds(2));
    }

    /// Runs until the change is acknowledged.
    void submit(const Routing::ConfigChange &change)
    {
        bool isAccepted = false;
        core.front()->submit(change, [&](const Result<void> &result) {
            isAccepted = result.has_value();
            loop.stop();
        });
        loop.run();
        REQUIRE(isAccepted);
    }

    /// The status at each entry of a request with this key.
    std::vector<std::string> statusesOf(const std::string &key)
    {
        for (const auto &it : callers) {
            it->send("/a", "Authorization: Bearer " + key + "\r\n");
        }
        runFor(std::chrono::milliseconds(60));
        std::vector<std::string> result;
        for (const auto &it : callers) {
            result.push_back(it->status());
        }
        return result;
    }

    /// The account fields of the requests that servers received after \p from.
    std::vector<std::string> accountsSince(const std::vector<std::size_t> &from) const
    {
        std::vector<std::string> accounts;
        for (std::size_t n = 0; n < servers.size(); ++n) {
            for (std::size_t at = from[n]; at < servers[n]->received.size(); ++at) {
                accounts.push_back(fieldOf(servers[n]->received[at], "x-account"));
            }
        }
        return accounts;
    }

    /// Requests that each server received.
    std::vector<std::size_t> received() const
    {
        std::vector<std::size_t> counts;
        for (const auto &it : servers) {
            counts.push_back(it->requests());
        }
        return counts;
    }

    std::vector<std::unique_ptr<Caller>> callers;
};

/// Removes a key, moves one from the first account to the second and adds one.
Routing::ConfigChange makeKeyChange()
{
    Routing::ConfigChange change;
    change.version = Version(3);
    change.base = Version(2);
    change.isPatch = true;
    change.config.accounts = { makeAccount("first", { "stays", "added" }), makeAccount("second", { "other", "moves" }) };
    return change;
}

const std::vector<std::string> Served(3, "200");
const std::vector<std::string> Unauthorized(3, "401");

}

// Guards against entries that keep old keys after a patch has been acknowledged, and against a moment in which a moved key is in no
// account.
TEST_CASE("a change of keys is in force at every entry within two seconds, and a moved key works throughout")
{
    AccountCluster cluster;
    CHECK(cluster.statusesOf("ends") == Served);
    CHECK(cluster.statusesOf("added") == Unauthorized);
    cluster.submit(makeKeyChange());
    for (int n = 0; n < 30; ++n) {
        CHECK(cluster.statusesOf("moves") == Served);
    }
    const std::vector<std::size_t> before = cluster.received();
    CHECK(cluster.statusesOf("moves") == Served);
    CHECK(cluster.accountsSince(before) == std::vector<std::string>(3, "second"));
    CHECK(cluster.statusesOf("ends") == Unauthorized);
    CHECK(cluster.statusesOf("added") == Served);
    CHECK(cluster.statusesOf("stays") == Served);
}

namespace
{

/// A core instance that sends one update, with a confirmation of that moment, on its first connection and nothing later.
struct SilentCore {
    SilentCore(Net::EventLoop &loop, const Wire::FrameCodec &codec, const Coordination::FeedUpdate &update)
        : listener(loop, [this](std::shared_ptr<Net::Stream> it) { accept(std::move(it)); })
    {
        REQUIRE(listener.listen(Address));
        Wire::Envelope envelope;
        envelope.sender = InstanceId("core");
        envelope.senderAddress = "core";
        envelope.kind = Wire::MessageKind::FeedUpdate;
        envelope.payload = Coordination::encode(update);
        frame = codec.seal(Wire::encode(envelope));
    }

    void accept(std::shared_ptr<Net::Stream> stream)
    {
        stream->onData([](std::string_view) {});
        stream->onEnd([](Net::StreamEnd) {});
        if (streams.empty()) {
            stream->write(std::string(frame.begin(), frame.end()));
        }
        streams.push_back(std::move(stream));
    }

    static inline const Net::SocketAddress Address { "127.0.0.1", 28498 };
    std::vector<std::uint8_t> frame;
    Net::Listener listener;
    std::vector<std::shared_ptr<Net::Stream>> streams;
};

Coordination::FeedUpdate makeUpdate(const ScriptedServer &backend)
{
    Coordination::FeedUpdate update;
    update.index = LogIndex(2);
    update.isWhole = true;
    update.confirmedAge = Duration {};
    update.configAt = LogIndex(1);
    update.config.emplace();
    update.config->version = Version(1);
    update.config->config.routes = { makeRoute("/") };
    update.config->config.services = { { ServiceId("desk"), "/health", 0, "" } };
    update.config->config.accounts = { makeAccount("first", { "key1" }) };
    Routing::BackendServer server;
    server.id = ServerId(backend.name);
    server.address = backend.address.text();
    server.service = ServiceId("desk");
    server.dataCentre = DataCentreId("north");
    server.slots = 2;
    server.changedAt = LogIndex(2);
    update.servers = { server };
    return update;
}

}

// Guards against an entry that is cut off and answers 401 for a key that the core may have accepted since.
TEST_CASE("an entry that loses the core answers 503 for unknown keys once its state is too old, and serves known keys")
{
    ManualClock clock;
    Net::EventLoop loop(clock);
    SeededRandom random(4);
    const Wire::FrameCodec codec("test", "key");
    const auto runFor = [&](int milliseconds) {
        loop.after(std::chrono::milliseconds(milliseconds), [&] { loop.stop(); });
        loop.run();
    };
    ScriptedServer backend(loop, 0);
    SilentCore core(loop, codec, makeUpdate(backend));
    GatewaySettings settings;
    settings.listen = { "127.0.0.1", EntryPort };
    settings.self = Coordination::EntryInfo { InstanceId("e0"), settings.listen.text(), DataCentreId("north"), false };
    settings.seeds = { InstanceId(SilentCore::Address.text()) };
    settings.headerNames = testHeaderNames();
    GatewayNode entry(loop, settings, codec, random);
    REQUIRE(entry.start());
    runFor(200);
    REQUIRE(entry.isReady());
    Caller caller(loop, settings.listen);
    const auto statusOf = [&](const std::string &key) {
        caller.send("/a", "Authorization: Bearer " + key + "\r\n");
        runFor(60);
        return caller.status();
    };
    CHECK(statusOf("key2") == "401");
    runFor(2000);
    CHECK(statusOf("key2") == "401");
    runFor(400);
    CHECK(statusOf("key2") == "503");
    CHECK(statusOf("key1") == "200");
}
