#include "daemon/entrynode.h"

#include <algorithm>
#include <utility>

#include "daemon/announcementinput.h"
#include "daemon/httpinput.h"
#include "daemon/lookupreply.h"
#include "entry/waitcodec.h"
#include "limits/baseline.h"
#include "limits/sharecodec.h"

namespace Galenabarrow::Daemon
{

namespace
{

constexpr Duration RegistrationTimeout = std::chrono::seconds(3);
constexpr Duration RegistrationRetryDelay = std::chrono::milliseconds(500);
// After this time without a reply, share requests are sent to all control instances, to find the leader.
constexpr Duration ShareReplyTimeout = std::chrono::milliseconds(2000);
// The same as the cluster tick, so that an idle entry wakes once for both.
constexpr Duration SyncInterval = std::chrono::milliseconds(20);
// A contract with a long deadline delays the baseline share of a new entry by that deadline. After this time the entry is
// listed nevertheless and serves with leased shares only.
constexpr Duration MaxUnlistedTime = std::chrono::seconds(30);
// Calls end at their deadline or up to 50 ms later, when they were forwarded; the rest is for the reply to reach the caller.
constexpr Duration StopReplyTime = std::chrono::milliseconds(200);
constexpr Duration HousekeepingInterval = std::chrono::milliseconds(100);

Entry::EngineConfig engineConfig(const Settings::DaemonSettings &settings)
{
    Entry::EngineConfig config;
    config.dataCentre = settings.instance.dataCentre;
    config.strategy = settings.routing.strategy;
    config.refusalPermille = settings.routing.refusalPermille;
    config.exchangesWaits = settings.routing.exchangeWaits;
    config.queueLimit = settings.limits.queueSize;
    return config;
}

Actions::RegistryLimits registryLimits(RandomSource &random)
{
    Actions::RegistryLimits limits;
    limits.hashSeed = random.next();
    return limits;
}

}

EntryNode::EntryNode(const Settings::DaemonSettings &settings, ClusterNode &cluster, Wire::PeerNetwork &network, std::mutex &lock,
                     WakeUpTimer &wakeUp, const Clock &clock)
    : m_cluster(cluster)
    , m_network(network)
    , m_lock(lock)
    , m_clock(clock)
    , m_statistics(clock)
    , m_registry(cluster.identity().instance, cluster.identity().incarnation, registryLimits(cluster.random()), clock.now())
    , m_limits(cluster.identity().instance, cluster.identity().incarnation, Limits::LimitTimes { settings.timings.freshnessLimit },
               clock.now())
    , m_dependencies(cluster, m_limits, m_registry, [this](Instant now) { requestShares(now); })
    , m_engine(engineConfig(settings), m_dependencies, m_dependencies, m_dependencies, m_dependencies, cluster.random())
    , m_upstream(clock)
    , m_runner(
          m_engine, m_dependencies, lock, m_upstream, [this](const ServerId &server) { return serverAddress(server); },
          cluster.identity().instance.value() + "." + std::to_string(cluster.identity().incarnation.value()), wakeUp, clock)
    , m_actions(
          cluster, m_registry, m_upstream, m_counters, lock, clock,
          [this](HttpRequest &request, const CallerInput &input, Instant deadline) { return runLocally(request, input, false, deadline); })
    , m_probes(settings.measuring, cluster, m_engine, lock, wakeUp, clock)
    , m_info(std::get<Membership::InstanceInfo>(cluster.gossip().self().body))
    , m_freshnessLimit(settings.timings.freshnessLimit)
{
}

EntryNode::~EntryNode()
{
    m_runner.stop();
}

HttpReply EntryNode::handleCaller(HttpRequest &request)
{
    return request.path() == "/v1/entries" ? handleLookup(request) : handleCall(request);
}

HttpReply EntryNode::handleAnnouncement(const HttpRequest &request)
{
    if (request.head.getMethod() != "POST" || request.path() != "/v1/announce") {
        return errorReply(404, Outcome::NotRun, ResultCode::PathUnknown, "only POST /v1/announce is served here");
    }
    const Result<Membership::ServerAnnouncement> announcement = parseAnnouncement(request.body);
    if (!announcement) {
        return errorReply(400, Outcome::NotRun, announcement.error().code, announcement.error().detail);
    }
    const Instant now = m_clock.now();
    const std::lock_guard lock(m_lock);
    const Result<Duration> lease = m_cluster.gossip().announce(*announcement, now);
    if (!lease) {
        const int status = lease.error().code == ResultCode::AnnouncementStale ? 409 : 400;
        return errorReply(status, Outcome::NotRun, lease.error().code, lease.error().detail);
    }
    m_cluster.flush(now);
    syncServers(now);
    return announcementReply(*lease);
}

void EntryNode::receive(const Wire::Envelope &envelope, Instant now)
{
    if (envelope.kind == Wire::MessageKind::WaitReports) {
        if (const auto reports = Entry::decodeWaitReports(envelope.payload)) {
            m_engine.receiveWaitReports(envelope.sender, *reports, now);
        }
        return;
    }
    const Result<Limits::ShareReply> reply = Limits::decodeShareReply(envelope.payload);
    if (reply && m_limits.applyReply(*reply, now)) {
        m_lastShareReplyAt = now;
        m_shareLeaderAddress = envelope.senderAddress;
        m_runner.admitWaitingCalls(now);
    }
}

void EntryNode::tick(Instant now)
{
    if (now >= m_nextSync) {
        m_nextSync = now + SyncInterval;
        syncAll(now);
    }
    m_runner.tick(now);
    m_probes.expireOverdue(now);
    if (now >= m_nextHousekeeping) {
        m_nextHousekeeping = now + HousekeepingInterval;
        m_runner.abandonDisconnectedCalls(now);
        m_upstream.closeIdle(now);
    }
}

Instant EntryNode::nextTick(Instant now)
{
    return std::min({ m_nextSync, m_nextHousekeeping, m_runner.nextTick(now), m_probes.nextExpiry() });
}

void EntryNode::syncAll(Instant now)
{
    const std::lock_guard lock(m_lock);
    m_registry.tick(now);
    syncContracts(now);
    syncServers(now);
    updateSelf(now);
    registerSelf(now);
    requestShares(now);
    m_probes.sync(!m_isStopping && !m_cluster.isFenced(now), isRegistered(), now);
    sendWaitReports(now);
}

void EntryNode::beginStop(Instant end)
{
    const Instant now = m_clock.now();
    const std::lock_guard lock(m_lock);
    m_isStopping = true;
    m_engine.rejectBeyond(end - StopReplyTime);
    m_actions.rejectBeyond(end - StopReplyTime);
    updateSelf(now);
    m_cluster.gossip().leave(now);
    m_cluster.flush(now);
}

void EntryNode::stopAccepting()
{
    const std::lock_guard lock(m_lock);
    m_engine.stopAccepting();
}

std::size_t EntryNode::callsInProgress() const
{
    return m_runner.callsInProgress();
}

void EntryNode::deregister(Duration timeout)
{
    const Identity &self = m_cluster.identity();
    Control::EntryRemoval removal { ChangeId("remove-" + self.instance.value() + "-" + std::to_string(self.incarnation.value())),
                                    self.instance };
    const Control::ProposalResult result = m_cluster.propose(std::move(removal), timeout);
    m_log.info("entry removed", { { "code", std::string(resultCodeName(result.code)) } });
}

const Report::CallStatistics &EntryNode::statistics() const
{
    return m_statistics;
}

const CallCounters &EntryNode::counters() const
{
    return m_counters;
}

const UpstreamCounters &EntryNode::upstreamCounters() const
{
    return m_upstream.counters();
}

const Entry::CallEngine &EntryNode::engine() const
{
    return m_engine;
}

const Actions::ActionRegistry &EntryNode::registry() const
{
    return m_registry;
}

const ProbeNode &EntryNode::probes() const
{
    return m_probes;
}

HttpReply EntryNode::handleLookup(const HttpRequest &request)
{
    if (request.head.getMethod() != "GET") {
        return errorReply(404, Outcome::NotRun, ResultCode::PathUnknown, "only GET /v1/entries is served here");
    }
    const std::optional<DataCentreId> dataCentre = dataCentreOf(request);
    const std::lock_guard lock(m_lock);
    return lookupReply(m_cluster.directory().lookup(dataCentre));
}

HttpReply EntryNode::handleCall(HttpRequest &request)
{
    Result<CallerInput> input = parseCall(request);
    if (!input) {
        ++m_counters.inputErrors;
        // This request was not run, but an earlier one with the same action key may have been.
        const Outcome outcome = request.head.has(std::string(ActionKeyHeader)) ? Outcome::Unknown : Outcome::NotRun;
        return errorReply(statusForInput(input.error().code), outcome, input.error().code, input.error().detail);
    }
    const Instant deadline = request.arrivedAt + input->timeLeft;
    CallEnd end;
    if (isIdempotentCall(request, *input)) {
        end = runLocally(request, *input, true, deadline);
    } else if (input->key) {
        end = m_actions.run(request, *input, deadline);
    } else {
        ++m_counters.inputErrors;
        return errorReply(400, Outcome::NotRun, ResultCode::HeaderMissing, std::string(ActionKeyHeader) + " is missing for an action");
    }
    std::atomic<std::uint64_t> &counter = end.outcome == Outcome::Answered ? m_counters.answered
        : end.outcome == Outcome::NotRun                                   ? m_counters.notRun
                                                                           : m_counters.unknown;
    ++counter;
    if (!input->forwardedBy.empty()) {
        return replyFor(std::move(end)); // recorded by the entry that the caller sent it to
    }
    m_statistics.record(input->customer, input->service, Report::CallSample { end.outcome, end.code, m_clock.now() - request.arrivedAt });
    return replyFor(std::move(end));
}

CallEnd EntryNode::runLocally(HttpRequest &request, const CallerInput &input, bool isIdempotent, Instant deadline)
{
    Entry::CallRequest call;
    call.customer = input.customer;
    call.service = input.service;
    call.idempotent = isIdempotent;
    if (!isIdempotent) {
        call.actionKey = Actions::qualified(*input.key, input.customer);
    }
    call.deadline = deadline;
    call.depth = input.depth;
    call.isRetryUpstream = input.isRetryUpstream;
    return m_runner.run(call, contentOf(request, input, !isIdempotent), request.connection);
}

bool EntryNode::isIdempotentCall(const HttpRequest &request, const CallerInput &input)
{
    const std::lock_guard lock(m_lock);
    return isIdempotent(request.head.getMethod(), input.target, m_dependencies.serviceTerms(input.customer, input.service));
}

std::optional<std::string> EntryNode::serverAddress(const ServerId &server) const
{
    const Membership::Record *record = m_cluster.members().find({ Membership::RecordKind::Server, server.value() });
    if (record == nullptr) {
        return std::nullopt;
    }
    return std::get<Membership::ServerInfo>(record->body).address;
}

void EntryNode::syncContracts(Instant now)
{
    if (m_cluster.feedChanges() == m_seenFeedChanges) {
        return;
    }
    m_seenFeedChanges = m_cluster.feedChanges();
    for (const auto &[customer, record] : m_cluster.feed().contracts()) {
        Version &installed = m_installedContracts[customer];
        if (installed == record.contract.version) {
            continue;
        }
        installed = record.contract.version;
        if (record.withdrawn) {
            m_limits.removeContract(customer, now);
            m_statistics.removeContract(customer);
        } else {
            m_limits.setContract(record.contract, now);
            m_statistics.setContract(record.contract);
        }
        m_log.info("contract in force", { { "customer", customer.value() }, { "version", std::to_string(installed.value()) } });
    }
    std::vector<InstanceId> entries;
    for (const Control::RegisteredEntry &it : m_cluster.feed().registeredEntries()) {
        entries.push_back(it.instance);
    }
    m_limits.setRegisteredEntries(entries, now);
}

void EntryNode::syncServers(Instant now)
{
    if (m_cluster.members().changes() == m_seenMemberChanges) {
        return;
    }
    m_seenMemberChanges = m_cluster.members().changes();
    std::set<ServerId> live;
    for (const Membership::Record *record : m_cluster.members().live(Membership::RecordKind::Server)) {
        m_engine.upsertServer(toServerRecord(*record, now), now);
        live.insert(ServerId(record->key.id));
    }
    for (const ServerId &it : m_installedServers) {
        if (!live.contains(it)) {
            m_engine.removeServer(it);
        }
    }
    m_installedServers = std::move(live);
}

void EntryNode::updateSelf(Instant now)
{
    Membership::InstanceInfo info = m_info;
    info.keyScope = Actions::printKeyScope(m_registry.currentScope(now));
    info.serving = !m_isStopping && !m_cluster.isFenced(now) && hasLimits(now);
    if (info == m_info) {
        return;
    }
    if (info.serving != m_info.serving) {
        m_log.info(info.serving ? "serving" : "not serving");
    }
    m_info = info;
    m_cluster.gossip().updateSelf(m_info, now);
    m_cluster.flush(now);
}

bool EntryNode::hasLimits(Instant now)
{
    if (!isRegistered()) {
        m_registeredAt.reset();
        m_hasLimits = false;
        return false;
    }
    if (!m_registeredAt) {
        m_registeredAt = now;
    }
    const Duration registeredFor = now - *m_registeredAt;
    m_hasLimits = m_hasLimits || registeredFor > MaxUnlistedTime || (registeredFor > m_freshnessLimit && hasShareOfEveryContract(now));
    return m_hasLimits;
}

bool EntryNode::hasShareOfEveryContract(Instant now)
{
    const auto &contracts = m_cluster.feed().contracts();
    const std::size_t entries = m_cluster.feed().registeredEntries().size();
    return std::all_of(contracts.begin(), contracts.end(), [&](const auto &it) {
        const Limits::Share baseline = Limits::baselineTotal(it.second.contract);
        if (it.second.withdrawn || baseline.concurrency < entries || baseline.rate == 0) {
            return true; // too small to give every entry a share
        }
        const std::optional<Limits::Share> share = m_limits.effectiveShare(it.first, now);
        return share && share->concurrency > 0 && share->rate > 0;
    });
}

bool EntryNode::isRegistered() const
{
    const Identity &self = m_cluster.identity();
    for (const Control::RegisteredEntry &it : m_cluster.feed().registeredEntries()) {
        if (it.instance == self.instance) {
            return it.incarnation == self.incarnation;
        }
    }
    return false;
}

void EntryNode::registerSelf(Instant now)
{
    if (m_registration && m_cluster.takeResult(*m_registration)) {
        m_registration.reset();
        m_nextRegistration = now + RegistrationRetryDelay;
    }
    if (m_registration || m_isStopping || now < m_nextRegistration || isRegistered()) {
        return;
    }
    const Identity &self = m_cluster.identity();
    Control::EntryRegistration registration;
    registration.id = ChangeId("register-" + self.instance.value() + "-" + std::to_string(self.incarnation.value()));
    registration.entry = Control::RegisteredEntry { self.instance, self.incarnation, self.callerAddress, self.dataCentre };
    m_registration = m_cluster.startProposal(std::move(registration), RegistrationTimeout);
}

void EntryNode::requestShares(Instant now)
{
    if (m_cluster.feed().term() != m_leaderTerm) {
        m_leaderTerm = m_cluster.feed().term();
        m_limits.reportToNewLeader();
        m_shareLeaderAddress.clear();
    }
    const std::optional<Limits::ShareRequest> request = m_limits.takeRequest(now);
    if (!request) {
        return;
    }
    const std::vector<std::uint8_t> payload = Limits::encode(*request);
    if (!m_shareLeaderAddress.empty() && now - m_lastShareReplyAt < ShareReplyTimeout) {
        m_network.send(m_shareLeaderAddress, Wire::MessageKind::ShareRequest, 0, payload);
        return;
    }
    for (const Control::ControlPeer &it : m_cluster.controls()) {
        m_network.send(it.address, Wire::MessageKind::ShareRequest, 0, payload);
    }
}

void EntryNode::sendWaitReports(Instant now)
{
    const std::vector<Entry::WaitReport> reports = m_engine.collectWaitReports(now);
    if (reports.empty()) {
        return;
    }
    const std::vector<std::uint8_t> payload = Entry::encode(reports);
    std::size_t receivers = 0;
    for (const Membership::Record *record : m_cluster.members().live(Membership::RecordKind::Instance)) {
        const auto &info = std::get<Membership::InstanceInfo>(record->body);
        if ((info.roles & Membership::EntryRole) == 0 || record->key.id == m_cluster.identity().instance.value()) {
            continue;
        }
        m_network.send(info.peerAddress, Wire::MessageKind::WaitReports, 0, payload);
        if (++receivers == Entry::WaitExchange::MaxReceivers) {
            return;
        }
    }
}

}
