#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "control/contractstate.h"
#include "control/feed.h"
#include "control/logstore.h"
#include "control/outgoing.h"
#include "control/proposalclient.h"
#include "control/raftcore.h"
#include "control/raftjoin.h"

namespace Galenabarrow::Control
{

/// Settings of a control instance.
struct ControlSettings {
    InstanceId instance;
    /// All control instances (at most 7), including this one. A leader removes a replica that is not in its settings and does
    /// not respond.
    std::vector<ControlPeer> peers;
    /// Lets the peer with the lowest id start a new cluster; see raftjoin.h.
    bool bootstrap = false;
    RaftTiming timing;
    /// Log entries between two snapshots.
    std::uint64_t entriesPerSnapshot = 2000;
    /// A forwarded proposal that the leader has not answered after this time is finished with ChangeOutcomeUnknown.
    Duration forwardTimeout = std::chrono::milliseconds(1500);
};

/// The status of a control instance, as seen by itself.
struct ControlStatus {
    bool isLeader = false;
    bool isVoter = false;
    /// Empty when not known.
    InstanceId leader;
    Term term;
    LogIndex commit;
    /// All replicas have joined at least once; before that, no proposal is accepted.
    bool isFormed = false;
    /// As of the last committed entry.
    Membership membership;
    /// Age of the last confirmation by a quorum; absent when there is none.
    std::optional<Duration> freshnessAge;
};

/// A control instance without sockets and threads. Not thread-safe.
class ControlService
{
public:
    /// Loads the contents of \p store. Fails with StoreCorrupt and the other store errors. \p random must outlive the service.
    static Result<std::unique_ptr<ControlService>> open(ControlSettings settings, std::unique_ptr<LogStore> store, RandomSource &random,
                                                        Instant now);

    /// To be called every 10 to 50 ms.
    void tick(Instant now);
    /// Handles messages of the kinds Raft, FeedRequest, ProposeRequest and ProposeReply; others are ignored. Fails with
    /// FrameMalformed.
    Result<void> receive(const Wire::Envelope &envelope, Instant now);
    /// Proposes a command from this process; its result is returned by takeFinished().
    ProposalTicket propose(const Command &command, Instant now);

    /// Syncs the store when there are unsynced writes, and returns the messages queued since the last call. To be called after
    /// each tick, or after a batch of receive and propose calls; one sync covers the whole batch.
    std::vector<Outgoing> takeOutgoing();
    /// The results of propose() since the last call. takeOutgoing() can add results, too.
    std::vector<FinishedProposal> takeFinished();

    /// Set when the store has failed. The instance then no longer takes part in the cluster; the process should log the error
    /// and exit.
    const std::optional<Error> &storeFailure() const;
    ControlStatus status(Instant now) const;
    /// True on a leader that a quorum has confirmed within the election timeout; only such a leader may grant shares.
    bool isConfirmedLeader(Instant now) const;
    /// The applied state of this replica.
    const ContractState &state() const;

private:
    /// Where to send the answer to a proposal.
    struct Origin {
        /// Empty for a proposal of this process.
        std::string address;
        std::uint64_t correlation = 0;
    };
    struct PendingProposal {
        Origin origin;
        Term term;
    };
    struct ForwardedProposal {
        Origin origin;
        Instant deadline {};
    };
    ControlService(ControlSettings settings, std::unique_ptr<LogStore> store, RandomSource &random, const StoreContents &contents,
                   Instant now);
    void handleOutput(const RaftOutput &output);
    void write(const RaftOutput &output);
    void checkStoreResult(const Result<void> &done);
    void applyEntry(const LogEntry &entry);
    void finishUndecided();
    void compactIfDue();
    void sendRaft(const RaftMessage &message);
    void handleProposal(const Bytes &command, Origin origin, bool isForwarded);
    void forward(const Bytes &command, const Origin &origin, const InstanceId &leader);
    void answer(const Origin &origin, const ProposalResult &result);
    Result<void> receiveFeedRequest(const Wire::Envelope &envelope);
    Result<void> receiveRaft(const Wire::Envelope &envelope);
    Result<void> receiveProposal(const Wire::Envelope &envelope);
    Result<void> receiveProposeReply(const Wire::Envelope &envelope);
    void receiveJoin(const RaftMessage &message, const std::string &senderAddress);
    void runJoin();
    RaftJoin::View joinView() const;
    std::vector<ReplicaId> retiredReplicas() const;
    bool isFormed() const;
    void enqueue(std::string address, Wire::MessageKind kind, std::uint64_t correlation, Bytes payload);
    std::string addressOf(const InstanceId &instance) const;

    ControlSettings m_settings;
    std::unique_ptr<LogStore> m_store;
    std::optional<Error> m_storeFailure;
    RaftCore m_raft;
    RaftJoin m_join;
    ContractState m_state;
    Instant m_now;
    std::uint64_t m_lastTicket = 0;
    std::uint64_t m_lastCorrelation = 0;
    std::optional<WriteNumber> m_unsyncedWrite;
    std::map<LogIndex, PendingProposal> m_pending;
    std::map<std::uint64_t, ForwardedProposal> m_forwarded;
    std::map<InstanceId, std::string> m_addresses;
    std::vector<Outgoing> m_outgoing;
    std::vector<FinishedProposal> m_finished;
};

}
