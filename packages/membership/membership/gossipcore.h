#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "membership/catchup.h"
#include "membership/gossipcodec.h"
#include "membership/membershiptable.h"
#include "wire/envelope.h"

namespace Galenabarrow::Membership
{

/// Times and sizes of gossip.
struct GossipSettings {
    /// Peer addresses from the settings, to find the first instances.
    std::vector<std::string> seeds;
    /// A changed record is repeated to each peer at this interval ...
    Duration resendInterval = std::chrono::milliseconds(200);
    /// ... until the peer has acknowledged it or this time has passed.
    Duration resendTimeout = std::chrono::seconds(2);
    /// Shortest time between two batches of load reports.
    Duration loadInterval = std::chrono::seconds(1);
    /// An unchanged load is reported again after this time, to renew the lease elsewhere.
    Duration renewInterval = std::chrono::seconds(2);
    /// Longest time that a catch-up waits for peers that do not answer.
    Duration catchUpTimeout = std::chrono::seconds(1);
    Duration digestInterval = std::chrono::seconds(1);
    /// Announcers that were not heard for this long are asked for in digests.
    Duration staleAfter = std::chrono::seconds(4);
    /// Bounds of one message; what does not fit goes with a later one, the longest waiting first.
    std::size_t maxLoads = 64;
    std::size_t maxRecords = 64;
    std::size_t maxVersions = 4096;
};

/// A message to send; the shell adds sender, sender address and incarnation.
struct GossipMessage {
    /// "host:port" of the receiver.
    std::string address;
    Wire::MessageKind kind = Wire::MessageKind::GossipRecords;
    std::vector<std::uint8_t> payload;
};

/// Spreads the records of a MembershipTable between instances.
///
/// A changed record goes to every peer at the next tick and is repeated until acknowledged; who learns that an announcer
/// is leaving passes it on in the same way, so one cut link does not stop it. Load reports go to every peer in batches.
/// A digest exchange with one random peer repairs what was missed.
class GossipCore
{
public:
    /// \p self is this instance's own record (kind Instance); its incarnation is raised when the other instances know
    /// a higher one. \p table and \p random must outlive the core.
    GossipCore(GossipSettings settings, const Record &self, MembershipTable &table, RandomSource &random, Instant now);

    /// Takes a server's announcement and returns the lease. Fails with AnnouncementInvalid or AnnouncementStale.
    Result<Duration> announce(const ServerAnnouncement &announcement, Instant now);
    /// Makes a server leave on an operator's request. Fails with PathUnknown when it is not known.
    Result<void> drain(const ServerId &server, Instant now);
    /// Shares the result of a probe.
    void publishProbe(const ServerId &server, bool healthy, Duration latency, Instant now);
    /// Changes this instance's own record.
    void updateSelf(const InstanceInfo &info, Instant now);
    /// Announces that this instance is leaving.
    void leave(Instant now);

    /// From now on this instance may miss records. Until a catch-up has ended, it answers no catch-up of others, since a whole
    /// data centre that was cut off has missed the same.
    void markBehind();
    /// True from markBehind() until catchUp().
    bool isMarkedBehind() const;
    /// Asks all peers and seeds for what this instance has missed.
    void catchUp(Instant now);
    /// True from markBehind() until catchUp() was called and all have answered, or GossipSettings::catchUpTimeout has passed.
    bool isBehind(Instant now) const;

    /// Call it every 10 to 50 ms, and after announce() to spread a change at once.
    std::vector<GossipMessage> onTick(Instant now);
    /// Takes a message of one of the gossip kinds. Fails with FrameMalformed.
    Result<std::vector<GossipMessage>> receive(const Wire::Envelope &envelope, Instant now);

    /// This instance's own record.
    const Record &self() const;

private:
    struct Peer {
        InstanceId instance;
        std::string address;
    };

    /// A changed record on its way to the peers.
    struct Pending {
        Instant deadline;
        /// Next time to send, for each peer that has not acknowledged.
        std::map<InstanceId, Instant> nextSend;
    };

    /// An announcer whose load reports this instance spreads.
    struct LocalAnnouncer {
        std::uint16_t sentLoad = 0;
        Instant sentAt {};
        bool isDirty = false;
    };

    std::vector<Peer> peers() const;
    void applyLocal(Record record, Instant now);
    void disseminate(const RecordKey &key, Duration firstDelay, Instant now);
    void markLoadDirty(const RecordKey &key);
    void renewSelf(Instant now);
    void changeSelf(Instant now);
    void refute(const Record &claimed, Instant now);
    void sendPending(Instant now, std::vector<GossipMessage> &out);
    void sendLoads(Instant now, std::vector<GossipMessage> &out);
    void sendDigest(Instant now, std::vector<GossipMessage> &out);
    void sendCatchUp(Instant now, std::vector<GossipMessage> &out);
    void answerCatchUp(const GossipDigest &message, const std::string &address, Instant now, std::vector<GossipMessage> &out) const;
    /// Seeds that are not live peers.
    std::vector<std::string> unknownSeeds() const;
    std::vector<std::string> peerAddresses() const;
    void receiveRecords(const GossipRecords &message, const Wire::Envelope &envelope, Instant now, std::vector<GossipMessage> &out);
    void receiveAcknowledgement(const GossipAcknowledgement &message, const InstanceId &sender);
    void receiveDigest(const GossipDigest &message, const Wire::Envelope &envelope, Instant now, std::vector<GossipMessage> &out);
    void sendMissing(const GossipDigest &message, const std::string &address, Instant now, std::vector<GossipMessage> &out) const;
    std::vector<StateVersion> allVersions() const;
    std::vector<LoadUpdate> staleLoads(Instant now) const;

    GossipSettings m_settings;
    Record m_self;
    MembershipTable &m_table;
    RandomSource &m_random;
    std::map<RecordKey, Pending> m_pending;
    std::map<RecordKey, LocalAnnouncer> m_localAnnouncers;
    CatchUp m_catchUp;
    bool m_isBehind = false;
    Instant m_nextLoads;
    Instant m_nextDigest;
    Instant m_renewedAt;
};

}
