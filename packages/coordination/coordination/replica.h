#pragma once

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
    /// The address at which this instance accepts frames, as "host:port". Instances of the core are named by it.
    InstanceId instance;
    /// Instances that are asked first, named in the same way.
    std::vector<InstanceId> seeds;
    /// Lets the seed with the lowest name start a new cluster; see raftjoin.h.
    bool bootstrap = false;
    /// Voters of a complete cluster. With more members than that, one that does not answer is removed.
    std::uint32_t voters = 3;
    Control::RaftTiming timing;
    /// Log entries between two snapshots.
    std::uint64_t entriesPerSnapshot = 200;
};

/// A Raft message and the instance it goes to.
struct RaftEnvelope {
    InstanceId to;
    Bytes payload;
};

/// Names a proposal of this process.
using ProposalId = Id<struct ProposalIdTag, std::uint64_t>;

/// What became of a proposal. ChangeOutcomeUnknown: it may still be committed.
struct FinishedProposal {
    ProposalId proposalId;
    Result<void> result;
};

/// A replica of the routing state without sockets and threads: it connects the consensus core, the store and the state
/// machine. Calls must not overlap.
class Replica
{
public:
    /// Loads the contents of \p store. Fails with StoreCorrupt and the other store errors. \p random must outlive the replica.
    static Result<std::unique_ptr<Replica>> open(ReplicaSettings settings, std::unique_ptr<Control::LogStore> store, RandomSource &random,
                                                 Instant now);

    /// Call it every 20 to 50 ms.
    void tick(Instant now);
    /// Takes an encoded Raft message. Fails with FrameMalformed.
    Result<void> receive(ByteView message, Instant now);
    /// Proposes an encoded command; absent on a replica that does not lead a complete cluster.
    std::optional<ProposalId> propose(Bytes command, Instant now);

    /// Syncs the store when there are writes, and returns the messages to send since the last call. Call it after each
    /// batch of other calls; one sync covers the whole batch.
    std::vector<RaftEnvelope> takeOutgoing(Instant now);
    std::vector<FinishedProposal> takeFinished();

    /// Set when the store failed. The replica has then stopped to take part; the process should log it and exit.
    const std::optional<Error> &storeFailure() const;
    const Routing::RoutingState &state() const;
    bool isLeader() const;
    /// Absent when not known.
    std::optional<InstanceId> leader() const;
    Term term() const;
    LogIndex commitIndex() const;
    const Control::Membership &membership() const;
    /// The time up to which this replica is known to have applied every accepted change; absent when not known.
    std::optional<Instant> confirmedAt(Instant now) const;

private:
    struct PendingProposal {
        ProposalId proposalId;
        Term term;
    };

    Replica(ReplicaSettings settings, std::unique_ptr<Control::LogStore> store, RandomSource &random,
            const Control::StoreContents &contents, Instant now);
    void processOutput(const Control::RaftOutput &output);
    void write(const Control::RaftOutput &output);
    void applyEntry(const Control::LogEntry &entry);
    void finishUndecided();
    void compactIfDue();
    void checkStoreResult(const Result<void> &result);
    void sendRaft(const Control::RaftMessage &message);
    void runJoin(Instant now);
    void updatePeers();
    void retireExcessMembers();
    Control::RaftJoin::View joinView() const;

    ReplicaSettings m_settings;
    std::unique_ptr<Control::LogStore> m_store;
    std::optional<Error> m_storeFailure;
    Control::RaftCore m_raft;
    Control::RaftJoin m_join;
    Routing::RoutingState m_state;
    std::uint64_t m_lastProposalId = 0;
    std::optional<Control::WriteNumber> m_unsyncedWrite;
    std::map<LogIndex, PendingProposal> m_pending;
    std::vector<RaftEnvelope> m_outgoing;
    std::vector<FinishedProposal> m_finished;
};

}
