#include "coordination/corelink.h"

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace Galenabarrow::Coordination;

namespace
{

constexpr std::uint16_t FirstPort = 28600;

/// A core instance that counts its connections and sends the update that the test has set.
class ScriptedCore
{
public:
    ScriptedCore(Net::EventLoop &loop, const Wire::FrameCodec &codec, std::uint16_t port)
        : name("127.0.0.1:" + std::to_string(port))
        , m_loop(loop)
        , m_codec(codec)
        , m_listener(loop, [this](std::shared_ptr<Net::Stream> stream) { accept(std::move(stream)); })
    {
        REQUIRE(m_listener.listen({ "127.0.0.1", port }));
    }

    std::size_t openConnections() const
    {
        return static_cast<std::size_t>(std::count_if(m_streams.begin(), m_streams.end(), [](const auto &it) { return it->isOpen(); }));
    }

    InstanceId name;
    std::size_t connections = 0;
    /// The encoded frame that is sent on each new connection; nothing is sent when it is empty.
    std::string update;
    /// Interval at which \c update is repeated on each connection; 0 sends it once.
    Duration period {};
    /// Bytes that are sent in each SliceInterval; simulates the bandwidth of the link.
    std::size_t slice = 1 << 20U;
    static constexpr Duration SliceInterval = std::chrono::milliseconds(30);

private:
    void accept(std::shared_ptr<Net::Stream> stream)
    {
        ++connections;
        m_streams.push_back(stream);
        stream->onData([](std::string_view) {});
        stream->onEnd([](Net::StreamEnd) {});
        sendSlice(stream, 0);
        scheduleResend(stream);
    }

    void scheduleResend(const std::shared_ptr<Net::Stream> &stream)
    {
        if (period == Duration {} || !stream->isOpen()) {
            return;
        }
        m_loop.after(period, [this, weak = std::weak_ptr(stream)] {
            if (const auto strong = weak.lock()) {
                sendSlice(strong, 0);
                scheduleResend(strong);
            }
        });
    }

    void sendSlice(const std::shared_ptr<Net::Stream> &stream, std::size_t sent)
    {
        if (sent >= update.size() || !stream->isOpen()) {
            return;
        }
        stream->write(std::string_view(update).substr(sent, slice));
        m_loop.after(SliceInterval, [this, weak = std::weak_ptr(stream), sent] {
            if (const auto strong = weak.lock()) {
                sendSlice(strong, sent + slice);
            }
        });
    }

    Net::EventLoop &m_loop;
    const Wire::FrameCodec &m_codec;
    Net::Listener m_listener;
    std::vector<std::shared_ptr<Net::Stream>> m_streams;
};

/// An entry's link to scripted core instances: two seeds, and two that only the updates name.
struct Fixture {
    Fixture()
    {
        for (auto *it : { &first, &second }) {
            seeds.push_back(it->name);
        }
        link = std::make_unique<CoreLink>(loop, codec, random, seeds, EntryInfo { InstanceId("e1"), "127.0.0.1:1", DataCentreId("north") });
        link->onUpdate([this](const FeedUpdate &update) {
            ++updates;
            if (update.confirmedAge) {
                longestUnconfirmed = std::max(longestUnconfirmed, clock.now() - lastConfirmedAt);
                lastConfirmedAt = clock.now();
            }
        });
    }

    std::string encodeUpdate(bool isUpToDate, std::size_t servers) const
    {
        FeedUpdate update;
        update.index = LogIndex(isUpToDate ? 5 : 0);
        update.core = core;
        if (isUpToDate) {
            update.confirmedAge = Duration {};
        }
        for (std::size_t n = 0; n < servers; ++n) {
            Routing::BackendServer server;
            server.id = ServerId("s" + std::to_string(n));
            update.servers.push_back(server);
        }
        Wire::Envelope envelope;
        envelope.sender = InstanceId("core");
        envelope.senderAddress = "core";
        envelope.kind = Wire::MessageKind::FeedUpdate;
        envelope.payload = encode(update);
        const std::vector<std::uint8_t> frame = codec.seal(Wire::encode(envelope));
        return std::string(frame.begin(), frame.end());
    }

