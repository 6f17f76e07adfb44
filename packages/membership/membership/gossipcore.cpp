#include "membership/gossipcore.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Galenabarrow::Membership
{

namespace
{

// Unit of the latency in the load field of a probe record.
constexpr Duration LatencyUnit = std::chrono::microseconds(100);
constexpr std::int64_t MaxLoad = 65535;
// Digests sent to randomly chosen peers per digest interval while this table has stale announcers.
constexpr int StaleDigestFanout = 3;

}

GossipCore::GossipCore(GossipSettings settings, const Record &self, MembershipTable &table, RandomSource &random, Instant now)
    : m_settings(std::move(settings))
    , m_self(self)
    , m_table(table)
    , m_random(random)
    , m_catchUp(m_settings.resendInterval, m_settings.catchUpTimeout)
    , m_nextLoads(now)
    , m_nextDigest(now)
    , m_renewedAt(now)
{
    assert(self.key.kind == RecordKind::Instance);
    m_self.lastContactAt = now;
    applyLocal(m_self, now);
}

Result<Duration> GossipCore::announce(const ServerAnnouncement &announcement, Instant now)
{
    const Record record = toRecord(announcement, now);
    if (Result<void> valid = validate(record); !valid) {
        return tl::make_unexpected(std::move(valid.error()));
    }
    if (const Record *known = m_table.lastKnown(record.key)) {
        const SequenceNumber knownSequence = std::max(known->sequence, known->loadSequence);
        if (std::pair(record.incarnation, record.sequence) < std::pair(known->incarnation, knownSequence)) {
            return failure(ResultCode::AnnouncementStale, "a newer announcement of the server is in force");
        }
    }
    applyLocal(record, now);
    if (m_table.find(record.key) == nullptr) {
        return failure(ResultCode::AnnouncementInvalid, "the table of servers is full");
    }
    return m_table.lease();
}

Result<void> GossipCore::drain(const ServerId &server, Instant now)
{
    const RecordKey key { RecordKind::Server, server.value() };
    if (!m_table.markLeaving(key, now)) {
        return failure(ResultCode::PathUnknown, "the server is not known");
    }
    disseminate(key, Duration::zero(), now);
    return {};
}

void GossipCore::publishProbe(const ServerId &server, bool healthy, Duration latency, Instant now)
{
    Record record;
    record.key = { RecordKind::Probe, server.value() };
    record.incarnation = Incarnation(1);
    record.body = ProbeInfo { healthy };
    record.load = static_cast<std::uint16_t>(std::clamp<std::int64_t>(latency / LatencyUnit, 0, MaxLoad));
    record.lastContactAt = now;
    record.sequence = SequenceNumber(1);
    if (const Record *known = m_table.lastKnown(record.key)) {
        // The prober of a server changes with the set of live entries; a new one continues from the last known sequence.
        record.sequence = next(std::max(known->sequence, known->loadSequence));
    }
    record.loadSequence = record.sequence;
    applyLocal(record, now);
}

void GossipCore::updateSelf(const InstanceInfo &info, Instant now)
{
    if (std::get<InstanceInfo>(m_self.body) == info) {
        return;
    }
    m_self.body = info;
    changeSelf(now);
}

void GossipCore::leave(Instant now)
{
    m_self.leaving = true;
    changeSelf(now);
}

void GossipCore::markBehind()
{
    m_isBehind = true;
}

void GossipCore::catchUp(Instant now)
{
    m_isBehind = false;
    std::vector<std::string> addresses = peerAddresses();
    const std::vector<std::string> seeds = unknownSeeds();
    addresses.insert(addresses.end(), seeds.begin(), seeds.end());
    m_catchUp.start(addresses, now);
}

bool GossipCore::isMarkedBehind() const
{
    return m_isBehind;
}

bool GossipCore::isBehind(Instant now) const
{
    return m_isBehind || m_catchUp.isRunning(now);
}

std::vector<GossipMessage> GossipCore::onTick(Instant now)
{
    for (const RecordKey &key : m_table.expire(now)) {
        m_localAnnouncers.erase(key);
        m_pending.erase(key);
    }
    if (now - m_renewedAt >= m_settings.renewInterval) {
        renewSelf(now);
    }
    std::vector<GossipMessage> out;
    sendCatchUp(now, out);
    sendPending(now, out);
    sendLoads(now, out);
    sendDigest(now, out);
    return out;
}

Result<std::vector<GossipMessage>> GossipCore::receive(const Wire::Envelope &envelope, Instant now)
{
    std::vector<GossipMessage> out;
    switch (envelope.kind) {
    case Wire::MessageKind::GossipRecords: {
        const Result<GossipRecords> message = decodeRecords(envelope.payload, now);
        if (!message) {
            return tl::make_unexpected(message.error());
        }
        receiveRecords(*message, envelope, now, out);
        return out;
    }
    case Wire::MessageKind::GossipAcknowledgement: {
        const Result<GossipAcknowledgement> message = decodeAcknowledgement(envelope.payload);
        if (!message) {
            return tl::make_unexpected(message.error());
        }
        receiveAcknowledgement(*message, envelope.sender);
        return out;
    }
    case Wire::MessageKind::GossipDigest: {
        const Result<GossipDigest> message = decodeDigest(envelope.payload);
        if (!message) {
            return tl::make_unexpected(message.error());
        }
        receiveDigest(*message, envelope, now, out);
        return out;
    }
    default:
        return failure(ResultCode::FrameMalformed, "not a gossip message");
    }
}

const Record &GossipCore::self() const
{
    return m_self;
}

std::vector<GossipCore::Peer> GossipCore::peers() const
{
    std::vector<Peer> out;
    for (const Record *it : m_table.live(RecordKind::Instance)) {
        if (it->key != m_self.key) {
            out.push_back({ InstanceId(it->key.id), std::get<InstanceInfo>(it->body).peerAddress });
        }
    }
    return out;
}

// Applies a record that originates at this instance. An announcement that changes no state is applied as a load report and
// keeps the known sequence: a new one would make the summaries of all other tables differ from that of this table.
void GossipCore::applyLocal(Record record, Instant now)
{
    const Record *known = m_table.lastKnown(record.key);
    if (known != nullptr && known->incarnation == record.incarnation && known->body == record.body && (known->leaving || !record.leaving)) {
        record.sequence = known->sequence;
        record.leaving = known->leaving;
    }
    const Change change = m_table.apply(record, now);
    if (change == Change::None) {
        return;
    }
    markLoadDirty(record.key);
    if (change != Change::Load) {
        disseminate(record.key, Duration::zero(), now);
    }
}

void GossipCore::disseminate(const RecordKey &key, Duration firstDelay, Instant now)
{
    Pending &pending = m_pending[key];
    pending.deadline = now + m_settings.resendTimeout;
    pending.nextSend.clear();
    for (const Peer &it : peers()) {
        // The delay is random, so that acknowledgements and the messages of other relays make many sends unnecessary.
        const auto delay = firstDelay == Duration::zero() ? 0 : m_random.below(static_cast<std::uint64_t>(firstDelay.count()));
        pending.nextSend[it.instance] = now + Duration(static_cast<Duration::rep>(delay));
    }
}

void GossipCore::markLoadDirty(const RecordKey &key)
{
    m_localAnnouncers[key].isDirty = true;
}

// Renews the lease of this instance's own record.
void GossipCore::renewSelf(Instant now)
{
    m_renewedAt = now;
    m_self.loadSequence = next(m_self.loadSequence);
    m_self.lastContactAt = now;
    applyLocal(m_self, now);
}

void GossipCore::changeSelf(Instant now)
{
    m_self.sequence = next(std::max(m_self.sequence, m_self.loadSequence));
    m_self.loadSequence = m_self.sequence;
    renewSelf(now);
}

// Handles a record of this instance received from a peer. If it conflicts with the local one, such as a record of an earlier run
// with a faster clock, the incarnation is raised above that of the received record, since only a higher one replaces it.
void GossipCore::refute(const Record &claimed, Instant now)
{
    const bool isEcho =
        claimed.incarnation == m_self.incarnation && claimed.sequence <= m_self.sequence && (!claimed.leaving || m_self.leaving);
    if (claimed.incarnation < m_self.incarnation || isEcho) {
        return;
    }
    m_self.incarnation = next(claimed.incarnation);
    changeSelf(now);
}

void GossipCore::sendPending(Instant now, std::vector<GossipMessage> &out)
{
    std::erase_if(m_pending, [now](const auto &it) { return now >= it.second.deadline || it.second.nextSend.empty(); });
    if (m_pending.empty()) {
        return;
    }
    for (const Peer &peer : peers()) {
        GossipRecords message;
        for (auto &[key, pending] : m_pending) {
            const auto due = pending.nextSend.find(peer.instance);
            const Record *record = m_table.find(key);
            if (due == pending.nextSend.end() || due->second > now || record == nullptr
                || message.records.size() >= m_settings.maxRecords) {
                continue;
            }
            due->second = now + m_settings.resendInterval;
            message.records.push_back(*record);
        }
        if (!message.records.empty()) {
            out.push_back({ peer.address, Wire::MessageKind::GossipRecords, encode(message, now) });
        }
    }
}

void GossipCore::sendLoads(Instant now, std::vector<GossipMessage> &out)
{
    if (now < m_nextLoads) {
        return;
    }
    std::vector<std::pair<Instant, RecordKey>> due;
    std::vector<std::pair<Instant, RecordKey>> dueSoon;
    bool isAnyChanged = false;
    for (const auto &[key, localAnnouncer] : m_localAnnouncers) {
        const Record *record = m_table.find(key);
        if (record == nullptr || !localAnnouncer.isDirty) {
            continue;
        }
        const bool isChanged = record->load != localAnnouncer.sentLoad;
        isAnyChanged = isAnyChanged || isChanged;
        if (isChanged || now - localAnnouncer.sentAt >= m_settings.renewInterval) {
            due.emplace_back(localAnnouncer.sentAt, key);
        } else if (now - localAnnouncer.sentAt >= m_settings.renewInterval / 2) {
            dueSoon.emplace_back(localAnnouncer.sentAt, key);
        }
    }
    if (due.empty()) {
        return;
    }
    if (!isAnyChanged) {
        // A further report costs 16 B, a frame of its own more than 100 B. Reports that are due soon are sent along, so that in
        // the end all idle announcers of this instance share one frame per renewal interval.
        due.insert(due.end(), dueSoon.begin(), dueSoon.end());
    }
    m_nextLoads = now + m_settings.loadInterval;
    std::sort(due.begin(), due.end());
    due.resize(std::min(due.size(), m_settings.maxLoads));
    GossipRecords message;
    for (const auto &[sentAt, key] : due) {
        const Record *record = m_table.find(key);
        LocalAnnouncer &localAnnouncer = m_localAnnouncers[key];
        localAnnouncer.sentLoad = record->load;
        localAnnouncer.sentAt = now;
        localAnnouncer.isDirty = false;
        message.loads.push_back(loadOf(*record, now));
    }
    const std::vector<std::uint8_t> payload = encode(message, now);
    for (const Peer &peer : peers()) {
        out.push_back({ peer.address, Wire::MessageKind::GossipRecords, payload });
    }
}

void GossipCore::sendDigest(Instant now, std::vector<GossipMessage> &out)
{
    if (now < m_nextDigest) {
        return;
    }
    m_nextDigest = now + m_settings.digestInterval;
    const GossipDigest digest { m_table.summary(), {}, staleLoads(now), true, 0, 0 };
    const auto sendToRandom = [&](const std::vector<std::string> &addresses) {
        if (!addresses.empty()) {
            out.push_back({ addresses[m_random.below(addresses.size())], Wire::MessageKind::GossipDigest, encode(digest) });
        }
    };
    // With 30% message loss, half of all exchanges fail. Several exchanges per second keep the lease of a live announcer from
    // expiring in this table.
    const int fanout = digest.stale.empty() ? 1 : StaleDigestFanout;
    const std::vector<std::string> known = peerAddresses();
    for (int n = 0; n < fanout; ++n) {
        sendToRandom(known);
    }
    // A seed that is not a live peer may have been on the other side of a partition that has healed.
    sendToRandom(unknownSeeds());
}

void GossipCore::sendCatchUp(Instant now, std::vector<GossipMessage> &out)
{
    const std::vector<std::string> due = m_catchUp.collectDue(now);
    if (due.empty()) {
        return;
    }
    const std::vector<std::uint8_t> payload = encode(GossipDigest { m_table.summary(), allVersions(), {}, false, m_catchUp.round(), 0 });
    for (const std::string &it : due) {
        out.push_back({ it, Wire::MessageKind::GossipDigest, payload });
    }
}

// Sends the records first. Frames between two instances keep their order, so the answer arrives after the records.
void GossipCore::answerCatchUp(const GossipDigest &message, const std::string &address, Instant now, std::vector<GossipMessage> &out) const
{
    if (message.summary != m_table.summary()) {
        sendMissing(message, address, now, out);
    }
    if (!isBehind(now)) {
        const GossipDigest answer { m_table.summary(), {}, {}, false, 0, message.catchUp };
        out.push_back({ address, Wire::MessageKind::GossipDigest, encode(answer) });
    }
}

std::vector<std::string> GossipCore::peerAddresses() const
{
    std::vector<std::string> addresses;
    for (const Peer &it : peers()) {
        addresses.push_back(it.address);
    }
    return addresses;
}

std::vector<std::string> GossipCore::unknownSeeds() const
{
    const std::vector<std::string> known = peerAddresses();
    std::vector<std::string> unknown;
    for (const std::string &it : m_settings.seeds) {
        const bool isSelf = it == std::get<InstanceInfo>(m_self.body).peerAddress;
        if (!isSelf && std::find(known.begin(), known.end(), it) == known.end()) {
            unknown.push_back(it);
        }
    }
    return unknown;
}

void GossipCore::receiveRecords(const GossipRecords &message, const Wire::Envelope &envelope, Instant now, std::vector<GossipMessage> &out)
{
    for (const LoadUpdate &it : message.loads) {
        m_table.apply(it, now);
    }
    GossipAcknowledgement acknowledgement;
    for (const Record &it : message.records) {
        if (it.key == m_self.key) {
            refute(it, now);
        } else if (m_table.apply(it, now) == Change::Leaving) {
            disseminate(it.key, m_settings.resendInterval, now);
        }
        acknowledgement.versions.push_back(versionOf(it));
    }
    if (acknowledgement.versions.empty()) {
        return;
    }
    // The sender has the records that it sent, so they count as acknowledged by it.
    receiveAcknowledgement(acknowledgement, envelope.sender);
    out.push_back({ envelope.senderAddress, Wire::MessageKind::GossipAcknowledgement, encode(acknowledgement) });
}

void GossipCore::receiveAcknowledgement(const GossipAcknowledgement &message, const InstanceId &sender)
{
    for (const StateVersion &it : message.versions) {
        const Record *record = m_table.findAnnouncer(it.announcer);
        if (record == nullptr) {
            continue;
        }
        const StateVersion local = versionOf(*record);
        const auto pending = m_pending.find(record->key);
        if (pending != m_pending.end() && !isAfter(local.sequence, it.sequence) && (it.leaving || !local.leaving)) {
            pending->second.nextSend.erase(sender);
        }
    }
}

void GossipCore::receiveDigest(const GossipDigest &message, const Wire::Envelope &envelope, Instant now, std::vector<GossipMessage> &out)
{
    if (message.catchUp != 0) {
        answerCatchUp(message, envelope.senderAddress, now, out);
        return;
    }
    if (message.catchUpAnswer != 0) {
        m_catchUp.recordAnswer(message.catchUpAnswer, envelope.senderAddress);
        return;
    }
    GossipRecords newerLoads;
    for (const LoadUpdate &it : message.stale) {
        const Record *record = m_table.findAnnouncer(it.announcer);
        if (record != nullptr && isAfter(static_cast<std::uint32_t>(record->loadSequence.value()), it.sequence)) {
            newerLoads.loads.push_back(loadOf(*record, now));
        }
        m_table.apply(it, now);
    }
    if (!newerLoads.loads.empty()) {
        out.push_back({ envelope.senderAddress, Wire::MessageKind::GossipRecords, encode(newerLoads, now) });
    }
    if (message.summary == m_table.summary()) {
        return;
    }
    if (!message.versions.empty()) {
        sendMissing(message, envelope.senderAddress, now, out);
    }
    if (message.wantsVersions) {
        // The answer to a digest without versions requests the sender's versions in return. The answer to a digest with versions
        // requests nothing, which ends the exchange.
        const GossipDigest answer { m_table.summary(), allVersions(), {}, message.versions.empty(), 0, 0 };
        out.push_back({ envelope.senderAddress, Wire::MessageKind::GossipDigest, encode(answer) });
    }
}

void GossipCore::sendMissing(const GossipDigest &message, const std::string &address, Instant now, std::vector<GossipMessage> &out) const
{
    std::map<std::uint64_t, StateVersion> remoteVersions;
    for (const StateVersion &it : message.versions) {
        remoteVersions.emplace(it.announcer, it);
    }
    GossipRecords missing;
    for (const Record *record : m_table.live()) {
        const StateVersion local = versionOf(*record);
        const auto it = remoteVersions.find(local.announcer);
        const bool isNewer =
            it == remoteVersions.end() || isAfter(local.sequence, it->second.sequence) || (local.leaving && !it->second.leaving);
        if (isNewer) {
            missing.records.push_back(*record);
        }
        if (missing.records.size() == m_settings.maxRecords) {
            out.push_back({ address, Wire::MessageKind::GossipRecords, encode(missing, now) });
            missing.records.clear();
        }
    }
    if (!missing.records.empty()) {
        out.push_back({ address, Wire::MessageKind::GossipRecords, encode(missing, now) });
    }
}

std::vector<StateVersion> GossipCore::allVersions() const
{
    std::vector<StateVersion> versions;
    for (const Record *it : m_table.live()) {
        if (versions.size() < m_settings.maxVersions) {
            versions.push_back(versionOf(*it));
        }
    }
    return versions;
}

std::vector<LoadUpdate> GossipCore::staleLoads(Instant now) const
{
    std::vector<LoadUpdate> stale;
    for (const Record *it : m_table.live()) {
        if (now - it->lastContactAt >= m_settings.staleAfter && stale.size() < m_settings.maxLoads) {
            stale.push_back(loadOf(*it, now));
        }
    }
    return stale;
}

}
