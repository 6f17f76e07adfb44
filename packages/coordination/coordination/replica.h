#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "control/logstore.h"
#include "control/raftcore.h"
#include "control/raftjoin.h"
#include "routing/routingstate.h"

namespace Galenabarrow::Coordination
{

using Routing::Bytes;
using Routing::ByteView;

/// Settings of a replica of the routing state.
struct ReplicaSettings {
    /// The address at which this instance accepts frames, as "host:port"; identifies the core instance.
    InstanceId instance;
    /// Addresses of the instances to contact first.
    std::vector<InstanceId> seeds;
    /// Lets this seed start a new cluster if no seed with a lower name may; see raftjoin.h. Also set if the store keeps a permission that
    /// names the same seeds.
    bool bootstrap = false;
    /// Number of voters of a complete cluster. When there are more members, one that does not answer or that leaves is removed.
    std::uint32_t voters = 3;
    Control::RaftTiming timing;
    /// Log entries between two snapshots.
    std::uint64_t entriesPerSnapshot = 200;
    /// Opens the same store again, without the permission of a first start. When set, a replica whose store cannot be written is suspended
    /// and tries again; otherwise it fails.
    std::function<std::unique_ptr<Control::LogStore>()> reopenStore;
};

/// An encoded Raft message and its recipient.
struct RaftEnvelope {
    InstanceId to;
    Bytes payload;
};

/// Identifies a proposal of this process.
using ProposalId = Id<struct ProposalIdTag, std::uint64_t>;

/// Result of a proposal. With ChangeOutcomeUnknown, the proposal may still be committed.
struct FinishedProposal {
    ProposalId proposalId;
    Result<void> result;
};

/// A replica of the routing state: connects the Raft core, the log store and the state machine. Has no sockets and no threads;
/// calls must not overlap.
class Replica
{
public:
    /// Loads the contents of \p store and, if it can be opened again, writes them anew. Fails with StoreCorrupt and the other store errors.
    /// \p random must outlive the replica.
    static Result<std::unique_ptr<Replica>> open(ReplicaSettings settings, std::unique_ptr<Control::LogStore> store, RandomSource &random,
                                                 Instant now);

    /// Runs the timers of elections and of the join protocol. To be called every 20 to 50 ms.
    void tick(Instant now);
    /// Leaves the cluster if another replica can take the place of this one, for a planned stop. This replica does not join again.
    void startLeaving();
    /// Whether the end of this replica loses no vote, or nothing can take its place. Meaningful after startLeaving().
    bool hasLeft() const;
    /// Replaces the seeds, for a change of the settings at run time. An unused store that may start a cluster keeps the earlier
    /// ones as well, since a first start requires an answer from each of them.
    void setSeeds(const std::vector<InstanceId> &seeds);
    /// Processes an encoded Raft message. Fails with FrameMalformed.
    Result<void> receive(ByteView message, Instant now);
    /// Proposes an encoded command. Absent when this replica is not the leader of a complete cluster, or when too many
    /// proposals are pending.
    std::optional<ProposalId> propose(Bytes command, Instant now);
    /// Proposes \p command, whose encoded form is \p bytes. Fails with NotLeader as above, and with VersionConflict when the command is an
    /// order that is older than one for the same subject that was accepted or proposed since: a late copy must not undo it.
    Result<ProposalId> propose(const Routing::Command &command, Bytes bytes, Instant now);

    /// Syncs the store if there are unsynced writes, and returns the messages to send since the last call. To be called after
    /// each batch of other calls, so that one sync covers the whole batch.
    std::vector<RaftEnvelope> takeOutgoing(Instant now);
    std::vector<FinishedProposal> takeFinished();

    /// Set when the store has failed, or when an exception has left the replicated state undefined (InternalError). The replica then no
    /// longer takes part; the process should log the error and exit.
    const std::optional<Error> &storeFailure() const;
    /// Set while this replica takes no part because its store cannot be written, as on a full disk. It sends nothing, leads nothing and
    /// confirms nothing until it has loaded the store and written it anew, as after a start of the process.
    const std::optional<Error> &suspension() const;
    /// How often this replica was suspended.
    std::uint64_t suspensionCount() const;
    const Routing::RoutingState &state() const;
    bool isLeader() const;
    /// Absent when not known.
    std::optional<InstanceId> leader() const;
    Term term() const;
    LogIndex commitIndex() const;
    const Control::Membership &membership() const;
    /// The attempt to join the core; absent while this replica is a member and knows the leader.
    const std::optional<Control::RaftJoin::Attempt> &joinAttempt() const;
    /// The replicas that this leader did not add since the last call, although they requested to join.
    std::map<Control::ReplicaId, Control::AdmissionRefusal> takeRefusedJoiners();
    /// The latest time for which a quorum confirms that this replica has applied every change accepted before it; absent without
    /// such a confirmation.
    std::optional<Instant> confirmedAt(Instant now) const;

private:
    struct PendingProposal {
        ProposalId proposalId;
        Term term;
        std::optional<Routing::Evacuation> evacuation;
    };

    Replica(ReplicaSettings settings, std::unique_ptr<Control::LogStore> store, RandomSource &random,
            const Control::StoreContents &contents, Instant now);
    /// Starts with the contents of the store.
    void begin(const Control::StoreContents &contents, Instant now);
    /// Whether this replica has failed or is suspended.
    bool isStopped() const;
    void resumeIfDue(Instant now);
    /// Runs \p work on the replicated state. An exception makes the replica fail.
    template<typename Work>
    void guardState(const Work &work);
    void processMessage(const Control::RaftMessage &message, Instant now);
    void processOutput(const Control::RaftOutput &output);
    void write(const Control::RaftOutput &output);
    bool isOutdated(const Routing::Command &order) const;
    /// The last order for a data centre that this leader has accepted or proposed.
    std::optional<Routing::Evacuation> lastEvacuation(const DataCentreId &dataCentre) const;
    void applyEntry(const Control::LogEntry &entry);
    void finishUndecided();
    void finishPending(const char *reason);
    void compactIfDue();
    void checkStoreResult(const Result<void> &result);
    void sendRaft(const Control::RaftMessage &message);
    void runJoin(Instant now);
    void updatePeers();
    Control::RaftJoin::View joinView() const;

    ReplicaSettings m_settings;
    std::unique_ptr<Control::LogStore> m_store;
    std::optional<Error> m_storeFailure;
    std::optional<Error> m_suspension;
    std::uint64_t m_suspensionCount = 0;
    /// When the store is opened again; absent before the first tick of a suspension.
    std::optional<Instant> m_resumeAt;
    RandomSource &m_random;
    /// Always set; replaced after a suspension.
    std::optional<Control::RaftCore> m_raft;
    std::optional<Control::RaftJoin> m_join;
    Routing::RoutingState m_state;
    bool m_isLeaving = false;
    std::uint64_t m_lastProposalId = 0;
    std::optional<Control::WriteNumber> m_unsyncedWrite;
    std::map<LogIndex, PendingProposal> m_pending;
    std::vector<RaftEnvelope> m_outgoing;
    std::vector<FinishedProposal> m_finished;
};

}