    void runFor(int milliseconds)
    {
        loop.after(std::chrono::milliseconds(milliseconds), [this] { loop.stop(); });
        loop.run();
    }

    ManualClock clock;
    Net::EventLoop loop { clock };
    SeededRandom random { 4 };
    Wire::FrameCodec codec { "test", "key" };
    ScriptedCore first { loop, codec, FirstPort };
    ScriptedCore second { loop, codec, FirstPort + 1 };
    ScriptedCore third { loop, codec, FirstPort + 2 };
    ScriptedCore fourth { loop, codec, FirstPort + 3 };
    std::vector<InstanceId> seeds;
    std::vector<CoreInstance> core;
    std::unique_ptr<CoreLink> link;
    std::size_t updates = 0;
    Instant lastConfirmedAt {};
    /// Longest time between two updates that carry a confirmation by a quorum.
    Duration longestUnconfirmed {};
};

/// Interval of a core instance's updates.
constexpr Duration FeedInterval = std::chrono::milliseconds(400);
/// Entries that can reach a majority apply a change within this time of its acknowledgement.
constexpr Duration ApplyBound = std::chrono::seconds(2);

}

// Guards against entries that switch endlessly between core instances: on a link of 2 Mbit/s, the transfer of the first state of
// 440 servers takes longer than the limit for an instance that is not up to date, and each switch sends the state across data
// centres again.
TEST_CASE("an entry waits for a first state that arrives slowly")
{
    Fixture fixture;
    for (auto *it : { &fixture.first, &fixture.second }) {
        it->update = fixture.encodeUpdate(true, 440);
        it->slice = it->update.size() / 50; // 1.5 s for the whole
    }
    fixture.link->start();
    fixture.runFor(2000);
    CHECK(fixture.first.connections + fixture.second.connections == 1);
    CHECK(fixture.updates == 1);
}

TEST_CASE("an entry without state soon disconnects from an instance that is not up to date, or silent")
{
    const bool isSilent = GENERATE(false, true);
    Fixture fixture;
    for (auto *it : { &fixture.first, &fixture.second }) {
        it->update = isSilent ? std::string() : fixture.encodeUpdate(false, 0);
    }
    fixture.link->start();
    // 120 ms for an instance that is not up to date, 300 ms for a silent one, and the next tick.
    fixture.runFor(isSilent ? 400 : 200);
    CHECK(fixture.first.connections == 1);
    CHECK(fixture.second.connections == 1);
}

// Pattern: hundreds of entries start at once, and each receives every registration of a server across data centres for seconds.
TEST_CASE("an entry switches to an instance of its own data centre as soon as it knows of one")
{
    Fixture fixture;
    fixture.core = { CoreInstance { fixture.first.name, DataCentreId("south") },
                     CoreInstance { fixture.second.name, DataCentreId("south") },
                     CoreInstance { fixture.third.name, DataCentreId("north") } };
    for (auto *it : { &fixture.first, &fixture.second, &fixture.third }) {
        it->update = fixture.encodeUpdate(true, 0);
        it->period = FeedInterval;
    }
    fixture.link->start();
    fixture.runFor(300);
    CHECK(fixture.third.connections == 1);
    CHECK(fixture.first.openConnections() + fixture.second.openConnections() == 0);
}

// Guards against entries that miss changes because the instance of their local data centre is in the minority of a partition.
TEST_CASE("an entry does not switch back to an instance of its local data centre that is cut off from the majority")
{
    Fixture fixture;
    fixture.core = { CoreInstance { fixture.first.name, DataCentreId("north") },
                     CoreInstance { fixture.second.name, DataCentreId("south") } };
    fixture.first.update = fixture.encodeUpdate(false, 0);
    fixture.second.update = fixture.encodeUpdate(true, 0);
    for (auto *it : { &fixture.first, &fixture.second }) {
        it->period = FeedInterval;
    }
    fixture.link->start();
    fixture.runFor(1000);
    fixture.longestUnconfirmed = {};
    fixture.runFor(15000);
    CHECK(fixture.longestUnconfirmed <= 2 * FeedInterval);

    // The partition ends: the instance of the local data centre is up to date again, and the other one no longer is.
    fixture.first.update = fixture.encodeUpdate(true, 0);
    fixture.second.update = fixture.encodeUpdate(false, 0);
    fixture.lastConfirmedAt = fixture.clock.now();
    fixture.longestUnconfirmed = {};
    fixture.runFor(10000);
    CHECK(fixture.longestUnconfirmed < ApplyBound);
}

