#include "wire/peernetwork.h"

#include <chrono>
#include <condition_variable>
#include <mutex>

#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace Galenabarrow::Wire;

namespace
{

/// Collects received frames and lets a test wait for a number of them.
class Inbox
{
public:
    PeerNetwork::Handler handler()
    {
        return [this](const Envelope &envelope) {
            const std::lock_guard lock(m_mutex);
            m_received.push_back(envelope);
            m_changed.notify_all();
        };
    }

    bool waitFor(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, std::chrono::seconds(30), [this, count] { return m_received.size() >= count; });
    }

    std::vector<Envelope> received()
    {
        const std::lock_guard lock(m_mutex);
        return m_received;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<Envelope> m_received;
};

PeerNetwork makeNetwork(const char *name, std::uint64_t incarnation)
{
    return PeerNetwork(FrameCodec("test", "secret"), InstanceId(name), Incarnation(incarnation));
}

}

// Guards against reordered frames and against a peer that cannot reply because the sender's address is missing.
TEST_CASE("frames to one address arrive in order and can be replied to", "[wire]")
{
    Inbox inboxA;
    Inbox inboxB;
    PeerNetwork a = makeNetwork("a", 1);
    PeerNetwork b = makeNetwork("b", 2);
    REQUIRE(a.listen("127.0.0.1:0", inboxA.handler()));
    REQUIRE(b.listen("127.0.0.1:0", inboxB.handler()));
    constexpr std::size_t Count = 200;
    for (std::size_t n = 0; n < Count; ++n) {
        a.send(b.address(), MessageKind::FeedRequest, n, { static_cast<std::uint8_t>(n) });
    }
    REQUIRE(inboxB.waitFor(Count));
    const std::vector<Envelope> received = inboxB.received();
    for (std::size_t n = 0; n < Count; ++n) {
        REQUIRE(received[n].correlation == n);
    }
    b.send(received.front().senderAddress, MessageKind::FeedReply, 7, {});
    REQUIRE(inboxA.waitFor(1));
    REQUIRE(inboxA.received().front().sender == InstanceId("b"));
}

// Guards against bytes that are counted under another message kind or not at all.
TEST_CASE("bytes are counted by message kind", "[wire]")
{
    Inbox inbox;
    PeerNetwork a = makeNetwork("a", 1);
    PeerNetwork b = makeNetwork("b", 2);
    REQUIRE(b.listen("127.0.0.1:0", inbox.handler()));
    a.send(b.address(), MessageKind::ShareRequest, 0, std::vector<std::uint8_t>(100));
    a.send(b.address(), MessageKind::GossipDigest, 0, {});
    a.send(b.address(), static_cast<MessageKind>(9999), 0, {});
    REQUIRE(inbox.waitFor(3));
    std::uint64_t sum = 0;
    for (std::size_t n = 0; n < MessageKindNames.size(); ++n) {
        const MessageKind kind = MessageKindNames[n].kind;
        const std::uint64_t received = b.counters().kinds[n].received;
        REQUIRE((received > 0) == (kind == MessageKind::ShareRequest || kind == MessageKind::GossipDigest));
        REQUIRE(a.counters().kinds[n].sent == received);
        sum += received;
    }
    REQUIRE(sum > 0);
    REQUIRE(sum < b.counters().bytesReceived); // the unknown kind is in the total only
}

// Guards against a link that does not reconnect after its peer has restarted on the same address.
TEST_CASE("a link recovers after its peer restarted", "[wire]")
{
    Inbox inbox;
    PeerNetwork a = makeNetwork("a", 1);
    auto b = std::make_unique<PeerNetwork>(FrameCodec("test", "secret"), InstanceId("b"), Incarnation(2));
    REQUIRE(b->listen("127.0.0.1:0", inbox.handler()));
    const std::string address = b->address();
    a.send(address, MessageKind::Raft, 0, {});
    REQUIRE(inbox.waitFor(1));
    b = std::make_unique<PeerNetwork>(FrameCodec("test", "secret"), InstanceId("b"), Incarnation(3));
    REQUIRE(b->listen(address, inbox.handler()));
    a.send(address, MessageKind::Raft, 0, {});
    REQUIRE(inbox.waitFor(2));
}

// Guards against replies to a wildcard address, which cannot be delivered.
TEST_CASE("frames name the advertised address", "[wire]")
{
    Inbox inbox;
    PeerNetwork a = makeNetwork("a", 1);
    PeerNetwork b = makeNetwork("b", 2);
    REQUIRE(a.listen("0.0.0.0:0", [](const Envelope &) {}));
    REQUIRE(b.listen("127.0.0.1:0", inbox.handler()));
    a.advertise("127.0.0.1:4711");
    a.send(b.address(), MessageKind::Raft, 0, {});
    REQUIRE(inbox.waitFor(1));
    REQUIRE(inbox.received().front().senderAddress == "127.0.0.1:4711");
}

// Guards against invalid input that stops the acceptor or reaches the handler.
TEST_CASE("an invalid frame ends its connection, is counted, and does not affect other connections", "[wire]")
{
    Inbox inbox;
    PeerNetwork a = makeNetwork("a", 1);
    PeerNetwork b = makeNetwork("b", 2);
    REQUIRE(b.listen("127.0.0.1:0", inbox.handler()));
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(b.address()));
    const std::string garbage(64, 'x');
    socket.sendBytes(garbage.data(), static_cast<int>(garbage.size()));
    char buf = 0;
    int n = 1;
    try {
        n = socket.receiveBytes(&buf, 1);
    } catch (const Poco::Exception &) {
        n = 0; // a reset counts as the end of the stream
    }
    REQUIRE(n == 0);
    REQUIRE(b.counters().badFrames == 1);
    a.send(b.address(), MessageKind::Raft, 0, {});
    REQUIRE(inbox.waitFor(1));
}
