#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "base/log.h"
#include "base/random.h"
#include "coordination/feed.h"
#include "net/framestream.h"
#include "wire/envelope.h"

namespace Galenabarrow::Coordination
{

/// An entry's connection to the core instance that feeds it. It changes to another one when the feed is silent, or when
/// that instance is not sure to know the newest state; an instance in the own data centre is preferred.
class CoreLink
{
public:
    using UpdateCallback = std::function<void(const FeedUpdate &)>;

    /// \p seeds are the instances that are tried first. Codec and loop must outlive the link.
    CoreLink(Net::EventLoop &loop, const Wire::FrameCodec &codec, RandomSource &random, std::vector<InstanceId> seeds, EntryInfo self);

    void onUpdate(UpdateCallback callback);
    void start();
    /// Sends a report at once when the readiness changes.
    void setReady(bool isReady);
    /// Replaces the seeds after a change of the settings.
    void setSeeds(std::vector<InstanceId> seeds);
    /// When the newest state was last known to be complete; absent before the first time.
    std::optional<Instant> confirmedAt() const;

private:
    void tick();
    /// Why this connection should be given up; null when it should not.
    const char *reasonToLeave(Instant now) const;
    void connectNext(const char *reason);
    void connect(const InstanceId &core);
    void report();
    void receive(const std::vector<std::uint8_t> &frame);
    void preferOwnDataCentre();
    bool isInOwnDataCentre(const InstanceId &core) const;
    std::vector<InstanceId> candidates() const;

    Net::EventLoop &m_loop;
    const Wire::FrameCodec &m_codec;
    Log m_log;
    std::vector<InstanceId> m_seeds;
    EntryInfo m_self;
    UpdateCallback m_update;
    std::vector<CoreInstance> m_core;
    InstanceId m_current;
    std::shared_ptr<Net::Stream> m_stream;
    std::unique_ptr<Net::FrameStream> m_frames;
    Instant m_connectedAt {};
    /// When bytes came last on this connection, and how many there were by then. The first state may take a while on a slow
    /// link, as one frame.
    Instant m_progressAt {};
    std::uint64_t m_receivedBytes = 0;
    /// An update came on this connection.
    bool m_hasUpdate = false;
    Instant m_reportedAt {};
    /// The last update that the core instance was sure of.
    std::optional<Instant> m_confirmedAt;
    LogIndex m_known;
    std::size_t m_nextCandidate = 0;
    /// The own data centre's instance failed lately; it is not preferred before that time.
    Instant m_preferAt {};
};

}
