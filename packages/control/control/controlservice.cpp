#include "control/controlservice.h"

#include <algorithm>
#include <utility>

#include "control/codecs.h"

namespace Galenabarrow::Control
{

namespace
{

/// Maximum size of the contracts in one feed reply; well below the maximum size of a frame.
constexpr std::size_t MaxFeedBytes = std::size_t { 256 } * 1024;
/// Larger commands are rejected, so that an append always fits into a frame.
constexpr std::size_t MaxCommandBytes = std::size_t { 128 } * 1024;
/// Maximum number of proposals that wait for their commit on the leader.
constexpr std::size_t MaxPending = 4096;
/// After a snapshot, the last entriesPerSnapshot / RetainedEntriesDivisor entries before it are retained, so that a follower
/// that lags only a little needs no snapshot.
constexpr std::uint64_t RetainedEntriesDivisor = 4;

ProposalResult refusal(ResultCode code)
{
    ProposalResult result;
    result.code = code;
    return result;
}

std::vector<InstanceId> instancesOf(const std::vector<ControlPeer> &peers)
{
    std::vector<InstanceId> instances;
    instances.reserve(peers.size());
    for (const ControlPeer &peer : peers) {
        instances.push_back(peer.instance);
    }
    return instances;
}

}

Result<std::unique_ptr<ControlService>> ControlService::open(ControlSettings settings, std::unique_ptr<LogStore> store,
                                                             RandomSource &random, Instant now)
{
    const Result<StoreContents> contents = store->load();
    if (!contents) {
        return tl::make_unexpected(contents.error());
    }
    std::unique_ptr<ControlService> service(new ControlService(std::move(settings), std::move(store), random, *contents, now));
    if (service->m_storeFailure) {
        return tl::make_unexpected(*service->m_storeFailure);
    }
    return service;
}

ControlService::ControlService(ControlSettings settings, std::unique_ptr<LogStore> store, RandomSource &random,
                               const StoreContents &contents, Instant now)
    : m_settings(std::move(settings))
    , m_store(std::move(store))
    , m_raft(ReplicaId { m_settings.instance, contents.incarnation }, m_settings.timing, random, contents.hardState, contents.snapshot,
             contents.entries, now)
    , m_join(m_raft.self(), instancesOf(m_settings.peers), m_settings.bootstrap, m_settings.timing.join, random)
    , m_now(now)
    , m_lastTicket(random.next())
    , m_lastCorrelation(random.next())
{
    if (contents.snapshot != nullptr) {
        checkStoreResult(m_state.restoreImage(contents.snapshot->state));
    }
}

void ControlService::tick(Instant now)
{
    m_now = now;
    if (m_storeFailure) {
        return;
    }
    m_raft.setRetiredReplicas(retiredReplicas());
    handleOutput(m_raft.tick(now));
    runJoin();
    finishUndecided();
}

Result<void> ControlService::receive(const Wire::Envelope &envelope, Instant now)
{
    using Handler = Result<void> (ControlService::*)(const Wire::Envelope &);
    static const std::map<Wire::MessageKind, Handler> Handlers {
        { Wire::MessageKind::Raft, &ControlService::receiveRaft },
        { Wire::MessageKind::FeedRequest, &ControlService::receiveFeedRequest },
        { Wire::MessageKind::ProposeRequest, &ControlService::receiveProposal },
        { Wire::MessageKind::ProposeReply, &ControlService::receiveProposeReply },
    };
    m_now = now;
    const auto handler = Handlers.find(envelope.kind);
    if (m_storeFailure || handler == Handlers.end()) {
        return {};
    }
    return (this->*handler->second)(envelope);
}

ProposalTicket ControlService::propose(const Command &command, Instant now)
{
    m_now = now;
    const ProposalTicket ticket(++m_lastTicket);
    handleProposal(encode(command), Origin { {}, ticket.value() }, false);
    return ticket;
}

std::vector<Outgoing> ControlService::takeOutgoing()
{
    while (m_unsyncedWrite && !m_storeFailure) {
        const WriteNumber number = *std::exchange(m_unsyncedWrite, std::nullopt);
        checkStoreResult(m_store->sync());
        if (!m_storeFailure) {
            handleOutput(m_raft.persisted(number, m_now));
        }
    }
    std::vector<Outgoing> outgoing = std::exchange(m_outgoing, {});
    if (m_storeFailure) {
        outgoing.clear();
    }
    return outgoing;
}

std::vector<FinishedProposal> ControlService::takeFinished()
{
    return std::exchange(m_finished, {});
}

const std::optional<Error> &ControlService::storeFailure() const
{
    return m_storeFailure;
}

ControlStatus ControlService::status(Instant now) const
{
    ControlStatus status;
    status.isLeader = m_raft.role() == RaftCore::Role::Leader;
    status.membership = m_raft.log().membershipAt(m_raft.commitIndex());
    status.isVoter = status.membership.isVoter(m_raft.self());
    status.leader = m_raft.leader() ? m_raft.leader()->instance : InstanceId();
    status.term = m_raft.term();
    status.commit = m_raft.commitIndex();
    status.isFormed = isFormed();
    if (const std::optional<Confirmation> confirmation = m_raft.confirmation(now)) {
        status.freshnessAge = now - confirmation->madeAt;
    }
    return status;
}

bool ControlService::isConfirmedLeader(Instant now) const
{
    const std::optional<Confirmation> confirmation = m_raft.confirmation(now);
    return m_raft.role() == RaftCore::Role::Leader && confirmation && now - confirmation->madeAt < m_settings.timing.election;
}

const ContractState &ControlService::state() const
{
    return m_state;
}

void ControlService::handleOutput(const RaftOutput &output)
{
    write(output);
    if (m_storeFailure) {
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

void ControlService::write(const RaftOutput &output)
{
    if (output.hardState) {
        checkStoreResult(m_store->writeHardState(*output.hardState));
    }
    if (output.install != nullptr && !m_storeFailure) {
        checkStoreResult(m_state.restoreImage(output.install->state));
        if (!m_storeFailure) {
            checkStoreResult(m_store->saveSnapshot(*output.install, {}));
        }
    }
    if (!output.append.empty() && !m_storeFailure) {
        checkStoreResult(m_store->append(output.append));
    }
    if (output.write) {
        m_unsyncedWrite = output.write;
    }
}

void ControlService::checkStoreResult(const Result<void> &done)
{
    if (!done && !m_storeFailure) {
        m_storeFailure = done.error();
    }
}

void ControlService::applyEntry(const LogEntry &entry)
{
    const ProposalResult result = m_state.apply(entry);
    const auto it = m_pending.find(entry.index);
    if (it == m_pending.end()) {
        return;
    }
    const PendingProposal pending = it->second;
    m_pending.erase(it);
    answer(pending.origin, pending.term == entry.term ? result : refusal(ResultCode::ChangeOutcomeUnknown));
}

void ControlService::finishUndecided()
{
    if (m_raft.role() != RaftCore::Role::Leader) {
        // The outcome of these entries is unknown: the next leader may still commit them.
        for (const auto &[index, pending] : std::exchange(m_pending, {})) {
            answer(pending.origin, refusal(ResultCode::ChangeOutcomeUnknown));
        }
    }
    std::erase_if(m_forwarded, [this](const auto &row) {
        const bool isLate = m_now >= row.second.deadline;
        if (isLate) {
            answer(row.second.origin, refusal(ResultCode::ChangeOutcomeUnknown));
        }
        return isLate;
    });
}

void ControlService::compactIfDue()
{
    const SnapshotPointer &last = m_raft.log().snapshot();
    const std::uint64_t lastIndex = last == nullptr ? 0 : last->index.value();
    if (m_raft.commitIndex().value() - lastIndex < m_settings.entriesPerSnapshot) {
        return;
    }
    const SnapshotPointer snapshot = m_raft.compact(m_state.encodeImage(), m_settings.entriesPerSnapshot / RetainedEntriesDivisor);
    const RaftLog &log = m_raft.log();
    checkStoreResult(m_store->saveSnapshot(*snapshot, log.range(next(log.baseIndex()), log.lastIndex())));
}

void ControlService::sendRaft(const RaftMessage &message)
{
    enqueue(addressOf(message.to.instance), Wire::MessageKind::Raft, 0, encode(message));
}

void ControlService::handleProposal(const Bytes &command, Origin origin, bool isForwarded)
{
    if (command.size() > MaxCommandBytes || !decodeCommand(command)) {
        answer(origin, refusal(ResultCode::ContractInvalid));
        return;
    }
    if (m_raft.role() != RaftCore::Role::Leader) {
        const std::optional<ReplicaId> &leader = m_raft.leader();
        if (isForwarded || !leader) {
            answer(origin, refusal(isForwarded ? ResultCode::NotLeader : ResultCode::NoQuorum));
        } else {
            forward(command, origin, leader->instance);
        }
        return;
    }
    if (!isFormed() || m_pending.size() >= MaxPending) {
        answer(origin, refusal(ResultCode::NoQuorum));
        return;
    }
    RaftOutput output;
    const std::optional<RaftCore::Position> position = m_raft.propose(command, m_now, output);
    if (position) {
        m_pending[position->index] = PendingProposal { std::move(origin), position->term };
    } else {
        answer(origin, refusal(ResultCode::NoQuorum)); // stepped down during the call, for lack of a quorum
    }
    handleOutput(output);
}

void ControlService::forward(const Bytes &command, const Origin &origin, const InstanceId &leader)
{
    ++m_lastCorrelation;
    m_forwarded[m_lastCorrelation] = ForwardedProposal { origin, m_now + m_settings.forwardTimeout };
    enqueue(addressOf(leader), Wire::MessageKind::ProposeRequest, m_lastCorrelation, encode(ProposeRequest { true, command }));
}

void ControlService::answer(const Origin &origin, const ProposalResult &result)
{
    if (origin.address.empty()) {
        m_finished.push_back(FinishedProposal { ProposalTicket(origin.correlation), result });
    } else {
        enqueue(origin.address, Wire::MessageKind::ProposeReply, origin.correlation, encode(result));
    }
}

Result<void> ControlService::receiveFeedRequest(const Wire::Envelope &envelope)
{
    const Result<FeedRequest> request = decodeFeedRequest(envelope.payload);
    if (!request) {
        return tl::make_unexpected(request.error());
    }
    FeedReply reply = m_state.changesAfter(request->after, MaxFeedBytes);
    if (const std::optional<Confirmation> confirmation = m_raft.confirmation(m_now)) {
        reply.stamp = FreshnessStamp { confirmation->index, m_now - confirmation->madeAt };
    }
    reply.term = m_raft.term();
    enqueue(envelope.senderAddress, Wire::MessageKind::FeedReply, envelope.correlation, encode(reply));
    return {};
}

Result<void> ControlService::receiveRaft(const Wire::Envelope &envelope)
{
    const Result<RaftMessage> message = decodeRaftMessage(envelope.payload);
    if (!message) {
        return tl::make_unexpected(message.error());
    }
    if (message->from.instance != envelope.sender || message->to.instance != m_settings.instance) {
        return {};
    }
    m_addresses[envelope.sender] = envelope.senderAddress;
    if (message->kind == RaftKind::JoinRequest || message->kind == RaftKind::JoinReply) {
        receiveJoin(*message, envelope.senderAddress);
    } else {
        handleOutput(m_raft.receive(*message, m_now));
    }
    return {};
}

Result<void> ControlService::receiveProposal(const Wire::Envelope &envelope)
{
    const Result<ProposeRequest> request = decodeProposeRequest(envelope.payload);
    if (!request) {
        return tl::make_unexpected(request.error());
    }
    handleProposal(request->command, Origin { envelope.senderAddress, envelope.correlation }, request->isForwarded);
    return {};
}

Result<void> ControlService::receiveProposeReply(const Wire::Envelope &envelope)
{
    const auto it = m_forwarded.find(envelope.correlation);
    if (it == m_forwarded.end()) {
        return {};
    }
    const Result<ProposalResult> result = decodeProposalResult(envelope.payload);
    if (!result) {
        return tl::make_unexpected(result.error());
    }
    const Origin origin = it->second.origin;
    m_forwarded.erase(it);
    answer(origin, *result);
    return {};
}

void ControlService::receiveJoin(const RaftMessage &message, const std::string &senderAddress)
{
    for (const RaftMessage &reply : m_join.receive(message, joinView(), m_now)) {
        sendRaft(reply);
    }
    if (const std::optional<ReplicaId> joiner = m_join.takeJoiner()) {
        m_raft.addJoiner(Member { *joiner, senderAddress, false }, m_now);
    }
}

void ControlService::runJoin()
{
    for (const RaftMessage &message : m_join.tick(joinView(), m_now)) {
        sendRaft(message);
    }
    if (m_join.mayBootstrap(joinView(), m_now)) {
        const auto target = static_cast<std::uint32_t>(m_settings.peers.size());
        handleOutput(m_raft.bootstrap(target, m_state.encodeImage(), addressOf(m_settings.instance), m_now));
    }
}

RaftJoin::View ControlService::joinView() const
{
    RaftJoin::View view;
    view.isMember = m_raft.log().membership().find(m_raft.self()) != nullptr;
    view.isLeader = m_raft.role() == RaftCore::Role::Leader;
    view.hasLeader = m_raft.leader().has_value();
    view.isEmpty = m_raft.log().lastIndex() == LogIndex() && m_raft.term() == Term();
    return view;
}

std::vector<ReplicaId> ControlService::retiredReplicas() const
{
    std::vector<ReplicaId> retired;
    for (const Member &member : m_raft.log().membership().members) {
        const auto isListed = [&member](const ControlPeer &peer) { return peer.instance == member.id.instance; };
        if (std::none_of(m_settings.peers.begin(), m_settings.peers.end(), isListed)) {
            retired.push_back(member.id);
        }
    }
    return retired;
}

bool ControlService::isFormed() const
{
    return m_raft.log().membershipAt(m_raft.commitIndex()).isFormed;
}

void ControlService::enqueue(std::string address, Wire::MessageKind kind, std::uint64_t correlation, Bytes payload)
{
    if (!address.empty()) {
        m_outgoing.push_back(Outgoing { std::move(address), kind, correlation, std::move(payload) });
    }
}

std::string ControlService::addressOf(const InstanceId &instance) const
{
    const auto seen = m_addresses.find(instance);
    if (seen != m_addresses.end()) {
        return seen->second;
    }
    const auto peer =
        std::find_if(m_settings.peers.begin(), m_settings.peers.end(), [&](const ControlPeer &it) { return it.instance == instance; });
    return peer == m_settings.peers.end() ? std::string() : peer->address;
}

}
