#pragma once

#include <functional>
#include <map>
#include <memory>

#include "net/framestream.h"
#include "wire/envelope.h"

namespace Galenabarrow::Coordination
{

/// Outgoing connections to other core instances, which are identified by their addresses. Messages to an unreachable instance
/// are dropped rather than queued; the protocols on top resend what they need.
///
/// A connection may go silent without a reset. The receiver therefore acknowledges messages within AcknowledgeDelay; a
/// connection without an acknowledgement within SilenceLimit is closed, and the next message opens a new one.
class PeerLinks
{
public:
    /// Time after which a receiver acknowledges received messages.
    static constexpr Duration AcknowledgeDelay = std::chrono::milliseconds(400);
    /// Longest wait for an acknowledgement; well above AcknowledgeDelay plus the sync of a slow disk.
    static constexpr Duration SilenceLimit = std::chrono::milliseconds(1000);
    /// Covers many round trips. A machine that is powering up does not answer this attempt, but may answer the next one.
    static constexpr Duration ConnectTimeout = std::chrono::milliseconds(120);
    /// Time between two attempts to connect.
    static constexpr Duration RetryDelay = std::chrono::milliseconds(100);
    /// A connection with more unsent bytes than this is closed.
    static constexpr std::size_t MaxUnsent = std::size_t { 4 } * 1024 * 1024;

    /// \p self is the sender of all messages. \p codec and \p loop must outlive the links.
    PeerLinks(Net::EventLoop &loop, const Wire::FrameCodec &codec, InstanceId self, Incarnation incarnation);

    void send(const InstanceId &to, Wire::MessageKind kind, std::uint64_t correlation, std::vector<std::uint8_t> payload);
    /// Closes connections that time out, are silent or exceed MaxUnsent. To be called every 20 to 50 ms.
    void tick();
    /// Number of connections that were closed because they were silent.
    std::uint64_t silentCount() const;
    /// Bytes of the frames passed to connections, by kind of message.
    const std::map<Wire::MessageKind, std::uint64_t> &sentBytes() const;

private:
    struct Link {
        std::shared_ptr<Net::Stream> stream;
        std::unique_ptr<Net::FrameStream> frames;
        Instant openedAt {};
        /// When the first message since the last acknowledgement was sent.
        std::optional<Instant> unacknowledgedSince;
    };
    void open(const InstanceId &to, Link &link);

    Net::EventLoop &m_loop;
    const Wire::FrameCodec &m_codec;
    InstanceId m_self;
    Incarnation m_incarnation;
    std::map<InstanceId, Link> m_links;
    std::uint64_t m_silentCount = 0;
    std::map<Wire::MessageKind, std::uint64_t> m_sentBytes;
};

}
