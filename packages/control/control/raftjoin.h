#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/random.h"
#include "control/rafttypes.h"

namespace Galenabarrow::Control
{

/// How a replica without a membership finds its cluster, or starts one.
///
/// A replica that is in no membership asks all other control instances in rounds. A leader answers with a random
/// challenge; only a request that returns the challenge in time makes the replica a joiner, so that a late copy of a
/// request from a store that no longer exists cannot displace its successor.
///
/// A cluster is started only when all of these hold:
/// - the settings say so (bootstrap), and the store was never used,
/// - this instance has the lowest id of all control instances in the settings,
/// - within one round, every other control instance answered that its store is empty.
///
/// A lost disk differs from a first start in the last condition: after a first start, a majority of the other stores is
/// not empty. Answers name the round, which is random and belongs to one store, and a round lasts 500 ms; a late answer
/// or one to an earlier store never counts. An answer "not empty" ends all attempts of this process. The cluster starts with
/// one voter; the others join it as learners and are promoted one by one, exactly as after a lost disk, and no change is
/// accepted before all have been voters. A disk lost before that therefore loses no accepted change; the instances that
/// have joined already then keep the new store from starting a second cluster until an operator empties them.
/// A cluster of a single instance has no other store to check: its lost disk is a new start.
class RaftJoin
{
public:
    /// What the replica knows about itself at the moment.
    struct View {
        bool isMember = false;
        bool isLeader = false;
        /// A leader was heard of lately.
        bool hasLeader = false;
        /// No log, no snapshot and no vote.
        bool isEmpty = false;
    };

    /// Whose join requests are answered.
    enum class Admission : std::uint8_t {
        /// Those of the control instances in the settings.
        Listed,
        /// All; for instances that are told a few seeds only and may be replaced by others.
        Open,
    };

    /// \p peers names all control instances, this one too.
    RaftJoin(ReplicaId self, std::vector<InstanceId> peers, bool bootstrap, Duration interval, RandomSource &random,
             Admission admission = Admission::Listed);

    /// Replaces the instances that are asked to join their cluster. What has been heard of them is kept.
    void setPeers(std::vector<InstanceId> peers);

    std::vector<RaftMessage> tick(const View &view, Instant now);
    /// Takes JoinRequest and JoinReply; returns the answers.
    std::vector<RaftMessage> receive(const RaftMessage &message, const View &view, Instant now);
    /// A replica that proved in the last receive() that it is alive and wants to join; the address is left empty.
    std::optional<ReplicaId> takeJoiner();
    /// True when this replica has to start the cluster.
    bool mayBootstrap(const View &view, Instant now) const;

private:
    struct Challenge {
        std::uint64_t value = 0;
        Instant issuedAt {};
    };
    std::vector<RaftMessage> handleRequest(const RaftMessage &message, const View &view, Instant now);
    void handleReply(const RaftMessage &message, Instant now);
    RaftMessage makeMessage(RaftKind kind, ReplicaId to) const;

    ReplicaId m_self;
    std::vector<InstanceId> m_peers;
    bool m_isBootstrapCandidate;
    Duration m_interval;
    RandomSource &m_random;
    Admission m_admission;
    std::uint64_t m_round = 0;
    Instant m_roundStartedAt {};
    bool m_hasSeenCluster = false;
    std::set<InstanceId> m_emptyPeers;
    /// Challenges received, by the instance that issued them.
    std::map<InstanceId, std::uint64_t> m_receivedChallenges;
    /// Challenges issued, by the replica that has to return them.
    std::map<InstanceId, std::pair<ReplicaId, Challenge>> m_issuedChallenges;
    std::optional<ReplicaId> m_joiner;
};

}
