#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>

#include "base/log.h"
#include "coordination/coldservers.h"
#include "coordination/coredirectory.h"
#include "coordination/corereporter.h"
#include "coordination/corestatus.h"
#include "coordination/entrydirectory.h"
#include "coordination/feed.h"
#include "coordination/feedwindow.h"
#include "coordination/membershiplog.h"
#include "coordination/peerlinks.h"
#include "coordination/quotaexchange.h"
#include "coordination/replica.h"
#include "coordination/serverfacts.h"

namespace Galenabarrow::Coordination
{

/// Settings of an instance of the core.
struct CoreSettings {
    ReplicaSettings replica;
    DataCentreId dataCentre;
    /// Time between two announcements of a backend server.
    Duration announcementInterval = std::chrono::milliseconds(1500);
};

/// An instance of the core: a replica of the routing state with its connections to the other replicas and to the entries
/// that receive updates from it. Runs on the thread of its event loop.
class CoreNode
{
public:
    using ResultCallback = std::function<void(const Result<void> &)>;
    /// Called with the newest accepted configuration, or with null when no quorum confirmed it in time.
    using ConfigCallback = std::function<void(const Routing::RoutingConfig *)>;
    /// Whether the sender of an order still waits for its result.
    using PresenceCheck = std::function<bool()>;

    CoreNode(Net::EventLoop &loop, CoreSettings settings, std::unique_ptr<Replica> replica, const Wire::FrameCodec &codec,
             RandomSource &random);
    ~CoreNode();
    CoreNode(const CoreNode &) = delete;
    CoreNode &operator=(const CoreNode &) = delete;

    /// Listens for frames. Fails with AddressUnavailable.
    Result<void> start();
    /// Replaces the seeds, for a change of the settings at run time.
    void setSeeds(const std::vector<InstanceId> &seeds);
    /// Leaves the core if another instance can take the place of this one, for a planned stop.
    void startLeaving();
    /// Whether the core has as many votes without this instance, or nothing can take its place. Meaningful after startLeaving().
    bool hasLeft() const;
    /// \p callback is called when the store has failed for good; the process should then exit.
    void onStoreFailure(std::function<void(const Error &)> callback);

    /// Proposes a change of the configuration to the replicas. The result is Ok, VersionConflict or ConfigInvalid, or
    /// ChangeOutcomeUnknown or NoQuorum when it is not known whether the change is accepted.
    void submit(Routing::ConfigChange change, ResultCallback done);
    /// Processes the announcement of a backend server. An announcement that changes the state is proposed to the replicas.
    /// The result is Ok once the announced state is committed.
    void announce(const Routing::BackendServer &update, ResultCallback done);
    /// Proposes the removal of a backend server to the replicas. A sender without a result sends its order to another instance, and may
    /// send another one after that. So an order is dropped, without a call of \p done, when its sender has left, and fails with NoQuorum
    /// or VersionConflict when it may be older than one that was accepted meanwhile.
    void withdraw(const Routing::BackendServer &withdrawal, PresenceCheck isSenderPresent, ResultCallback done);
    /// Proposes to evacuate a data centre, or to end its evacuation, to the replicas. The result is Ok once the order is committed, also
    /// when it changes nothing. Late orders are handled as by withdraw().
    void evacuate(const DataCentreId &dataCentre, bool isActive, PresenceCheck isSenderPresent, ResultCallback done);
    /// Whether a server or an evacuation names the data centre; absent when none that this instance knows does, and it may lag behind.
    std::optional<bool> isKnownDataCentre(const DataCentreId &dataCentre) const;
    /// Reads the newest accepted configuration, confirmed by a quorum after this call.
    void readConfig(ConfigCallback done);
    /// Addresses of at most \p limit ready entries for a caller, see EntryDirectory::choose().
    std::vector<std::string> resolve(std::size_t limit, std::string_view caller) const;
    const Replica &replica() const;
    CoreStatus status() const;

private:
    struct Peer;
    /// What an update to an entry depends on, other than shares of its own.
    struct FeedKey {
        /// The last change that the entry knows.
        LogIndex known;
        bool hasState = false;
        /// The facts about crashes that the entry has.
        std::uint64_t crashes = 0;

        auto operator<=>(const FeedKey &) const = default; // NOLINT(modernize-use-nullptr): as in base/id.h
    };
    /// Encoded updates. Most entries know the same and share a frame.
    using FeedFrames = std::map<FeedKey, std::vector<std::uint8_t>>;
    struct ForwardedProposal {
        ResultCallback done;
        Instant deadline {};
    };
    struct PendingRead {
        ConfigCallback done;
        Instant requestedAt {};
    };

