#include "coordination/corelink.h"
#include "coordination/corenode.h"

#include <catch2/catch.hpp>

#include "control/memorylogstore.h"
#include "routing/rules.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Coordination;

namespace
{

constexpr std::uint16_t CorePort = 28620;
constexpr std::uint16_t RelayPort = 28621;
/// A change must be in force at every entry within this time of its acknowledgement.
constexpr Duration ApplyBound = std::chrono::seconds(2);
constexpr std::size_t Routes = 2000;

/// Forwards bytes between an entry and a core instance; those to the entry at the limited bandwidth of a small machine.
class SlowRelay
{
public:
    SlowRelay(Net::EventLoop &loop, std::size_t bytesPerSecond)
        : m_loop(loop)
        , m_slice(bytesPerSecond / SlicesPerSecond)
        , m_listener(loop, [this](std::shared_ptr<Net::Stream> stream) { accept(std::move(stream)); })
    {
        REQUIRE(m_listener.listen({ "127.0.0.1", RelayPort }));
        forward();
    }

    /// Bytes forwarded to the entry.
    std::size_t forwardedBytes = 0;
    /// Bytes from the core instance that have not been forwarded yet.
    std::size_t queuedBytes() const
    {
        return m_queue.size();
    }

private:
    static constexpr std::size_t SlicesPerSecond = 100;

    void accept(std::shared_ptr<Net::Stream> entry)
    {
        m_queue.clear();
        m_entry = std::move(entry);
        m_core = Net::Stream::connect(m_loop, { "127.0.0.1", CorePort });
        m_entry->onData([core = m_core](std::string_view bytes) { core->write(bytes); });
        m_entry->onEnd([](Net::StreamEnd) {});
        m_core->onData([this](std::string_view bytes) { m_queue.append(bytes); });
        m_core->onEnd([](Net::StreamEnd) {});
    }

    void forward()
    {
        const std::size_t n = std::min(m_slice, m_queue.size());
        if (n > 0) {
            m_entry->write(std::string_view(m_queue).substr(0, n));
            m_queue.erase(0, n);
            forwardedBytes += n;
        }
        m_loop.after(std::chrono::milliseconds(1000 / SlicesPerSecond), [this] { forward(); });
    }

    Net::EventLoop &m_loop;
    std::size_t m_slice;
    Net::Listener m_listener;
    std::string m_queue;
    std::shared_ptr<Net::Stream> m_entry;
    std::shared_ptr<Net::Stream> m_core;
};

Routing::Route makeRoute(std::size_t n, int milliseconds = 1000)
{
    Routing::Route route;
    route.name = "route-" + std::to_string(n);
    route.host = "shop.example";
    route.prefix = "/path-" + std::to_string(n) + "/";
    route.timeout = std::chrono::milliseconds(milliseconds);
    route.split = { Routing::SplitPart { ServiceId("desk"), 1 } };
    return route;
}

/// One core instance that sends updates to one entry over a slow link.
struct Fixture {
    explicit Fixture(std::shared_ptr<Control::MemoryDisk> disk = std::make_shared<Control::MemoryDisk>(Incarnation(7)),
                     Duration firstElection = std::chrono::milliseconds(150))
    {
        CoreSettings settings;
        settings.replica.instance = InstanceId("127.0.0.1:" + std::to_string(CorePort));
        settings.replica.seeds = { settings.replica.instance };
        settings.replica.bootstrap = true;
        settings.replica.voters = 1;
        settings.replica.entriesPerSnapshot = 1;
        settings.replica.timing.firstElection = firstElection;
        auto replica = Replica::open(settings.replica, std::make_unique<Control::MemoryLogStore>(std::move(disk)), random, loop.now());
        REQUIRE(replica);
        core = std::make_unique<CoreNode>(loop, settings, std::move(*replica), codec, random);
        REQUIRE(core->start());
        const std::vector<InstanceId> seeds = { InstanceId("127.0.0.1:" + std::to_string(RelayPort)) };
        link = std::make_unique<CoreLink>(loop, codec, random, seeds, EntryInfo { InstanceId("e1"), "127.0.0.1:1", DataCentreId("north") });
        link->onUpdate([this](const FeedUpdate &update) {
            if (update.config) {
                recordInForce(update.config->version.value());
            }
        });
    }

    void runFor(Duration time)
    {
        loop.after(time, [this] { loop.stop(); });
        loop.run();
    }

    void submit(Routing::ConfigChange change)
    {
        const std::uint64_t version = change.version.value();
        core->submit(std::move(change), [this, version](const Result<void> &result) {
            REQUIRE(result);
            accepted[version] = clock.now();
        });
    }

    void submitFullConfig()
    {
        Routing::ConfigChange change;
        change.version = Version(1);
        change.config.services = { Routing::Service { ServiceId("desk"), "/health", 100, "" } };
        for (std::size_t n = 0; n < Routes; ++n) {
            change.config.routes.push_back(makeRoute(n));
        }
        submit(std::move(change));
    }

