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

/// Intervals, timeouts and message sizes of gossip.
struct GossipSettings {
    /// Peer addresses from the settings, used to find the first instances.
    std::vector<std::string> seeds;
    /// A changed record is resent to each peer at this interval ...
    Duration resendInterval = std::chrono::milliseconds(200);
    /// ... until the peer has acknowledged it or this time has passed.
    Duration resendTimeout = std::chrono::seconds(2);
    /// Shortest time between two batches of load reports.
    Duration loadInterval = std::chrono::seconds(1);
    /// An unchanged load is reported again after this time, to renew the lease of its record at the peers.
    Duration renewInterval = std::chrono::seconds(2);
    /// A catch-up ends after this time even if some peers have not answered.
    Duration catchUpTimeout = std::chrono::seconds(1);
    Duration digestInterval = std::chrono::seconds(1);
    /// Digests ask for newer loads of announcers that have been silent for this long.
    Duration staleAfter = std::chrono::seconds(4);
    /// Limits of one message. Records and loads that do not fit are sent with a later one, the longest waiting loads first.
    /// Further versions are left out.
    std::size_t maxLoads = 64;
    std::size_t maxRecords = 64;
    std::size_t maxVersions = 4096;
};

/// A message to send; the caller adds sender, sender address and incarnation.
struct GossipMessage {
    /// "host:port" of the receiver.
    std::string address;
    Wire::MessageKind kind = Wire::MessageKind::GossipRecords;
    std::vector<std::uint8_t> payload;
};

/// Spreads the records of a MembershipTable between instances.
///
/// A changed record is sent to every peer at the next tick and resent until the peer acknowledges it. An instance that
/// receives a leaving flag for the first time relays the record in the same way, so that one cut link does not stop it. Load
/// reports are sent to every peer in batches. Digest exchanges with random peers repair what was lost.
class GossipCore
{
public:
    /// \p self is this instance's own record (kind Instance); its incarnation is raised when the other instances have
    /// a record with a higher one. \p table and \p random must outlive the core.
    GossipCore(GossipSettings settings, const Record &self, MembershipTable &table, RandomSource &random, Instant now);

    /// Applies a server's announcement and returns the lease. Fails with AnnouncementInvalid or AnnouncementStale.
    Result<Duration> announce(const ServerAnnouncement &announcement, Instant now);
    /// Sets the leaving flag of a server on an operator's request. Fails with PathUnknown when the server is not known.
    Result<void> drain(const ServerId &server, Instant now);
    /// Publishes the result of a probe to the peers.
    void publishProbe(const ServerId &server, bool healthy, Duration latency, Instant now);
    /// Changes this instance's own record.
    void updateSelf(const InstanceInfo &info, Instant now);
    /// Announces that this instance is leaving.
    void leave(Instant now);

    /// Marks this instance as possibly missing records. Until a later catch-up has ended, it confirms no catch-up requests of
    /// others: the instances of a data centre that was cut off as a whole have all missed the same records.
    void markBehind();
    /// True from markBehind() until catchUp().
    bool isMarkedBehind() const;
    /// Starts a catch-up: requests the records that this instance has missed from all peers and seeds.
    void catchUp(Instant now);
    /// True after markBehind() and during a catch-up, which ends when all peers and seeds have answered or
    /// GossipSettings::catchUpTimeout has passed.
    bool isBehind(Instant now) const;

    /// Returns the messages that are due. To be called every 10 to 50 ms, and after announce() to send a change at once.
    std::vector<GossipMessage> onTick(Instant now);
    /// Processes a message of one of the gossip kinds and returns the replies. Fails with FrameMalformed.
    Result<std::vector<GossipMessage>> receive(const Wire::Envelope &envelope, Instant now);

    /// This instance's own record.
    const Record &self() const;

private:
    struct Peer {
        InstanceId instance;
        std::string address;
    };

    /// A changed record that not all peers have acknowledged.
    struct Pending {
        Instant deadline;
        /// Next time to send, for each peer that has not acknowledged.
        std::map<InstanceId, Instant> nextSend;
    };

    /// An announcer whose load reports originate at this instance, with the last report sent to the peers.
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
