#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "base/log.h"
#include "base/random.h"
#include "coordination/feed.h"
#include "net/framestream.h"
#include "wire/envelope.h"

namespace Galenabarrow::Coordination
{

/// An entry's connection to the core instance from which it receives the routing state. The link switches to another
/// instance when no bytes arrive for too long, or when the instance has had no confirmation by a quorum for too long. An
/// instance in the local data centre is preferred: a trial connection to it is opened next to the one in use, and replaces
/// that one only after an update over the trial connection has shown that the instance is up to date.
class CoreLink
{
public:
    using UpdateCallback = std::function<void(const FeedUpdate &)>;
    /// Adds to a report what the entry has learnt from servers: what the core instance does not know yet or, in the first report, all.
    using ReportSource = std::function<void(EntryReport &report, bool isFirstReport)>;

    /// \p seeds are the instances to try first, and later in addition to the members of the core that updates have named.
    /// \p codec, \p loop and \p random must outlive the link.
    CoreLink(Net::EventLoop &loop, const Wire::FrameCodec &codec, RandomSource &random, std::vector<InstanceId> seeds, EntryInfo self);

    void onUpdate(UpdateCallback callback);
    /// \p callback gets the payloads of QuotaFractions messages.
    void onFractions(std::function<void(std::span<const std::uint8_t>)> callback);
    /// Whether messages can be sent to a core instance.
    bool isConnected() const;
    /// Sends \p payload as a message of \p kind, when connected.
    void send(Wire::MessageKind kind, std::vector<std::uint8_t> payload);
    void setReportSource(ReportSource source);
    void start();
    /// Reports to the core instance now rather than at the next interval.
    void reportNow();
    /// Sets whether the entry accepts calls. A change is reported to the core instance at once.
    void setReady(bool isReady);
    /// Replaces the seeds, for a change of the settings at run time.
    void setSeeds(std::vector<InstanceId> seeds);
    /// The time up to which the known state is confirmed to contain every accepted change; absent before the first confirmation.
    std::optional<Instant> confirmedAt() const;

private:
    /// A connection to one core instance.
    struct Connection {
        InstanceId core;
        std::shared_ptr<Net::Stream> stream;
        std::unique_ptr<Net::FrameStream> frames;
        Instant openedAt {};
        /// When bytes were last received, and how many by then. Bytes are counted rather than frames, since the first state
        /// is one frame that may take seconds on a slow link.
        Instant progressAt {};
        std::uint64_t receivedBytes = 0;
        /// Received bytes as stated in the last report.
        std::uint64_t reportedBytes = 0;
        bool hasReported = false;
        /// Whether an update was received on this connection.
        bool hasUpdate = false;
        /// The time up to which the state of this instance was confirmed when it was last up to date; absent if it has never
        /// been up to date on this connection.
        std::optional<Instant> upToDateAt;
    };

    void tick();
    /// Why the feed connection should be replaced, as a value for the log; null when it should not.
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
    bool knowsLocalInstance() const;
    std::vector<InstanceId> candidates() const;

    Net::EventLoop &m_loop;
    const Wire::FrameCodec &m_codec;
    Log m_log;
    std::vector<InstanceId> m_seeds;
    EntryInfo m_self;
    UpdateCallback m_updateCallback;
    std::function<void(std::span<const std::uint8_t>)> m_fractionsCallback;
    ReportSource m_reportSource;
    std::vector<CoreInstance> m_coreInstances;
    Connection m_feed;
    /// A connection to an instance in the local data centre that may replace m_feed.
    Connection m_trial;
    Instant m_reportedAt {};
    /// See confirmedAt(); the maximum over all updates.
    std::optional<Instant> m_confirmedAt;
    LogIndex m_knownIndex;
    std::size_t m_nextCandidate = 0;
    /// Consecutive instances that were disconnected without ever having been up to date.
    std::size_t m_consecutiveUnconfirmed = 0;
    /// No trial connection is opened before this time.
    Instant m_nextTrialAt {};
};

}
