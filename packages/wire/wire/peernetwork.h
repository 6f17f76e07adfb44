#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <Poco/Net/ServerSocket.h>

#include "base/log.h"
#include "wire/envelope.h"
#include "wire/frame.h"

namespace Galenabarrow::Wire
{

/// Bytes of the frames of one message kind.
struct KindBytes {
    std::atomic<std::uint64_t> sent { 0 };
    std::atomic<std::uint64_t> received { 0 };
};

/// Counters of one process's frames.
struct PeerCounters {
    std::atomic<std::uint64_t> framesSent { 0 };
    std::atomic<std::uint64_t> framesReceived { 0 };
    std::atomic<std::uint64_t> bytesSent { 0 };
    std::atomic<std::uint64_t> bytesReceived { 0 };
    std::atomic<std::uint64_t> framesDropped { 0 };
    std::atomic<std::uint64_t> badFrames { 0 };
    /// In the order of MessageKindNames. Other kinds, such as those of another version, count only in the totals.
    std::array<KindBytes, MessageKindNames.size()> kinds;

    /// Null for a kind that is not in MessageKindNames.
    KindBytes *bytesOf(MessageKind kind);
};

/// Sends and accepts one-way frames over TCP. Frames to one address arrive in order or are lost; a full queue drops its
/// oldest frame, so a silent peer never blocks a sender. Replies are frames to the sender's own address.
class PeerNetwork
{
public:
    /// Called on a receiving thread for each verified frame.
    using Handler = std::function<void(Envelope)>;

    /// \p self and \p incarnation identify the sender in every frame sent.
    PeerNetwork(FrameCodec codec, InstanceId self, Incarnation incarnation);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    /// Binds \p address ("host:port", port 0 lets the system choose) and starts to accept. Fails with AddressUnavailable.
    Result<void> listen(const std::string &address, Handler handler);
    /// The address that replies go to, as "host:port": the bound one unless another is advertised.
    const std::string &address() const;
    /// Sets the sender address in all frames, for listeners bound to a wildcard address. Must be called before the first send().
    void advertise(std::string address);

    /// Queues a frame; returns at once.
    void send(const std::string &address, MessageKind kind, std::uint64_t correlation, std::vector<std::uint8_t> payload);

    const PeerCounters &counters() const;
    /// Ends all threads and connections. Called by the destructor too.
    void stop();

private:
    class Acceptor;
    class Connection;
    class Link;

    Link &findOrCreateLink(const std::string &address);

    FrameCodec m_codec;
    InstanceId m_self;
    Incarnation m_incarnation;
    std::string m_address;
    PeerCounters m_counters;
    std::unique_ptr<Acceptor> m_acceptor;
    std::mutex m_linksMutex;
    std::map<std::string, std::unique_ptr<Link>> m_links;
    std::atomic<bool> m_stopping { false };
};

}
