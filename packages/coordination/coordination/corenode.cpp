#include "coordination/corenode.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "coordination/corenodepeer.h"
#include "routing/codec.h"
#include "routing/rules.h"

namespace Galenabarrow::Coordination
{

namespace
{

/// Interval of the checks of elections, links and deadlines; a tenth of the shortest of these times.
constexpr Duration TickInterval = std::chrono::milliseconds(40);
/// Interval of the updates to an entry when nothing changes. An entry switches to another core instance after three of them.
constexpr Duration FeedInterval = std::chrono::milliseconds(400);
/// Shorter than the second after which a caller of the control API turns to another instance.
constexpr Duration ForwardTimeout = std::chrono::milliseconds(850);
constexpr Duration ReadTimeout = std::chrono::milliseconds(850);
/// Time between an order and its proposal: a sender that gave up has closed its connection, and the close may arrive after the order.
constexpr Duration OrderDelay = std::chrono::milliseconds(25);
/// A process whose ticks are further apart was stalled; shorter than the second after which a sender turns to another instance.
constexpr Duration StallLimit = std::chrono::milliseconds(500);
/// Time after a stall in which received orders may have waited since before it.
constexpr Duration StallRecovery = std::chrono::milliseconds(100);
/// Announcements are rejected when the last confirmation by a quorum is older than this, so that servers turn to an instance
/// with a quorum.
constexpr Duration MaxConfirmationAge = std::chrono::milliseconds(1500);

/// Commands that exceed the size of a frame must not even enter the log: no instance could send them to the others.
Result<void> checkSize(ByteView command)
{
    static_assert(Routing::MaxCommandBytes < Wire::MaxFrameBody);
    if (command.size() > Routing::MaxCommandBytes) {
        return failure(ResultCode::ConfigInvalid,
                       "the command takes " + std::to_string(command.size()) + " bytes, the limit is "
                           + std::to_string(Routing::MaxCommandBytes));
    }
    return {};
}

}

CoreNode::CoreNode(Net::EventLoop &loop, CoreSettings settings, std::unique_ptr<Replica> replica, const Wire::FrameCodec &codec,
                   RandomSource &random)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_replica(std::move(replica))
    , m_codec(codec)
    , m_log("core")
    , m_links(loop, codec, m_settings.replica.instance, makeIncarnation())
    , m_listener(loop, [this](std::shared_ptr<Net::Stream> stream) { accept(std::move(stream)); })
    , m_startedAt(loop.now())
    , m_lastCorrelation(random.next())
{
}

CoreNode::~CoreNode() = default;

Result<void> CoreNode::start()
{
    const std::optional<Net::SocketAddress> address = Net::parseSocketAddress(m_settings.replica.instance.value());
    if (!address || !m_listener.listen(*address)) {
        return failure(ResultCode::AddressUnavailable, "cannot listen at " + m_settings.replica.instance.value());
    }
    tick();
    return {};
}

void CoreNode::setSeeds(const std::vector<InstanceId> &seeds)
{
    m_replica->setSeeds(seeds);
}

void CoreNode::startLeaving()
{
    m_replica->startLeaving();
}

bool CoreNode::hasLeft() const
{
    return m_replica->hasLeft();
}

void CoreNode::onStoreFailure(std::function<void(const Error &)> callback)
{
    m_storeFailureCallback = std::move(callback);
}

const Replica &CoreNode::replica() const
{
    return *m_replica;
}

CoreStatus CoreNode::status() const
{
    CoreStatus status;
    status.isLeader = m_replica->isLeader();
    status.isLeaderKnown = m_replica->leader().has_value();
    status.term = m_replica->term().value();
    status.commitIndex = m_replica->commitIndex().value();
    status.configVersion = m_replica->state().config().version.value();
    status.members = m_replica->membership().members.size();
    status.voters = m_replica->membership().voterCount();
    status.membershipChanges = m_membershipLog.changeCount();
    status.refusedJoins = m_membershipLog.refusalCount();
    if (const auto &attempt = m_replica->joinAttempt()) {
        status.joinAge = m_loop.now() - attempt->startedAt;
    }
    if (const auto confirmedAt = m_replica->confirmedAt(m_loop.now())) {
        status.confirmedAge = m_loop.now() - *confirmedAt;
    }
    status.entries = m_entries.liveCount(m_loop.now());
    status.entriesLost = m_entriesLost;
    status.feedBytes = m_feedBytes;
    status.remoteFeedBytes = m_remoteFeedBytes;
    status.sentBytes = m_links.sentBytes();
    status.feedsDeferred = m_feedsDeferred;
    for (const auto &[id, server] : m_replica->state().servers()) {
        status.readyServers += server.state == Routing::ServerState::Ready ? 1 : 0;
        status.drainingServers += server.state == Routing::ServerState::Draining ? 1 : 0;
    }
    status.evacuations = m_replica->state().activeEvacuations();
    status.isSuspended = m_replica->suspension().has_value();
    status.suspensions = m_replica->suspensionCount();
    status.ordersDropped = m_ordersDropped;
    status.quotas = m_quotas.status();
    status.silentServers = silentServers().size();
    status.silentLinks = m_links.silentCount();
    status.coldServers = m_cold.size(m_loop.now());
    return status;
}

void CoreNode::detectStall()
{
    const Instant now = m_loop.now();
    if (m_tickedAt != Instant {} && now - m_tickedAt > StallLimit) {
        m_stalledUntil = now + StallRecovery;
        m_log.warn("stalled",
                   { { "duration_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - m_tickedAt).count()) } });
    }
    m_tickedAt = now;
}

bool CoreNode::wasStalled() const
{
    const Instant now = m_loop.now();
    return now - m_tickedAt > StallLimit || (m_stalledUntil && now < *m_stalledUntil);
}

void CoreNode::tick()
{
    detectStall();
    m_replica->tick(m_loop.now());
    m_links.tick();
    dropSilentEntries();
    logLeaderChange();
    logSuspension();
    for (const MembershipLog::Event &it : m_membershipLog.update(*m_replica, m_loop.now())) {
        m_log.info(it.name, it.fields);
    }
    feedOnConfirmation();
    std::set<InstanceId> members;
    for (const Control::Member &it : m_replica->membership().members) {
        members.insert(it.id.instance);
    }
    m_reporter.updateMembers(members);
    if (m_reporter.isDue(m_loop.now())) {
        reportToCore();
    }
    processReplicaOutput();
    expireForwarded();
    if (m_facts.isDivisionDue(m_loop.now())) {
        divideLimits();
    }
    exchangeQuotas();
    if (m_cold.isDivisionDue(m_loop.now())) {
        divideCold();
        feedCold();
    }
    if (m_loop.now() - m_lastFeed >= FeedInterval) {
        feedAll(true);
    }
    m_loop.after(TickInterval, [this] { tick(); });
}

void CoreNode::logLeaderChange()
{
    const std::optional<InstanceId> leader = m_replica->leader();
    if (leader == m_knownLeader) {
        return;
    }
    m_knownLeader = leader;
    m_log.info("leader_changed",
               { { "leader", leader ? leader->value() : "none" },
                 { "term", std::to_string(m_replica->term().value()) },
                 { "members", std::to_string(m_replica->membership().members.size()) },
                 { "voters", std::to_string(m_replica->membership().voterCount()) } });
}

void CoreNode::logSuspension()
{
    const bool wasSuspended = std::exchange(m_wasSuspended, m_replica->suspension().has_value());
    if (m_wasSuspended && !wasSuspended) {
        m_log.error("store_suspended", { { "detail", m_replica->suspension()->detail } });
    } else if (wasSuspended && !m_wasSuspended) {
        m_log.info("store_resumed");
    }
}

void CoreNode::feedOnConfirmation()
{
    const bool wasUpToDate = std::exchange(m_wasUpToDate, isUpToDate());
    if (m_wasUpToDate && !wasUpToDate) {
        feedAll(true); // starting entries get no state before the confirmation
    }
}

void CoreNode::logChanges()
{
    const Routing::RoutingState &state = m_replica->state();
    if (state.configAt() > m_fedIndex) {
        m_log.info("config_applied",
                   { { "version", std::to_string(state.config().version.value()) },
                     { "routes", std::to_string(state.config().routes.size()) },
                     { "index", std::to_string(state.configAt().value()) } });
    }
    for (const auto &[dataCentre, evacuation] : state.evacuations()) {
        if (evacuation.changedAt > m_fedIndex) {
            m_log.info(evacuation.isActive ? "evacuation_started" : "evacuation_ended",
                       { { "data_centre", dataCentre.value() }, { "index", std::to_string(evacuation.changedAt.value()) } });
        }
    }
    // Only the leader logs a change of a server, so that each change is logged once. The leader applies it first.
    if (!m_replica->isLeader()) {
        return;
    }
    for (const auto &[id, server] : state.servers()) {
        if (server.changedAt > m_fedIndex) {
            m_log.info("server_changed",
                       { { "server", id.value() },
                         { "address", server.address },
                         { "state", std::string(Routing::serverStateName(server.state)) },
                         { "born", std::to_string(server.born) },
                         { "sequence", std::to_string(server.sequence) },
                         { "index", std::to_string(server.changedAt.value()) } });
        }
    }
}

void CoreNode::scheduleProcessing()
{
    if (!m_isProcessingScheduled) {
        m_isProcessingScheduled = true;
        m_loop.defer([this] { processReplicaOutput(); });
    }
}

void CoreNode::processReplicaOutput()
{
    m_isProcessingScheduled = false;
    for (RaftEnvelope &it : m_replica->takeOutgoing(m_loop.now())) {
        m_links.send(it.to, Wire::MessageKind::Raft, 0, std::move(it.payload));
    }
    if (m_replica->storeFailure()) {
        if (m_storeFailureCallback) {
            m_storeFailureCallback(*m_replica->storeFailure());
        }
        return;
    }
    if (m_replica->state().changedAt() > m_fedIndex) {
        logChanges();
        startColdAfterEvacuations();
        divideCold(); // the update that makes a server cold contains the shares in it
        feedAll(false);
    }
    for (const FinishedProposal &it : m_replica->takeFinished()) {
        const auto proposal = m_proposals.find(it.proposalId);
        if (proposal != m_proposals.end()) {
            const ResultCallback done = std::move(proposal->second);
            m_proposals.erase(proposal);
            done(it.result);
        }
    }
    finishReads();
}

void CoreNode::submit(Routing::ConfigChange change, ResultCallback done)
{
    // Replicas validate every change when they apply it.
    if (Routing::encodedBound(change.config) > Routing::MaxConfigBytes) {
        done(failure(ResultCode::ConfigInvalid, "the configuration exceeds the maximum size"));
        return;
    }
    Routing::Command command;
    command.change = std::move(change);
    propose(command, std::move(done));
}

void CoreNode::announce(const Routing::BackendServer &update, ResultCallback done)
{
    if (!isUpToDate() || wasStalled()) {
        done(failure(ResultCode::NoQuorum, "no quorum has confirmed the state recently"));
        return;
    }
    m_lastAnnouncedAt[update.id] = m_loop.now();
    m_reporter.recordAnnouncement(update.id);
    if (!m_replica->state().wouldChange(update)) {
        logWithoutEffect(update);
        done({});
        return;
    }
    Routing::Command command;
    command.update = update;
    propose(command, std::move(done));
}

void CoreNode::logWithoutEffect(const Routing::BackendServer &update)
{
    const auto &servers = m_replica->state().servers();
    const auto known = servers.find(update.id);
    if (known != servers.end() && known->second.state >= update.state) {
        return; // most announcements only repeat the known state
    }
    m_log.info("announcement_without_effect",
               { { "server", update.id.value() },
                 { "address", update.address },
                 { "state", std::string(Routing::serverStateName(update.state)) },
                 { "born", std::to_string(update.born) },
                 { "sequence", std::to_string(update.sequence) },
                 { "known_state", known == servers.end() ? "none" : std::string(Routing::serverStateName(known->second.state)) },
                 { "known_born", known == servers.end() ? "none" : std::to_string(known->second.born) },
                 { "known_sequence", known == servers.end() ? "none" : std::to_string(known->second.sequence) } });
}

void CoreNode::withdraw(const Routing::BackendServer &withdrawal, PresenceCheck isSenderPresent, ResultCallback done)
{
    Routing::Command command;
    command.withdrawal = withdrawal;
    proposeOrder(std::move(command), std::move(isSenderPresent), std::move(done));
}

void CoreNode::evacuate(const DataCentreId &dataCentre, bool isActive, PresenceCheck isSenderPresent, ResultCallback done)
{
    Routing::Command command;
    command.evacuation = Routing::Evacuation { dataCentre, isActive, {} };
    proposeOrder(std::move(command), std::move(isSenderPresent), std::move(done));
}

void CoreNode::proposeOrder(Routing::Command order, PresenceCheck isSenderPresent, ResultCallback done)
{
    if (wasStalled()) {
        done(failure(ResultCode::NoQuorum, "the order may have waited while this process did not run"));
        return;
    }
    order.knownIndex = m_replica->commitIndex();
    m_loop.after(OrderDelay, [this, order = std::move(order), isSenderPresent = std::move(isSenderPresent), done = std::move(done)] {
        if (isSenderPresent()) {
            // Proposed even when it would not change the state of this replica, which may lag behind.
            propose(order, done);
            return;
        }
        ++m_ordersDropped;
        m_log.info("order_dropped",
                   { { "subject", order.evacuation ? order.evacuation->dataCentre.value() : order.withdrawal->id.value() },
                     { "reason", "the sender has closed its connection" } });
    });
}

std::optional<bool> CoreNode::isKnownDataCentre(const DataCentreId &dataCentre) const
{
    const bool isKnown = m_replica->state().namesDataCentre(dataCentre);
    return isKnown || isUpToDate() ? std::optional(isKnown) : std::nullopt;
}

void CoreNode::readConfig(ConfigCallback done)
{
    m_reads.push_back(PendingRead { std::move(done), m_loop.now() });
}

std::vector<std::string> CoreNode::resolve(std::size_t limit, std::string_view caller) const
{
    SlotsByDataCentre slots;
    for (const auto &[id, server] : m_replica->state().servers()) {
        if (server.state == Routing::ServerState::Ready) {
            slots[server.dataCentre] += server.slots;
        }
    }
    return m_entries.choose(slots, limit, caller, m_loop.now());
}

void CoreNode::propose(const Routing::Command &command, ResultCallback done)
{
    Bytes bytes = Routing::encode(command);
    if (const Result<void> checked = checkSize(bytes); !checked) {
        done(checked);
        return;
    }
    const Result<ProposalId> proposalId = m_replica->propose(command, bytes, m_loop.now());
    if (proposalId) {
        m_proposals.emplace(*proposalId, std::move(done));
        scheduleProcessing();
        return;
    }
    if (proposalId.error().code != ResultCode::NotLeader) {
        done(tl::make_unexpected(proposalId.error()));
        return;
    }
    const std::optional<InstanceId> leader = m_replica->leader();
    if (!leader || *leader == m_settings.replica.instance) {
        done(failure(ResultCode::NoQuorum, "no leader is known"));
        return;
    }
    ++m_lastCorrelation;
    m_forwarded.emplace(m_lastCorrelation, ForwardedProposal { std::move(done), m_loop.now() + ForwardTimeout });
    m_links.send(*leader, Wire::MessageKind::ProposeRequest, m_lastCorrelation, std::move(bytes));
}

void CoreNode::expireForwarded()
{
    std::vector<ResultCallback> late;
    std::erase_if(m_forwarded, [&](auto &row) {
        const bool isLate = m_loop.now() >= row.second.deadline;
        if (isLate) {
            late.push_back(std::move(row.second.done));
        }
        return isLate;
    });
    for (const ResultCallback &it : late) {
        it(failure(ResultCode::ChangeOutcomeUnknown, "the leader did not reply in time"));
    }
}

void CoreNode::finishReads()
{
    const std::optional<Instant> confirmedAt = m_replica->confirmedAt(m_loop.now());
    std::vector<std::pair<ConfigCallback, bool>> finished;
    m_reads.remove_if([&](PendingRead &read) {
        // Strictly later than the request: a confirmation from before a suspension of the process must not count.
        const bool isConfirmed = confirmedAt && *confirmedAt > read.requestedAt;
        const bool isLate = m_loop.now() - read.requestedAt > ReadTimeout;
        if (isConfirmed || isLate) {
            finished.emplace_back(std::move(read.done), isConfirmed);
        }
        return isConfirmed || isLate;
    });
    for (const auto &[done, isConfirmed] : finished) {
        done(isConfirmed ? &m_replica->state().config() : nullptr);
    }
}

bool CoreNode::isUpToDate() const
{
    const std::optional<Instant> confirmedAt = m_replica->confirmedAt(m_loop.now());
    return confirmedAt && m_loop.now() - *confirmedAt < MaxConfirmationAge;
}

void CoreNode::accept(std::shared_ptr<Net::Stream> stream)
{
    auto peer = std::make_shared<Peer>();
    peer->frames = std::make_unique<Net::FrameStream>(std::move(stream), m_codec);
    peer->frames->onFrame([this, weak = std::weak_ptr(peer)](const std::vector<std::uint8_t> &frame) {
        if (const auto strong = weak.lock()) {
            receive(strong, frame);
        }
    });
    peer->frames->onEnd([this, weak = std::weak_ptr(peer)](const Error &error) {
        const auto strong = weak.lock();
        if (strong == nullptr) {
            return;
        }
        if (error.code != ResultCode::Unreachable) {
            m_log.warn("frame_refused", { { "code", std::string(resultCodeName(error.code)) }, { "detail", error.detail } });
        }
        m_loop.defer([this, strong] { m_peers.erase(strong); });
    });
    m_peers.insert(std::move(peer));
}

void CoreNode::receive(const std::shared_ptr<Peer> &peer, ByteView frame)
{
    const Result<Wire::Envelope> envelope = Wire::decodeEnvelope(frame);
    if (!envelope) {
        m_log.warn("frame_refused", { { "detail", envelope.error().detail } });
        return;
    }
    if (envelope->kind == Wire::MessageKind::EntryReport) {
        receiveEntryReport(peer, *envelope);
        return;
    }
    if (envelope->kind == Wire::MessageKind::QuotaUsage) {
        m_quotas.receiveUsage(*envelope, m_loop.now());
        return;
    }
    acknowledge(peer);
    if (envelope->kind == Wire::MessageKind::Raft) {
        if (const Result<void> done = m_replica->receive(envelope->payload, m_loop.now()); !done) {
            m_log.warn("frame_refused", { { "detail", done.error().detail } });
        }
        scheduleProcessing();
    } else if (envelope->kind == Wire::MessageKind::ProposeRequest) {
        receiveProposal(*envelope);
    } else if (envelope->kind == Wire::MessageKind::ProposeReply) {
        receiveReply(*envelope);
    } else if (envelope->kind == Wire::MessageKind::CoreReport) {
        receiveCoreReport(*envelope);
    } else if (envelope->kind == Wire::MessageKind::QuotaTotals) {
        m_quotas.receiveTotals(*envelope, m_loop.now());
    }
}

void CoreNode::acknowledge(const std::shared_ptr<Peer> &peer)
{
    if (peer->isAcknowledgementDue) {
        return;
    }
    peer->isAcknowledgementDue = true;
    m_loop.after(PeerLinks::AcknowledgeDelay, [this, weak = std::weak_ptr(peer)] {
        if (const auto strong = weak.lock(); strong != nullptr && strong->frames->isOpen()) {
            strong->isAcknowledgementDue = false;
            Wire::Envelope envelope;
            envelope.sender = m_settings.replica.instance;
            envelope.senderAddress = m_settings.replica.instance.value();
            envelope.kind = Wire::MessageKind::LinkAcknowledgement;
            strong->frames->send(Wire::encode(envelope));
        }
    });
}

void CoreNode::receiveProposal(const Wire::Envelope &envelope)
{
    const ResultCallback reply = [this, to = envelope.sender, correlation = envelope.correlation](const Result<void> &result) {
        m_links.send(to, Wire::MessageKind::ProposeReply, correlation, encodeResult(result));
    };
    const Result<Routing::Command> command = Routing::decodeCommand(envelope.payload);
    if (!command) {
        reply(tl::make_unexpected(command.error()));
        return;
    }
    if (const Result<void> checked = checkSize(envelope.payload); !checked) {
        reply(checked);
        return;
    }
    const Result<ProposalId> proposalId = m_replica->propose(*command, envelope.payload, m_loop.now());
    if (!proposalId) {
        reply(tl::make_unexpected(proposalId.error()));
        return;
    }
    m_proposals.emplace(*proposalId, reply);
    scheduleProcessing();
}

void CoreNode::receiveReply(const Wire::Envelope &envelope)
{
    const auto it = m_forwarded.find(envelope.correlation);
    if (it == m_forwarded.end()) {
        return;
    }
    const ResultCallback done = std::move(it->second.done);
    m_forwarded.erase(it);
    done(decodeResult(envelope.payload));
}

void CoreNode::receiveEntryReport(const std::shared_ptr<Peer> &peer, const Wire::Envelope &envelope)
{
    const Result<EntryReport> report = decodeEntryReport(envelope.payload);
    if (!report) {
        m_log.warn("frame_refused", { { "detail", report.error().detail } });
        return;
    }
    const bool isFirst = !peer->entry;
    peer->entry = report->entry;
    peer->firstContactAt = isFirst ? m_loop.now() : peer->firstContactAt;
    peer->lastContactAt = m_loop.now();
    peer->knownIndex = isFirst ? report->knownIndex : std::max(peer->knownIndex, report->knownIndex);
    const bool wasOpen = peer->window.isOpen();
    peer->window.recordReceived(report->receivedBytes);
    if (m_entries.update(report->entry, m_loop.now())) {
        m_reporter.recordEntryChange(report->entry.name);
    }
    const std::vector<ServerId> limited = m_facts.record(report->limits, m_loop.now());
    for (const ServerId &it : limited) {
        m_reporter.recordLimitChange(it);
    }
    if (!limited.empty()) {
        divideLimits();
    }
    if (m_facts.record(report->crashes, m_loop.now())) {
        m_reporter.recordCrash();
        feedEach();
    }
    const bool isBehind = !wasOpen && peer->window.isOpen() && peer->knownIndex < m_replica->state().changedAt();
    if (isFirst || isBehind) {
        FeedFrames frames;
        feed(*peer, frames);
    }
}

void CoreNode::receiveCoreReport(const Wire::Envelope &envelope)
{
    const Result<CoreReport> report = decodeCoreReport(envelope.payload);
    if (!report) {
        m_log.warn("frame_refused", { { "detail", report.error().detail } });
        return;
    }
    m_coreDirectory.recordReport(report->core.name, report->core.dataCentre, m_loop.now());
    m_reporter.updatePeer(report->core.name, envelope.incarnation);
    for (const ServerId &it : report->heard) {
        // The announcement is up to one report interval older, so a silent server is detected up to that much later.
        m_lastAnnouncedAt[it] = m_loop.now();
    }
    for (const CoreReport::Entry &it : report->entries) {
        m_entries.update(it.info, m_loop.now() - it.age);
        if (it.isLost) {
            m_entries.markLost(it.info.name);
        }
    }
    for (const CoreReport::Alive &it : report->alive) {
        m_entries.refresh(it.name, m_loop.now() - it.age);
    }
    if (!m_facts.record(report->limits, m_loop.now()).empty()) {
        divideLimits();
    }
    if (m_facts.record(report->crashes, m_loop.now())) {
        feedEach();
    }
}

void CoreNode::reportToCore()
{
    std::vector<CoreReporter::FedEntry> fed;
    for (const auto &it : m_peers) {
        if (it->entry) {
            fed.push_back(CoreReporter::FedEntry { *it->entry, it->lastContactAt });
        }
    }
    const CoreInstance self { m_settings.replica.instance, m_settings.dataCentre };
    const std::vector<std::uint8_t> payload =
        encode(m_reporter.takeReport(self, fed, m_facts.limits().limits(m_loop.now()), m_facts.crashes(), m_loop.now()));
    for (const Control::Member &it : m_replica->membership().members) {
        if (it.id.instance != m_settings.replica.instance) {
            m_links.send(it.id.instance, Wire::MessageKind::CoreReport, 0, payload);
        }
    }
}

}
