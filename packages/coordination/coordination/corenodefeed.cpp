// The updates from a core instance to the entries that are connected to it.

#include "coordination/corenode.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "coordination/corenodepeer.h"

namespace Galenabarrow::Coordination
{

namespace
{

/// An entry that has been silent for this time counts as lost (its power or its network has failed): it reports every 300 ms.
constexpr Duration EntrySilence = std::chrono::milliseconds(1200);
/// Consecutive announcements that may be late or lost before a server counts as silent.
constexpr int SilentIntervals = 3;

}

void CoreNode::divideLimits()
{
    // An instance that is cut off would divide the limits among too few entries.
    if (isUpToDate() && m_facts.divideLimits(m_entries.live(m_loop.now()), m_replica->state().servers(), m_loop.now())) {
        feedEach();
    }
}

void CoreNode::startColdAfterEvacuations()
{
    if (m_fedIndex == LogIndex()) {
        return; // the first state does not tell when an evacuation ended
    }
    for (const auto &[dataCentre, evacuation] : m_replica->state().evacuations()) {
        if (!evacuation.isActive && evacuation.changedAt > m_fedIndex) {
            m_cold.startCold(dataCentre, m_loop.now());
        }
    }
}

void CoreNode::divideCold()
{
    const auto unixNow = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    m_cold.observe(m_replica->state(), unixNow, m_loop.now());
    // An instance that is cut off would divide the limits among too few entries.
    if (isUpToDate()) {
        m_cold.divide(m_entries.live(m_loop.now()), m_loop.now());
    }
}

void CoreNode::feedCold()
{
    FeedFrames frames;
    for (const auto &it : m_peers) {
        if (it->entry && it->frames->isOpen() && m_cold.hasChanges(it->entry->name, it->cold, m_loop.now())) {
            feed(*it, frames);
        }
    }
}

void CoreNode::feedEach()
{
    FeedFrames frames;
    for (const auto &it : m_peers) {
        if (it->entry && it->frames->isOpen()) {
            feed(*it, frames);
        }
    }
}

void CoreNode::feedAll(bool isPeriodic)
{
    if (isPeriodic) {
        m_lastFeed = m_loop.now();
    }
    m_fedIndex = m_replica->state().changedAt();
    FeedFrames frames;
    for (const auto &it : m_peers) {
        if (!it->entry || !it->frames->isOpen()) {
            continue;
        }
        if (isPeriodic || (it->knownIndex < m_fedIndex && maySendStateTo(*it))) {
            feed(*it, frames);
        }
    }
}

void CoreNode::feed(Peer &peer, FeedFrames &frames)
{
    if (!peer.window.isOpen()) {
        ++m_feedsDeferred;
        return; // pending changes are sent after the entry's next report
    }
    const bool hasState = maySendStateTo(peer);
    const FeedKey key { peer.knownIndex, hasState, std::exchange(peer.facts.crashRevision, m_facts.crashes().revision()) };
    std::vector<LimitShare> limits = m_facts.takeLimitChanges(peer.entry->name, peer.facts, m_loop.now());
    std::optional<std::vector<ColdShare>> coldShares = m_cold.takeChanges(peer.entry->name, peer.cold, m_loop.now());
    std::vector<std::uint8_t> ownFrame;
    if (!limits.empty() || coldShares) {
        ownFrame = encodeFeed(key, std::move(limits), std::move(coldShares)); // no other entry has these shares
    }
    const auto it = ownFrame.empty() ? frames.try_emplace(key).first : frames.end();
    if (it != frames.end() && it->second.empty()) {
        it->second = encodeFeed(key);
    }
    const std::vector<std::uint8_t> &frame = it == frames.end() ? ownFrame : it->second;
    peer.frames->send(frame);
    peer.window.recordSent(Wire::FrameHeaderSize + frame.size());
    m_feedBytes += Wire::FrameHeaderSize + frame.size();
    m_remoteFeedBytes += peer.entry->dataCentre == m_settings.dataCentre ? 0 : Wire::FrameHeaderSize + frame.size();
    if (hasState) {
        peer.knownIndex = std::max(peer.knownIndex, m_replica->state().changedAt());
    }
}

bool CoreNode::maySendState(LogIndex known) const
{
    return known != LogIndex() || isUpToDate();
}

bool CoreNode::maySendStateTo(const Peer &peer) const
{
    const DataCentreId &dataCentre = peer.entry->dataCentre;
    // While the core forms, the instances of most data centres are about to join.
    const bool isForming = m_replica->membership().members.size() < m_settings.replica.voters;
    const bool isReferred = peer.knownIndex == LogIndex() && dataCentre != m_settings.dataCentre
        && m_coreDirectory.shouldRefer(dataCentre, peer.firstContactAt, isForming, m_loop.now());
    return !isReferred && maySendState(peer.knownIndex);
}

std::vector<std::uint8_t> CoreNode::encodeFeed(const FeedKey &key, std::vector<LimitShare> limits,
                                               std::optional<std::vector<ColdShare>> coldShares) const
{
    const Routing::RoutingState &state = m_replica->state();
    FeedUpdate update;
    update.index = key.hasState ? state.changedAt() : key.known;
    const std::optional<Instant> confirmedAt = m_replica->confirmedAt(m_loop.now());
    if (confirmedAt) {
        update.confirmedAge = m_loop.now() - *confirmedAt;
    }
    if (update.index > key.known) {
        Routing::StateChanges changes = state.changesAfter(key.known);
        update.isWhole = changes.isWhole;
        update.servers = std::move(changes.servers);
        update.evacuations = std::move(changes.evacuations);
        m_cold.updateColdLeft(update.servers, m_loop.now());
        update.config = std::move(changes.config);
        update.configAt = state.configAt();
    }
    update.silent = silentServers();
    update.entryCount = static_cast<unsigned>(std::max<std::size_t>(1, m_entries.liveCount(m_loop.now())));
    update.core = coreInstances();
    update.limits = std::move(limits);
    update.coldIndex = m_cold.dividedAt();
    update.coldShares = std::move(coldShares);
    update.crashes = m_facts.crashes().factsAfter(key.crashes, m_loop.now());
    Wire::Envelope envelope;
    envelope.sender = m_settings.replica.instance;
    envelope.senderAddress = m_settings.replica.instance.value();
    envelope.kind = Wire::MessageKind::FeedUpdate;
    envelope.payload = encode(update);
    return Wire::encode(envelope);
}

std::vector<ServerId> CoreNode::silentServers() const
{
    const Duration limit = m_settings.announcementInterval * SilentIntervals;
    std::vector<ServerId> silent;
    for (const auto &[id, server] : m_replica->state().servers()) {
        if (server.state != Routing::ServerState::Ready) {
            continue;
        }
        const auto it = m_lastAnnouncedAt.find(id);
        const Instant lastAnnouncedAt = it == m_lastAnnouncedAt.end() ? m_startedAt : std::max(it->second, m_startedAt);
        if (m_loop.now() - lastAnnouncedAt > limit) {
            silent.push_back(id);
        }
    }
    return silent;
}

std::vector<CoreInstance> CoreNode::coreInstances() const
{
    std::vector<CoreInstance> core;
    for (const Control::Member &it : m_replica->membership().members) {
        const bool isSelf = it.id.instance == m_settings.replica.instance;
        core.push_back(CoreInstance { it.id.instance, isSelf ? m_settings.dataCentre : m_coreDirectory.dataCentreOf(it.id.instance) });
    }
    return core;
}

void CoreNode::exchangeQuotas()
{
    const Instant now = m_loop.now();
    const Routing::RoutingState &state = m_replica->state();
    m_quotas.setConfig(state.config(), state.configAt(), now);
    if (!m_quotas.isDue(now)) {
        return;
    }
    m_quotas.setReachable(m_entries.reachableShare(now), now);
    if (const auto payload = m_quotas.takeTotals()) {
        for (const Control::Member &it : m_replica->membership().members) {
            if (it.id.instance != m_settings.replica.instance) {
                m_links.send(it.id.instance, Wire::MessageKind::QuotaTotals, 0, *payload);
            }
        }
    }
    const auto frame = m_quotas.takeFractions(m_settings.replica.instance, now);
    if (!frame) {
        return;
    }
    for (const auto &it : m_peers) {
        if (it->entry && it->frames->isOpen()) {
            it->frames->send(*frame);
            it->window.recordSent(Wire::FrameHeaderSize + frame->size());
            m_feedBytes += Wire::FrameHeaderSize + frame->size();
        }
    }
}

void CoreNode::dropSilentEntries()
{
    const Instant now = m_loop.now();
    std::vector<std::shared_ptr<Peer>> silent;
    std::copy_if(m_peers.begin(), m_peers.end(), std::back_inserter(silent),
                 [now](const auto &it) { return it->entry && now - it->lastContactAt > EntrySilence; });
    for (const std::shared_ptr<Peer> &it : silent) {
        it->frames->close();
        m_peers.erase(it);
        const bool isElsewhere = std::any_of(m_peers.begin(), m_peers.end(),
                                             [&it](const auto &other) { return other->entry && other->entry->name == it->entry->name; });
        EntryInfo entry = *it->entry;
        if (isElsewhere || !entry.isReady) {
            continue; // the entry has reconnected, or its address was not given to callers
        }
        ++m_entriesLost;
        m_log.info("entry_lost", { { "entry", entry.name.value() }, { "reason", "silent" } });
        entry.isReady = false;
        m_entries.update(entry, now);
        m_entries.markLost(entry.name);
        m_reporter.recordEntryLost(std::move(entry));
    }
}

}