// Guards against waiting as long for each further instance of a minority as for the one that has been up to date.
TEST_CASE("an entry skips several instances that are cut off within the time limit for changes")
{
    Fixture fixture;
    for (auto *it : { &fixture.first, &fixture.second, &fixture.third, &fixture.fourth }) {
        fixture.core.push_back(CoreInstance { it->name, DataCentreId("south") });
        it->period = FeedInterval;
    }
    for (auto *it : { &fixture.first, &fixture.second, &fixture.third, &fixture.fourth }) {
        it->update = fixture.encodeUpdate(true, 0);
    }
    fixture.link->start();
    fixture.runFor(2000);
    // From now on, the instance in use and all others but one are cut off.
    std::vector<ScriptedCore *> others;
    for (auto *it : { &fixture.first, &fixture.second, &fixture.third, &fixture.fourth }) {
        it->update = fixture.encodeUpdate(false, 0);
        if (it->connections == 0) {
            others.push_back(it);
        }
    }
    REQUIRE(others.size() == 3);
    ScriptedCore &healthy = *others[GENERATE(0U, 1U, 2U)];
    healthy.update = fixture.encodeUpdate(true, 0);
    fixture.longestUnconfirmed = {};
    fixture.runFor(8000);
    // 1.6 s without a confirmation from the instance in use, and 120 ms for each of the others.
    CHECK(fixture.longestUnconfirmed < ApplyBound + FeedInterval);
    CHECK(healthy.connections == 1);
}

// Guards against endless restarts of a large update, whose transfer takes longer than the limit for a missing confirmation.
TEST_CASE("an entry does not disconnect from its instance while a large update arrives")
{
    Fixture fixture;
    for (auto *it : { &fixture.first, &fixture.second }) {
        it->update = fixture.encodeUpdate(true, 0);
        it->period = FeedInterval;
    }
    fixture.link->start();
    fixture.runFor(1000);
    const std::size_t before = fixture.updates;
    REQUIRE(fixture.first.connections + fixture.second.connections == 1);
    for (auto *it : { &fixture.first, &fixture.second }) {
        it->update = fixture.encodeUpdate(true, 2000);
        it->slice = it->update.size() / 100; // 3 s for the whole
        it->period = std::chrono::seconds(20);
    }
    fixture.runFor(4500);
    CHECK(fixture.updates > before);
    CHECK(fixture.first.connections + fixture.second.connections == 1);
}

// Guards against an entry that forgets the core: an instance that is cut off, or that has received only a part of the log, lists
// instances that are gone. Only a list that a quorum has confirmed recently may replace the one that the entry knows.
TEST_CASE("an entry keeps the core instances that it knows when an instance that is not up to date lists others")
{
    Fixture fixture;
    fixture.core = { { fixture.third.name, DataCentreId("south") }, { fixture.fourth.name, DataCentreId("south") } };
    fixture.third.update = fixture.encodeUpdate(true, 1);
    fixture.fourth.update = fixture.third.update;
    fixture.first.update = fixture.third.update;
    fixture.second.update = fixture.third.update;
    fixture.link->start();
    fixture.runFor(300);
    REQUIRE(fixture.updates > 0);
    // From now on, the two seeds list an instance that is gone, and the entry is connected to one of them.
    fixture.core = { { InstanceId("127.0.0.1:" + std::to_string(FirstPort + 9)), DataCentreId("south") } };
    fixture.first.update = fixture.encodeUpdate(false, 0);
    fixture.second.update = fixture.first.update;
    fixture.third.update.clear();
    fixture.fourth.update.clear();
    fixture.runFor(9000);
    const std::size_t before = fixture.third.connections + fixture.fourth.connections;
    fixture.runFor(6000);
    CHECK(fixture.third.connections + fixture.fourth.connections > before);
}