    void tick();
    void scheduleProcessing();
    void processReplicaOutput();
    void propose(const Routing::Command &command, ResultCallback done);
    /// Proposes an order without a version of its own, see withdraw().
    void proposeOrder(Routing::Command order, PresenceCheck isSenderPresent, ResultCallback done);
    /// Whether this process did not run for a while until just now. What it reads may then have been sent long ago.
    bool wasStalled() const;
    void detectStall();
    void expireForwarded();
    void finishReads();
    void accept(std::shared_ptr<Net::Stream> stream);
    void receive(const std::shared_ptr<Peer> &peer, ByteView frame);
    void receiveProposal(const Wire::Envelope &envelope);
    void receiveReply(const Wire::Envelope &envelope);
    void receiveEntryReport(const std::shared_ptr<Peer> &peer, const Wire::Envelope &envelope);
    void receiveCoreReport(const Wire::Envelope &envelope);
    void acknowledge(const std::shared_ptr<Peer> &peer);
    void feedAll(bool isPeriodic);
    void feed(Peer &peer, FeedFrames &frames);
    /// Whether an update to an entry that knows all changes up to \p known may contain the state. An entry that knows nothing
    /// gets only a state that a quorum has confirmed recently, since this replica may have started with an old one. Other
    /// entries get every change, since they never return to an older state.
    bool maySendState(LogIndex known) const;
    /// As maySendState(), and \p peer is not referred to a core instance of its own data centre.
    bool maySendStateTo(const Peer &peer) const;
    std::vector<std::uint8_t> encodeFeed(const FeedKey &key, std::vector<LimitShare> limits = {},
                                         std::optional<std::vector<ColdShare>> coldShares = {}) const;
    /// Divides the limits of servers again when they or the ready entries have changed, and sends the shares that differ.
    void divideLimits();
    /// Makes the servers of data centres cold whose evacuations have ended since the last update to the entries.
    void startColdAfterEvacuations();
    /// Divides the limits of cold servers again, see ColdServers::divide().
    void divideCold();
    /// Sends the shares in cold servers to the entries whose shares have changed.
    void feedCold();
    /// Sends an update to each connected entry.
    void feedEach();
    /// Sends the totals and the fractions of account quotas that are due.
    void exchangeQuotas();
    std::vector<ServerId> silentServers() const;
    std::vector<CoreInstance> coreInstances() const;
    void reportToCore();
    /// Closes the connections of entries that have been silent for too long and marks these entries as not ready, so that
    /// callers get the addresses of others.
    void dropSilentEntries();
    void logLeaderChange();
    void logSuspension();
    void feedOnConfirmation();
    /// Logs the changes that the replica has applied since the last update to the entries.
    void logChanges();
    /// Logs an announcement that is acknowledged although it differs from the known state of the server.
    void logWithoutEffect(const Routing::BackendServer &update);
    bool isUpToDate() const;

    Net::EventLoop &m_loop;
    CoreSettings m_settings;
    std::unique_ptr<Replica> m_replica;
    const Wire::FrameCodec &m_codec;
    Log m_log;
    PeerLinks m_links;
    Net::Listener m_listener;
    std::function<void(const Error &)> m_storeFailureCallback;
    std::set<std::shared_ptr<Peer>> m_peers;
    bool m_isProcessingScheduled = false;
    LogIndex m_fedIndex;
    Instant m_lastFeed {};
    CoreReporter m_reporter;
    Instant m_startedAt {};
    std::map<ProposalId, ResultCallback> m_proposals;
    std::uint64_t m_lastCorrelation = 0;
    std::map<std::uint64_t, ForwardedProposal> m_forwarded;
    std::list<PendingRead> m_reads;
    Instant m_tickedAt {};
    std::optional<Instant> m_stalledUntil;
    std::uint64_t m_ordersDropped = 0;
    EntryDirectory m_entries;
    std::uint64_t m_entriesLost = 0;
    std::uint64_t m_feedBytes = 0;
    std::uint64_t m_remoteFeedBytes = 0;
    std::uint64_t m_feedsDeferred = 0;
    /// When each server last announced itself to any core instance.
    std::map<ServerId, Instant> m_lastAnnouncedAt;
    CoreDirectory m_coreDirectory;
    ServerFacts m_facts;
    QuotaExchange m_quotas;
    ColdServers m_cold;
    std::optional<InstanceId> m_knownLeader;
    MembershipLog m_membershipLog;
    bool m_wasUpToDate = false;
    bool m_wasSuspended = false;
};

}
