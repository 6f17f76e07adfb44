#include "coordination/peerlinks.h"

namespace Galenabarrow::Coordination
{

PeerLinks::PeerLinks(Net::EventLoop &loop, const Wire::FrameCodec &codec, InstanceId self, Incarnation incarnation)
    : m_loop(loop)
    , m_codec(codec)
    , m_self(std::move(self))
    , m_incarnation(incarnation)
{
}

void PeerLinks::send(const InstanceId &to, Wire::MessageKind kind, std::uint64_t correlation, std::vector<std::uint8_t> payload)
{
    Link &link = m_links[to];
    const bool isOpen = link.frames != nullptr && link.frames->isOpen();
    if (!isOpen) {
        if (link.frames != nullptr && m_loop.now() - link.openedAt < RetryDelay) {
            return;
        }
        open(to, link);
    }
    if (link.frames == nullptr) {
        return;
    }
    Wire::Envelope envelope;
    envelope.sender = m_self;
    envelope.senderAddress = m_self.value();
    envelope.incarnation = m_incarnation;
    envelope.correlation = correlation;
    envelope.kind = kind;
    envelope.payload = std::move(payload);
    const std::vector<std::uint8_t> frame = Wire::encode(envelope);
    m_sentBytes[kind] += Wire::FrameHeaderSize + frame.size();
    link.frames->send(frame);
    if (!link.unacknowledgedSince) {
        link.unacknowledgedSince = m_loop.now();
    }
}

void PeerLinks::open(const InstanceId &to, Link &link)
{
    link = Link {};
    link.openedAt = m_loop.now();
    const std::optional<Net::SocketAddress> address = Net::parseSocketAddress(to.value());
    link.stream = address ? Net::Stream::connect(m_loop, *address) : nullptr;
    if (link.stream == nullptr) {
        return;
    }
    link.frames = std::make_unique<Net::FrameStream>(link.stream, m_codec);
    // The only frames received on an outgoing connection are acknowledgements.
    link.frames->onFrame([this, to](const std::vector<std::uint8_t> &) { m_links[to].unacknowledgedSince.reset(); });
}

void PeerLinks::tick()
{
    const Instant now = m_loop.now();
    for (auto &[to, link] : m_links) {
        if (link.frames == nullptr || !link.frames->isOpen()) {
            continue;
        }
        const bool hasConnectTimedOut = !link.stream->isConnected() && now - link.openedAt > ConnectTimeout;
        const bool isSilent = link.unacknowledgedSince && now - *link.unacknowledgedSince > SilenceLimit;
        if (hasConnectTimedOut || isSilent || link.frames->unsent() > MaxUnsent) {
            m_silentCount += isSilent ? 1 : 0;
            link.frames->close();
        }
    }
}

const std::map<Wire::MessageKind, std::uint64_t> &PeerLinks::sentBytes() const
{
    return m_sentBytes;
}

std::uint64_t PeerLinks::silentCount() const
{
    return m_silentCount;
}

}
