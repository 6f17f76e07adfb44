#pragma once

#include <map>
#include <optional>
#include <vector>

#include "base/random.h"
#include "control/rafttypes.h"

namespace Galenabarrow::Control
{

/// Lets a replica without a membership join its cluster, or start one.
///
/// A replica that is not a member sends join requests to all other control instances in rounds. A leader answers with a random
/// challenge; only a request that returns the challenge in time makes the replica a joiner, so that a late copy of a request from
/// a store that no longer exists cannot replace the current store of the instance.
///
/// Each member answers with the members that it knows, and the replica asks these too. So it finds the leader when its settings name
/// any instance that is a member, or that a member has answered. Contacts that nobody repeats are dropped. An instance that is not a
/// member itself passes on only what a member has told it; otherwise replicas that wait would repeat the names of instances that are
/// gone to each other for ever.
///
/// A cluster is started only when all of these hold:
/// - the settings enable it (bootstrap), and the store was never used,
/// - within one round, every other control instance in the settings of the start answered that its store is empty,
/// - this instance has the lowest id of all these, or within the same round those with lower ids answered that their settings do not
///   enable a start, and no instance answered that it has heard of a started cluster.
///
/// The settings enable a start only once, so an instance whose process ends during the first start, for example because its disk is
/// full, comes back without the permission. The next one then takes its place.
///
/// The second condition distinguishes a lost disk from a first start: once the cluster was started, a majority of the other stores
/// is not empty. Answers contain the number of the round, which is random and belongs to one store, and a round lasts 500 ms;
/// late answers and answers to an earlier store are ignored. An answer "not empty" ends all attempts of this process. The cluster
/// starts with one voter; the others join it as learners and are promoted one by one, as after a lost disk, and no change is
/// accepted before all have been voters. A disk lost before that therefore loses no accepted change; the instances that have
/// already joined then prevent the new store from starting a second cluster, until an operator empties their stores.
/// A cluster of a single instance has no other store to check: after the loss of its disk, it starts as a new cluster.
class RaftJoin
{
public:
    /// The current state of the replica.
    struct View {
        bool isMember = false;
        bool isLeader = false;
        /// The replica knows the leader of the current term.
        bool hasLeader = false;
        /// No log, no snapshot and no vote.
        bool isEmpty = false;
        /// The membership in the log; null if there is none.
        const Membership *membership = nullptr;
    };

    /// The instances whose join messages are handled.
    enum class Admission : std::uint8_t {
        /// The control instances in the settings.
        Listed,
        /// All instances; for clusters whose settings contain only some seeds and whose instances may be replaced. Instances that
        /// others refer to are asked as well.
        Open,
    };

    /// The state of the attempt to join.
    struct Attempt {
        Instant startedAt {};
        /// The instances that the last round of requests was sent to.
        std::vector<InstanceId> asked;
        /// When each instance last responded, and when it last sent a challenge, as only a leader does.
        std::map<InstanceId, Instant> respondedAt;
        std::map<InstanceId, Instant> challengedAt;
    };

    /// \p peers are all control instances, including this one.
    RaftJoin(ReplicaId self, std::vector<InstanceId> peers, bool bootstrap, Duration interval, RandomSource &random,
             Admission admission = Admission::Listed);

    /// Replaces the instances that join requests are always sent to. Their earlier answers are kept. A first start still requires the
    /// answers of those given to the constructor, and of no others.
    void setPeers(std::vector<InstanceId> peers);

    std::vector<RaftMessage> tick(const View &view, Instant now);
    /// Records that \p member sends messages to an earlier store of this instance, so that it can be asked. Only members do.
    void recordMember(const InstanceId &member, Instant now);
    /// Handles JoinRequest and JoinReply; returns the answers and further requests to send.
    std::vector<RaftMessage> receive(const RaftMessage &message, const View &view, Instant now);
    /// The replica that requests to join and has proved to be alive by returning its challenge in the last receive(); absent
    /// without one.
    std::optional<ReplicaId> takeJoiner();
    /// Absent while the replica is a member and knows the leader.
    const std::optional<Attempt> &attempt() const;
    /// True when all conditions to start the cluster are met.
    bool mayBootstrap(const View &view, Instant now) const;

private:
    struct Challenge {
        std::uint64_t value = 0;
        Instant issuedAt {};
    };
    /// An instance that another one has named as a contact.
    struct Referral {
        Instant heardAt {};
        /// When a member last named it.
        std::optional<Instant> heardFromMemberAt;
    };
    std::vector<RaftMessage> handleRequest(const RaftMessage &message, const View &view, Instant now);
    std::vector<RaftMessage> handleReply(const RaftMessage &message, const View &view, Instant now);
    std::vector<InstanceId> knownContacts(const View &view, Instant now) const;
    /// Returns whether \p instance was not known before.
    bool recordReferral(const InstanceId &instance, bool isFromMember, Instant now);
    /// Records the contacts in \p message; returns those that have not been asked yet.
    std::vector<InstanceId> recordReferrals(const RaftMessage &message, Instant now);
    bool isPeer(const InstanceId &instance) const;
    FirstStart firstStart() const;
    /// Whether the instances with lower ids cannot start the cluster themselves.
    bool mayReplaceLowest() const;
    RaftMessage makeRequest(const InstanceId &to, const View &view);
    RaftMessage makeMessage(RaftKind kind, ReplicaId to) const;

    ReplicaId m_self;
    std::vector<InstanceId> m_peers;
    /// The instances whose answers a first start requires.
    std::vector<InstanceId> m_firstPeers;
    bool m_isBootstrapPermitted;
    Duration m_interval;
    RandomSource &m_random;
    Admission m_admission;
    std::uint64_t m_round = 0;
    Instant m_roundStartedAt {};
    bool m_hasSeenCluster = false;
    /// The answers of instances with empty stores in this round.
    std::map<InstanceId, FirstStart> m_emptyInstances;
    std::map<InstanceId, Referral> m_referrals;
    /// Received challenges by the instance that issued them.
    std::map<InstanceId, std::uint64_t> m_receivedChallenges;
    /// Issued challenges by the instance that has to return them, with its replica.
    std::map<InstanceId, std::pair<ReplicaId, Challenge>> m_issuedChallenges;
    std::optional<ReplicaId> m_joiner;
    std::optional<Attempt> m_attempt;
};

}
