#include "daemon/clusternode.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Galenabarrow::Daemon
{

namespace
{

// Above this number of unclaimed results, the oldest is dropped.
constexpr std::size_t MaxUnclaimedResults = 1024;

/// The start time in microseconds: the membership requires an incarnation that increases with every start of the process.
Incarnation startTime()
{
    const auto time = std::chrono::system_clock::now().time_since_epoch();
    return Incarnation(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(time).count()));
}

Membership::Record selfRecord(const Identity &identity, Instant now)
{
    Membership::Record record;
    record.key = { Membership::RecordKind::Instance, identity.instance.value() };
    record.incarnation = startTime();
    record.sequence = SequenceNumber(1);
    record.lastContactAt = now;
    record.body = Membership::InstanceInfo { identity.roles, identity.callerAddress, identity.peerAddress, identity.dataCentre, {}, false };
    return record;
}

Membership::GossipSettings gossipSettings(const Settings::DaemonSettings &settings)
{
    Membership::GossipSettings gossip;
    gossip.seeds = settings.cluster.seeds;
    for (const Settings::ReplicaSettings &it : settings.control.replicas) {
        gossip.seeds.push_back(it.peerAddress);
    }
    return gossip;
}

// One request per second delivers changes well within the bound of 7 s; two per second used much of a control instance's
// budget of 5 KB/s.
constexpr Duration MaxFeedInterval = std::chrono::seconds(1);
// With fewer feed requests, one lost reply and a late confirmation would fence the entry.
constexpr int FeedsPerFreshnessLimit = 5;

Control::FeedTiming feedTiming(const Settings::DaemonSettings &settings)
{
    Control::FeedTiming timing;
    timing.freshnessLimit = settings.timings.freshnessLimit;
    timing.interval = std::min(MaxFeedInterval, timing.freshnessLimit / FeedsPerFreshnessLimit);
    return timing;
}

}

std::vector<Control::ControlPeer> controlPeers(const Settings::DaemonSettings &settings)
{
    std::vector<Control::ControlPeer> peers;
    for (const Settings::ReplicaSettings &it : settings.control.replicas) {
        peers.push_back(Control::ControlPeer { it.instance, it.peerAddress });
    }
    return peers;
}

ClusterNode::ClusterNode(const Settings::DaemonSettings &settings, Identity identity, Wire::PeerNetwork &network, std::mutex &lock,
                         const Clock &clock)
    : m_identity(std::move(identity))
    , m_network(network)
    , m_lock(lock)
    , m_clock(clock)
    , m_serveWhenStale(settings.contracts.serveWhenStale)
    , m_random(makeIncarnation().value())
    , m_members(Membership::TableLimits { settings.timings.serverLease })
    , m_gossip(gossipSettings(settings), selfRecord(m_identity, clock.now()), m_members, m_random, clock.now())
    , m_directory(Membership::DirectorySettings { 3, settings.timings.directoryMaxAge }, m_members, m_random.next())
    , m_controls(controlPeers(settings))
    , m_feed(m_controls, m_random, feedTiming(settings))
    , m_proposals(m_controls, m_random)
{
}

void ClusterNode::receive(const Wire::Envelope &envelope, Instant now)
{
    switch (envelope.kind) {
    case Wire::MessageKind::FeedReply:
        updateCatchUp(now);
        if (const Result<bool> changed = m_feed.receive(envelope, now); changed && *changed) {
            applyFeedChange();
        }
        updateCatchUp(now);
        break;
    case Wire::MessageKind::ProposeReply:
        // The result is ignored: a malformed message in a frame with a valid digest comes from an instance of another
        // version, and the request is resent.
        (void)m_proposals.receive(envelope, now);
        break;
    default:
        if (const auto replies = m_gossip.receive(envelope, now)) {
            send(*replies);
        }
        break;
    }
    flush(now);
}

void ClusterNode::tick(Instant now)
{
    m_feed.tick(now);
    m_proposals.tick(now);
    m_members.expire(now);
    updateCatchUp(now);
    flush(now);
}

void ClusterNode::flush(Instant now)
{
    send(m_gossip.onTick(now));
    send(m_feed.takeOutgoing());
    send(m_proposals.takeOutgoing());
    for (const Control::FinishedProposal &it : m_proposals.takeFinished()) {
        m_results[it.ticket] = it.result;
        m_resultArrived.notify_all();
    }
    while (m_results.size() > MaxUnclaimedResults) {
        m_results.erase(m_results.begin());
    }
}

Control::ProposalTicket ClusterNode::startProposal(const Control::Command &command, Duration timeout)
{
    const Instant now = m_clock.now();
    const Control::ProposalTicket ticket = m_proposals.propose(command, now + timeout, now);
    send(m_proposals.takeOutgoing());
    return ticket;
}

std::optional<Control::ProposalResult> ClusterNode::takeResult(Control::ProposalTicket ticket)
{
    const auto it = m_results.find(ticket);
    if (it == m_results.end()) {
        return std::nullopt;
    }
    Control::ProposalResult result = std::move(it->second);
    m_results.erase(it);
    return result;
}

Control::ProposalResult ClusterNode::propose(const Control::Command &command, Duration timeout)
{
    std::unique_lock lock(m_lock);
    const Control::ProposalTicket ticket = startProposal(command, timeout);
    std::optional<Control::ProposalResult> result;
    // Every proposal finishes at the latest at the first tick after its deadline.
    m_resultArrived.wait(lock, [&] { return (result = takeResult(ticket)).has_value(); });
    return *result;
}

Control::FeedClient &ClusterNode::feed()
{
    return m_feed;
}

Membership::MembershipTable &ClusterNode::members()
{
    return m_members;
}

Membership::GossipCore &ClusterNode::gossip()
{
    return m_gossip;
}

Membership::Directory &ClusterNode::directory()
{
    return m_directory;
}

RandomSource &ClusterNode::random()
{
    return m_random;
}

std::uint64_t ClusterNode::feedChanges() const
{
    return m_feedChanges;
}

bool ClusterNode::isFenced(Instant now) const
{
    // Even with serve_when_stale, the entry cannot serve before the contract table was confirmed for the first time.
    return m_serveWhenStale ? !m_feed.freshnessAge(now).has_value() : m_feed.isFenced(now) || m_gossip.isBehind(now);
}

// An entry that was cut off may have missed updates between its peers, such as that a server is leaving. It requests them
// once its contract table is fresh.
void ClusterNode::updateCatchUp(Instant now)
{
    if (m_feed.isFenced(now)) {
        m_gossip.markBehind();
    } else if (m_gossip.isMarkedBehind()) {
        m_gossip.catchUp(now);
    }
}

const Identity &ClusterNode::identity() const
{
    return m_identity;
}

std::vector<Control::ControlPeer> ClusterNode::controls() const
{
    return m_controls;
}

void ClusterNode::send(const std::vector<Control::Outgoing> &messages)
{
    for (const Control::Outgoing &it : messages) {
        m_network.send(it.address, it.kind, it.correlation, it.payload);
    }
}

void ClusterNode::send(const std::vector<Membership::GossipMessage> &messages)
{
    for (const Membership::GossipMessage &it : messages) {
        m_network.send(it.address, it.kind, 0, it.payload);
    }
}

void ClusterNode::applyFeedChange()
{
    ++m_feedChanges;
    std::vector<Membership::ListedEntry> entries;
    for (const Control::RegisteredEntry &it : m_feed.registeredEntries()) {
        entries.push_back(Membership::ListedEntry { it.instance, it.address, it.dataCentre, {} });
    }
    m_directory.setRegisteredEntries(std::move(entries));
}

}