    /// Replaces \p routes routes of the preceding version.
    void submitPatch(std::uint64_t version, std::size_t routes)
    {
        Routing::ConfigChange change;
        change.version = Version(version);
        change.base = Version(version - 1);
        change.digest = Routing::ChangeDigest { version, 0 };
        change.isPatch = true;
        for (std::size_t n = 0; n < routes; ++n) {
            change.config.routes.push_back(makeRoute(n, static_cast<int>(1000 + version)));
        }
        submit(std::move(change));
    }

    /// Starts the link and runs until the entry knows the complete configuration, version 1.
    void startWithFullConfig()
    {
        runFor(std::chrono::seconds(2));
        submitFullConfig();
        link->start();
        runFor(std::chrono::seconds(8));
        REQUIRE(inForce == 1);
        longestDelay = {};
    }

    void recordInForce(std::uint64_t version)
    {
        inForce = version;
        for (auto it = accepted.begin(); it != accepted.end() && it->first <= version; it = accepted.erase(it)) {
            longestDelay = std::max(longestDelay, clock.now() - it->second);
        }
    }

    ManualClock clock;
    Net::EventLoop loop { clock };
    SeededRandom random { 11 };
    Wire::FrameCodec codec { "test", "key" };
    std::unique_ptr<CoreNode> core;
    SlowRelay relay { loop, 250'000 }; // 2 Mbit/s
    std::unique_ptr<CoreLink> link;
    /// When each version that is not in force at the entry yet was acknowledged.
    std::map<std::uint64_t, Instant> accepted;
    std::uint64_t inForce = 0;
    Duration longestDelay {};
};

}

// Guards against changes that take effect late because each of them sends the complete configuration.
TEST_CASE("over a slow link, small changes to a large configuration are in force in time and transfer only the changed items")
{
    Fixture fixture;
    fixture.startWithFullConfig();

    constexpr std::uint64_t Changes = 30;
    constexpr std::size_t BytesPerChange = 2000;
    constexpr std::size_t BytesPerSecondIdle = 1500;
    const std::size_t before = fixture.relay.forwardedBytes;
    for (std::uint64_t version = 2; version < 2 + Changes; ++version) {
        fixture.submitPatch(version, 1);
        fixture.runFor(std::chrono::milliseconds(100));
    }
    fixture.runFor(std::chrono::seconds(1));
    CHECK(fixture.inForce == 1 + Changes);
    CHECK(fixture.longestDelay < ApplyBound / 10);
    CHECK(fixture.relay.forwardedBytes - before < Changes * BytesPerChange + 4 * BytesPerSecondIdle);
}

// Guards against updates that queue up at a slow link, so that each of them is outdated when it arrives.
TEST_CASE("large changes in quick succession do not queue up at a slow link")
{
    Fixture fixture;
    fixture.startWithFullConfig();

    constexpr std::uint64_t Changes = 40;
    constexpr std::size_t RoutesPerChange = 500;
    std::size_t maxQueued = 0;
    for (std::uint64_t version = 2; version < 2 + Changes; ++version) {
        fixture.submitPatch(version, RoutesPerChange);
        fixture.runFor(std::chrono::milliseconds(100));
        maxQueued = std::max(maxQueued, fixture.relay.queuedBytes());
    }
    fixture.runFor(ApplyBound);
    CHECK(fixture.inForce == 1 + Changes);
    CHECK(fixture.longestDelay < ApplyBound);
    CHECK(maxQueued < 2 * RoutesPerChange * 250); // two changes of 500 routes, 250 bytes each
    CHECK(fixture.core->status().feedsDeferred > 0);
    CHECK(fixture.core->status().feedBytes >= fixture.relay.forwardedBytes);
}

// Guards against a process that exits because a configuration does not fit into a frame. An earlier limit of 1 MiB was reached
// with about 6,000 routes.
TEST_CASE("the largest accepted configuration fits into a frame, and a larger one is rejected")
{
    FeedUpdate update;
    update.config.emplace();
    Routing::RoutingConfig &config = update.config->config;
    config.services = { Routing::Service { ServiceId("desk"), "/health", 100, "" } };
    while (Routing::encodedBound(config) < Routing::MaxConfigBytes - 10'000) {
        for (std::size_t n = 0; n < 20; ++n) {
            config.routes.push_back(makeRoute(config.routes.size()));
        }
    }
    REQUIRE(Routing::validate(config));
    CHECK(encode(update).size() < Routing::encodedBound(config));
    constexpr std::size_t Servers = 6000; // target size in two years
    for (std::size_t n = 0; n < Servers; ++n) {
        Routing::BackendServer server;
        server.id = ServerId("i-0123456789" + std::to_string(n));
        server.address = "10.100.100.100:65535";
        server.service = ServiceId("service-with-a-long-name");
        server.dataCentre = DataCentreId("data-centre-with-a-name");
        update.servers.push_back(server);
    }
    CHECK(encode(update).size() < Wire::MaxFrameBody);

    Fixture fixture;
    fixture.runFor(std::chrono::seconds(2));
    Routing::ConfigChange change = *update.config;
    change.version = Version(1);
    while (Routing::encodedBound(change.config) <= Routing::MaxConfigBytes) {
        change.config.routes.push_back(makeRoute(change.config.routes.size()));
    }
    std::optional<ResultCode> code;
    fixture.core->submit(change, [&](const Result<void> &result) { code = result ? ResultCode::Ok : result.error().code; });
    fixture.runFor(std::chrono::seconds(1));
    CHECK(code == ResultCode::ConfigInvalid);
    change.config.routes.resize(change.config.routes.size() - 100);
    fixture.core->submit(std::move(change), [&](const Result<void> &result) { code = result ? ResultCode::Ok : result.error().code; });
    fixture.runFor(std::chrono::seconds(1));
    CHECK(code == ResultCode::Ok);
}

// Guards against entries that start with an old configuration from an instance that has just started or is cut off.
TEST_CASE("a starting entry gets no state that a quorum has not confirmed")
{
    const auto disk = std::make_shared<Control::MemoryDisk>(Incarnation(7));
    {
        Fixture before(disk);
        before.runFor(std::chrono::seconds(2));
        before.submitFullConfig();
        before.runFor(std::chrono::seconds(1));
        REQUIRE(before.accepted.contains(1));
    }

    constexpr Duration Unconfirmed = std::chrono::seconds(3);
    Fixture fixture(disk, Unconfirmed); // the store contains the configuration, but no leader is elected for this time
    REQUIRE(fixture.core->replica().state().config().version == Version(1));
    fixture.link->start();
    fixture.runFor(Unconfirmed / 2);
    REQUIRE_FALSE(fixture.core->replica().confirmedAt(fixture.clock.now()));
    CHECK(fixture.inForce == 0);
    fixture.runFor(Unconfirmed);
    CHECK(fixture.inForce == 1);
}

// Pattern: all entries start at once and get the whole state from whichever core instance they reach first.
TEST_CASE("an entry without state is referred to a live core instance of its own data centre for a bounded time")
{
    const bool isLocalInstanceAlive = GENERATE(false, true);
    Fixture fixture;
    fixture.runFor(std::chrono::seconds(2));
    Routing::ConfigChange change;
    change.version = Version(1);
    change.config.services = { Routing::Service { ServiceId("desk"), "/health", 100, "" } };
    fixture.submit(change);
    Net::FrameStream local(Net::Stream::connect(fixture.loop, { "127.0.0.1", CorePort }), fixture.codec);
    if (isLocalInstanceAlive) {
        CoreReport report;
        report.core = CoreInstance { InstanceId("127.0.0.1:9"), DataCentreId("north") };
        Wire::Envelope envelope;
        envelope.sender = report.core.name;
        envelope.senderAddress = report.core.name.value();
        envelope.kind = Wire::MessageKind::CoreReport;
        envelope.payload = encode(report);
        local.send(Wire::encode(envelope));
    }
    fixture.runFor(std::chrono::milliseconds(100));
    fixture.link->start();
    fixture.runFor(CoreDirectory::ReferralTime / 2);
    CHECK(fixture.inForce == (isLocalInstanceAlive ? 0 : 1));
    CHECK(fixture.link->confirmedAt());
    fixture.runFor(CoreDirectory::ReferralTime + std::chrono::milliseconds(500));
    CHECK(fixture.inForce == 1);
}

// Guards against core instances that end because a frame to an entry or to another instance exceeds the largest size of a frame.
TEST_CASE("commands that are too large for a frame are refused and leave the state as it was")
{
    Fixture fixture;
    fixture.startWithFullConfig();
    std::vector<ResultCode> codes;
    const auto done = [&codes](const Result<void> &result) { codes.push_back(result ? ResultCode::Ok : result.error().code); };

    Routing::ConfigChange change;
    change.version = Version(2);
    change.base = Version(1);
    change.isPatch = true;
    change.removedRoutes.assign(10, std::string(std::size_t { 1 } << 20U, 'r'));
    fixture.core->submit(change, done);
    Routing::BackendServer server;
    server.id = ServerId("i-1");
    server.address = "127.0.0.1:80";
    server.software = std::string(std::size_t { 10 } << 20U, 'v');
    fixture.core->announce(server, done);
    fixture.core->withdraw(
        server, [] { return true; }, done);
    fixture.runFor(std::chrono::seconds(1));
    CHECK(codes == std::vector<ResultCode>(3, ResultCode::ConfigInvalid));
    CHECK(fixture.core->replica().state().servers().empty());

    fixture.submitPatch(2, 1);
    fixture.runFor(std::chrono::seconds(1));
    CHECK(fixture.inForce == 2);
}
