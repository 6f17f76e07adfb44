#pragma once

#include <functional>
#include <map>
#include <memory>

#include "net/framestream.h"
#include "wire/envelope.h"

namespace Galenabarrow::Coordination
{

/// Outgoing connections to other instances of the core, named by their addresses. Messages are dropped rather than kept
/// while an instance cannot be reached; the protocols above repeat what matters.
///
/// A connection may go silent without a reset. The receiver acknowledges within AcknowledgeDelay that something came; a
/// connection without an acknowledgement in time is replaced.
class PeerLinks
{
public:
    /// Time after which a receiver tells that something came.
    static constexpr Duration AcknowledgeDelay = std::chrono::milliseconds(400);
    /// A connection without the acknowledgement for this time is dead; several times the delay and a slow disk's sync.
    static constexpr Duration SilenceLimit = std::chrono::milliseconds(1000);
    /// Many round trips; a machine that has no power yet does not answer, and may do so with the next attempt.
    static constexpr Duration ConnectTimeout = std::chrono::milliseconds(120);
    /// Time between two attempts to connect.
    static constexpr Duration RetryDelay = std::chrono::milliseconds(100);
    /// A connection with more bytes that its peer does not take is closed.
    static constexpr std::size_t MaxUnsent = std::size_t { 4 } * 1024 * 1024;

    /// \p self is the sender of all messages; codec and loop must outlive the links.
    PeerLinks(Net::EventLoop &loop, const Wire::FrameCodec &codec, InstanceId self, Incarnation incarnation);

    void send(const InstanceId &to, Wire::MessageKind kind, std::uint64_t correlation, std::vector<std::uint8_t> payload);
    /// Closes connections that are dead. Call it every 20 to 50 ms.
    void tick();
    /// Connections that were replaced because they were silent.
    std::uint64_t silentCount() const;

private:
    struct Link {
        std::shared_ptr<Net::Stream> stream;
        std::unique_ptr<Net::FrameStream> frames;
        Instant openedAt {};
        /// The first message that was sent since the last acknowledgement.
        std::optional<Instant> unacknowledgedSince;
    };
    void open(const InstanceId &to, Link &link);

    Net::EventLoop &m_loop;
    const Wire::FrameCodec &m_codec;
    InstanceId m_self;
    Incarnation m_incarnation;
    std::map<InstanceId, Link> m_links;
    std::uint64_t m_silentCount = 0;
};

}
