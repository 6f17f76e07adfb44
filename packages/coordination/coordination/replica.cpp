#include "coordination/replica.h"

#include <algorithm>
#include <utility>

#include "base/errorguard.h"
#include "control/codecs.h"
#include "control/firststart.h"
#include "routing/codec.h"

namespace Galenabarrow::Coordination
{

using namespace Control;

namespace
{

/// Maximum number of proposals that wait for their commit at the leader.
constexpr std::size_t MaxPendingProposals = 4096;
/// After a snapshot, the last (entriesPerSnapshot / RetainedEntriesDivisor) entries before it stay in the log, so that a
/// follower that lags only a little needs no snapshot.
constexpr std::uint64_t RetainedEntriesDivisor = 2;
/// Interval at which a replica whose disk cannot be written tries again; each attempt reads and writes snapshot and log.
constexpr Duration ResumeInterval = std::chrono::seconds(1);

}

Result<std::unique_ptr<Replica>> Replica::open(ReplicaSettings settings, std::unique_ptr<LogStore> store, RandomSource &random, Instant now)
{
    const Result<StoreContents> contents = store->load();
    if (!contents) {
        return tl::make_unexpected(contents.error());
    }
    if (contents->firstStart != 0 && contents->firstStart == firstStartDigest(settings.seeds)) {
        settings.bootstrap = true; // an earlier process of this instance was permitted to start the cluster
    }
    // An earlier process may have ended after a sync that failed. What was read may then be in the cache of the system only, and later
    // syncs may not write it.
    const Result<void> written = settings.reopenStore ? store->rewrite(*contents) : Result<void>();
    std::unique_ptr<Replica> replica(new Replica(std::move(settings), std::move(store), random, *contents, now));
    replica->checkStoreResult(written);
    if (replica->m_storeFailure) {
        return tl::make_unexpected(*replica->m_storeFailure);
    }
    return replica;
}

Replica::Replica(ReplicaSettings settings, std::unique_ptr<LogStore> store, RandomSource &random, const StoreContents &contents,
                 Instant now)
    : m_settings(std::move(settings))
    , m_store(std::move(store))
    , m_random(random)
    , m_lastProposalId(random.next())
{
    begin(contents, now);
}

void Replica::begin(const StoreContents &contents, Instant now)
{
    m_raft.emplace(ReplicaId { m_settings.instance, contents.incarnation }, m_settings.timing, m_random, contents.hardState,
                   contents.snapshot, contents.entries, now);
    m_raft->setVoterTarget(m_settings.voters);
    if (m_isLeaving) {
        m_raft->startLeaving();
    }
    m_join.emplace(m_raft->self(), m_settings.seeds, m_settings.bootstrap, m_settings.timing.join, m_random, RaftJoin::Admission::Open);
    m_state = {};
    if (contents.snapshot != nullptr) {
        checkStoreResult(m_state.restoreImage(contents.snapshot->state));
    }
}

void Replica::tick(Instant now)
{
    if (m_suspension && !m_storeFailure) {
        guardState([&] { resumeIfDue(now); });
    }
    if (isStopped()) {
        return;
    }
    guardState([&] {
        processOutput(m_raft->tick(now));
        runJoin(now);
        finishUndecided();
    });
}

bool Replica::isStopped() const
{
    return m_storeFailure || m_suspension;
}

void Replica::resumeIfDue(Instant now)
{
    finishPending("the disk of the leader cannot be written");
    m_resumeAt = m_resumeAt.value_or(now + ResumeInterval);
    if (now < *m_resumeAt) {
        return;
    }
    m_resumeAt = now + ResumeInterval;
    m_store.reset(); // unlocks the data folder
    std::unique_ptr<LogStore> store = m_settings.reopenStore();
    const Result<StoreContents> contents = store->load();
    const Result<void> written = contents ? store->rewrite(*contents) : Result<void>(tl::make_unexpected(contents.error()));
    if (!written) {
        if (written.error().code != ResultCode::StoreWriteFailed) {
            m_storeFailure = written.error();
        }
        return;
    }
    m_store = std::move(store);
    m_suspension.reset();
    m_resumeAt.reset();
    m_unsyncedWrite.reset();
    m_outgoing.clear();
    // A new store in the same folder is not the one that the first start was permitted for.
    m_settings.bootstrap = m_settings.bootstrap && contents->incarnation == m_raft->self().store;
    begin(*contents, now);
}

template<typename Work>
void Replica::guardState(const Work &work)
{
    const auto subject = [this] { return m_settings.instance.value(); };
    if (!runGuarded("replica", subject, work) && !m_storeFailure) {
        m_storeFailure = Error { ResultCode::InternalError, "an unexpected error has left the replicated state undefined" };
    }
}

void Replica::startLeaving()
{
    m_isLeaving = true;
    m_raft->startLeaving();
}

bool Replica::hasLeft() const
{
    const Membership &membership = m_raft->log().membership();
    const bool isReplaceable = membership.members.size() > m_settings.voters || membership.find(m_raft->self()) == nullptr;
    return isStopped() || !isReplaceable || m_raft->hasLeft();
}

void Replica::setSeeds(const std::vector<InstanceId> &seeds)
{
    std::vector<InstanceId> kept;
    if (m_settings.bootstrap && joinView().isEmpty) {
        kept = std::move(m_settings.seeds);
    }
    m_settings.seeds = seeds;
    for (InstanceId &it : kept) {
        if (std::find(m_settings.seeds.begin(), m_settings.seeds.end(), it) == m_settings.seeds.end()) {
            m_settings.seeds.push_back(std::move(it));
        }
    }
}

Result<void> Replica::receive(ByteView bytes, Instant now)
{
    const Result<RaftMessage> message = decodeRaftMessage(bytes);
    if (!message) {
        return tl::make_unexpected(message.error());
    }
    if (isStopped() || message->to.instance != m_settings.instance) {
        return {};
    }
    guardState([&] { processMessage(*message, now); });
    return {};
}

void Replica::processMessage(const RaftMessage &message, Instant now)
{
    if (message.kind != RaftKind::JoinRequest && message.kind != RaftKind::JoinReply) {
        if (message.to != m_raft->self()) {
            m_join->recordMember(message.from.instance, now);
        }
        processOutput(m_raft->receive(message, now));
        return;
    }
    for (const RaftMessage &reply : m_join->receive(message, joinView(), now)) {
        sendRaft(reply);
    }
    if (const std::optional<ReplicaId> joiner = m_join->takeJoiner()) {
        m_raft->addJoiner(Member { *joiner, joiner->instance.value(), false }, now);
    }
}

std::optional<ProposalId> Replica::propose(Bytes command, Instant now)
{
    if (isStopped() || !m_raft->log().membershipAt(m_raft->commitIndex()).isFormed || m_pending.size() >= MaxPendingProposals) {
        return std::nullopt;
    }
    std::optional<ProposalId> proposalId;
    guardState([&] {
        RaftOutput output;
        const std::optional<RaftCore::Position> position = m_raft->propose(std::move(command), now, output);
        if (position) {
            proposalId = ProposalId(++m_lastProposalId);
            m_pending[position->index] = PendingProposal { *proposalId, position->term, std::nullopt };
        }
        processOutput(output);
    });
    return proposalId;
}

Result<ProposalId> Replica::propose(const Routing::Command &command, Bytes bytes, Instant now)
{
    const bool isOrder = command.evacuation || command.withdrawal;
    // Until its term is confirmed, a leader may not have applied every accepted order.
    if (isOrder && isLeader() && !confirmedAt(now)) {
        return failure(ResultCode::NoQuorum, "no quorum has confirmed the leader yet");
    }
    if (isOrder && isLeader() && isOutdated(command)) {
        return failure(ResultCode::VersionConflict, "the order is older than the last one for the same subject");
    }
    const std::optional<ProposalId> proposalId = propose(std::move(bytes), now);
    if (!proposalId) {
        return failure(ResultCode::NotLeader, "this replica is not the leader");
    }
    const auto it =
        std::find_if(m_pending.rbegin(), m_pending.rend(), [&](const auto &row) { return row.second.proposalId == *proposalId; });
    if (it != m_pending.rend()) {
        it->second.evacuation = command.evacuation;
    }
    return *proposalId;
}

bool Replica::isOutdated(const Routing::Command &order) const
{
    if (order.knownIndex == LogIndex()) {
        return false;
    }
    if (order.evacuation) {
        const std::optional<Routing::Evacuation> last = lastEvacuation(order.evacuation->dataCentre);
        // A repetition of the last order changes nothing and is accepted.
        return last && last->isActive != order.evacuation->isActive && last->changedAt > order.knownIndex;
    }
    // Without a start time, a late withdrawal would apply to a server that has started since.
    const auto server = m_state.servers().find(order.withdrawal->id);
    return order.withdrawal->born == 0 && server != m_state.servers().end() && server->second.state == Routing::ServerState::Ready
        && server->second.changedAt > order.knownIndex;
}

std::optional<Routing::Evacuation> Replica::lastEvacuation(const DataCentreId &dataCentre) const
{
    for (auto it = m_pending.rbegin(); it != m_pending.rend(); ++it) {
        if (it->second.evacuation && it->second.evacuation->dataCentre == dataCentre) {
            return Routing::Evacuation { dataCentre, it->second.evacuation->isActive, it->first };
        }
    }
    const auto it = m_state.evacuations().find(dataCentre);
    return it == m_state.evacuations().end() ? std::nullopt : std::optional(it->second);
}

std::vector<RaftEnvelope> Replica::takeOutgoing(Instant now)
{
    while (m_unsyncedWrite && !isStopped()) {
        guardState([&] {
            const WriteNumber number = *std::exchange(m_unsyncedWrite, std::nullopt);
            checkStoreResult(m_store->sync());
            if (!isStopped()) {
                processOutput(m_raft->persisted(number, now));
            }
        });
    }
    std::vector<RaftEnvelope> outgoing = std::exchange(m_outgoing, {});
    if (isStopped()) {
        outgoing.clear();
    }
    return outgoing;
}

std::vector<FinishedProposal> Replica::takeFinished()
{
    if (!isStopped() && m_raft->isReplacingVoter()) {
        return {}; // an acknowledgement must survive the loss of as many voters as the complete cluster may lose
    }
    return std::exchange(m_finished, {});
}

const std::optional<Error> &Replica::storeFailure() const
{
    return m_storeFailure;
}

const std::optional<Error> &Replica::suspension() const
{
    return m_suspension;
}

std::uint64_t Replica::suspensionCount() const
{
    return m_suspensionCount;
}

const Routing::RoutingState &Replica::state() const
{
    return m_state;
}

bool Replica::isLeader() const
{
    return !isStopped() && m_raft->role() == RaftCore::Role::Leader;
}

std::optional<InstanceId> Replica::leader() const
{
    return !isStopped() && m_raft->leader() ? std::optional(m_raft->leader()->instance) : std::nullopt;
}

Term Replica::term() const
{
    return m_raft->term();
}

LogIndex Replica::commitIndex() const
{
    return m_raft->commitIndex();
}

const Membership &Replica::membership() const
{
    return m_raft->log().membership();
}

const std::optional<RaftJoin::Attempt> &Replica::joinAttempt() const
{
    return m_join->attempt();
}

std::map<ReplicaId, AdmissionRefusal> Replica::takeRefusedJoiners()
{
    return m_raft->takeRefusedJoiners();
}

std::optional<Instant> Replica::confirmedAt(Instant now) const
{
    const std::optional<Confirmation> confirmation = m_raft->confirmation(now);
    // Committed entries are applied at once, so the commit index is also the last applied index.
    if (isStopped() || !confirmation || confirmation->index > m_raft->commitIndex()) {
        return std::nullopt;
    }
    return confirmation->madeAt;
}

void Replica::processOutput(const RaftOutput &output)
{
    write(output);
    if (isStopped()) {
        return;
    }
    for (const LogEntry &entry : output.committed) {
        applyEntry(entry);
    }
    for (const RaftMessage &message : output.messages) {
        sendRaft(message);
    }
    compactIfDue();
}

void Replica::write(const RaftOutput &output)
{
    if (output.hardState) {
        checkStoreResult(m_store->writeHardState(*output.hardState));
    }
    if (output.install != nullptr && !isStopped()) {
        checkStoreResult(m_state.restoreImage(output.install->state));
        if (!isStopped()) {
            checkStoreResult(m_store->saveSnapshot(*output.install, {}));
        }
    }
    if (!output.append.empty() && !isStopped()) {
        checkStoreResult(m_store->append(output.append));
    }
    if (output.write) {
        m_unsyncedWrite = output.write;
    }
}

void Replica::applyEntry(const LogEntry &entry)
{
    Result<void> result;
    if (entry.kind == EntryKind::Proposal) {
        result = Routing::decodeCommand(entry.command).and_then([&](const Routing::Command &it) { return m_state.apply(it, entry.index); });
    }
    const auto it = m_pending.find(entry.index);
    if (it == m_pending.end()) {
        return;
    }
    const PendingProposal pending = it->second;
    m_pending.erase(it);
    if (pending.term != entry.term) {
        result = failure(ResultCode::ChangeOutcomeUnknown, "another leader committed a different entry at this log index");
    }
    m_finished.push_back(FinishedProposal { pending.proposalId, std::move(result) });
}

void Replica::finishUndecided()
{
    if (isLeader()) {
        return;
    }
    finishPending("the leader lost its quorum");
}

void Replica::finishPending(const char *reason)
{
    // The next leader may still commit these entries.
    for (const auto &[index, pending] : std::exchange(m_pending, {})) {
        m_finished.push_back(FinishedProposal { pending.proposalId, failure(ResultCode::ChangeOutcomeUnknown, reason) });
    }
}

void Replica::compactIfDue()
{
    const SnapshotPointer &last = m_raft->log().snapshot();
    const std::uint64_t lastIndex = last == nullptr ? 0 : last->index.value();
    if (m_raft->commitIndex().value() - lastIndex < m_settings.entriesPerSnapshot) {
        return;
    }
    const SnapshotPointer snapshot = m_raft->compact(m_state.encodeImage(), m_settings.entriesPerSnapshot / RetainedEntriesDivisor);
    const RaftLog &log = m_raft->log();
    checkStoreResult(m_store->saveSnapshot(*snapshot, log.range(next(log.baseIndex()), log.lastIndex())));
}

void Replica::checkStoreResult(const Result<void> &result)
{
    if (result || isStopped()) {
        return;
    }
    if (result.error().code == ResultCode::StoreWriteFailed && m_settings.reopenStore) {
        m_suspension = result.error();
        ++m_suspensionCount;
    } else {
        m_storeFailure = result.error();
    }
}

void Replica::sendRaft(const RaftMessage &message)
{
    m_outgoing.push_back(RaftEnvelope { message.to.instance, Control::encode(message) });
}

void Replica::runJoin(Instant now)
{
    if (m_isLeaving) {
        return;
    }
    updatePeers();
    for (const RaftMessage &message : m_join->tick(joinView(), now)) {
        sendRaft(message);
    }
    if (m_join->mayBootstrap(joinView(), now)) {
        processOutput(m_raft->bootstrap(m_settings.voters, m_state.encodeImage(), m_settings.instance.value(), now));
    }
}

void Replica::updatePeers()
{
    std::vector<InstanceId> peers = m_settings.seeds;
    for (const Member &member : m_raft->log().membership().members) {
        if (std::find(peers.begin(), peers.end(), member.id.instance) == peers.end()) {
            peers.push_back(member.id.instance);
        }
    }
    m_join->setPeers(std::move(peers));
}

RaftJoin::View Replica::joinView() const
{
    RaftJoin::View view;
    view.membership = &m_raft->log().membership();
    view.isMember = view.membership->find(m_raft->self()) != nullptr;
    view.isLeader = isLeader();
    view.hasLeader = m_raft->leader().has_value();
    view.isEmpty = m_raft->log().lastIndex() == LogIndex() && m_raft->term() == Term();
    return view;
}

}
