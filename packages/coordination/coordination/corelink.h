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
/// that instance is not sure to know the newest state. An instance in the own data centre is preferred: it is tried beside
/// the connection that feeds, and replaces it only once it has said that it is sure.
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
    /// A connection to one core instance.
    struct Connection {
        InstanceId core;
        std::shared_ptr<Net::Stream> stream;
        std::unique_ptr<Net::FrameStream> frames;
        Instant openedAt {};
        /// When bytes came last, and how many there were by then. The first state may take a while on a slow link, as one
        /// frame.
        Instant progressAt {};
        std::uint64_t receivedBytes = 0;
        /// Bytes that the last report named as received.
        std::uint64_t reportedBytes = 0;
        /// An update came on this connection.
        bool hasUpdate = false;
        /// The last time at which this instance was sure; absent while it never was on this connection.
        std::optional<Instant> upToDateAt;
    };

    void tick();
    /// Why the connection that feeds should be given up; null when it should not.
    const char *reasonToReconnect(Instant now) const;
    Duration unconfirmedLimit() const;
    void updateProgress(Connection &connection) const;
    void connectNext(const char *reason);
    void open(Connection &connection, const InstanceId &core);
    void close(Connection &connection);
    void report(Connection &connection);
    void receive(Connection &connection, const std::vector<std::uint8_t> &frame);
    void tryLocalDataCentre(Instant now);
    void finishTrial(Instant now);
    bool isInLocalDataCentre(const InstanceId &core) const;
    std::vector<InstanceId> candidates() const;

    Net::EventLoop &m_loop;
    const Wire::FrameCodec &m_codec;
    Log m_log;
    std::vector<InstanceId> m_seeds;
    EntryInfo m_self;
    UpdateCallback m_updateCallback;
    std::vector<CoreInstance> m_coreInstances;
    Connection m_feed;
    /// A connection to an instance of the own data centre that may replace the feed.
    Connection m_trial;
    Instant m_reportedAt {};
    /// The newest time at which some core instance was sure of what is known here.
    std::optional<Instant> m_confirmedAt;
    LogIndex m_knownIndex;
    std::size_t m_nextCandidate = 0;
    /// Instances in a row that were left because they were not sure.
    std::size_t m_consecutiveUnconfirmed = 0;
    /// No instance of the own data centre is tried before that time.
    Instant m_nextTrialAt {};
};

}
