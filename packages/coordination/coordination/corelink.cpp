#include "coordination/corelink.h"

#include <algorithm>

namespace Galenabarrow::Coordination
{

namespace
{

constexpr Duration TickInterval = std::chrono::milliseconds(100);
/// The same while nothing is known yet, and callers are rejected.
constexpr Duration FirstTickInterval = std::chrono::milliseconds(30);
/// Time between two reports; a core instance counts an entry as lost after four of them.
constexpr Duration ReportInterval = std::chrono::milliseconds(300);
constexpr Duration ConnectLimit = std::chrono::milliseconds(150);
/// The same while nothing is known yet: many round trips, and a machine that gets its power back answers the next attempt.
constexpr Duration FirstConnectLimit = std::chrono::milliseconds(50);
/// A core instance sends every 400 ms; three missing updates mean that it, or the connection, is lost.
constexpr Duration SilenceLimit = std::chrono::milliseconds(1250);
/// The same while nothing is known yet: a core instance answers the first report at once.
constexpr Duration FirstSilenceLimit = std::chrono::milliseconds(300);
/// Another instance is tried when this one was not sure for this time: an election takes at most 1.2 s.
constexpr Duration UnsureLimit = std::chrono::milliseconds(1600);
/// The same while nothing is known yet: another instance may know the state, for example where this one lost its disk.
constexpr Duration FirstUnsureLimit = std::chrono::milliseconds(120);
/// Time before the own data centre's instance is tried again after it failed.
constexpr Duration PreferDelay = std::chrono::seconds(3);

}

CoreLink::CoreLink(Net::EventLoop &loop, const Wire::FrameCodec &codec, RandomSource &random, std::vector<InstanceId> seeds, EntryInfo self)
    : m_loop(loop)
    , m_codec(codec)
    , m_log("corelink")
    , m_seeds(std::move(seeds))
    , m_self(std::move(self))
    , m_nextCandidate(random.below(64))
{
}

void CoreLink::onUpdate(UpdateCallback callback)
{
    m_update = std::move(callback);
}

void CoreLink::start()
{
    connectNext("start");
    tick();
}

void CoreLink::setReady(bool isReady)
{
    if (m_self.isReady != isReady) {
        m_self.isReady = isReady;
        report();
    }
}

void CoreLink::setSeeds(std::vector<InstanceId> seeds)
{
    m_seeds = std::move(seeds);
}

std::optional<Instant> CoreLink::confirmedAt() const
{
    return m_confirmedAt;
}

void CoreLink::tick()
{
    const Instant now = m_loop.now();
    if (m_frames != nullptr && m_frames->received() != m_receivedBytes) {
        m_receivedBytes = m_frames->received();
        m_progressAt = now;
    }
    if (const char *reason = reasonToLeave(now)) {
        connectNext(reason);
    } else if (now - m_reportedAt >= ReportInterval) {
        report();
        preferOwnDataCentre();
    }
    m_loop.after(m_known == LogIndex() ? FirstTickInterval : TickInterval, [this] { tick(); });
}

const char *CoreLink::reasonToLeave(Instant now) const
{
    const bool isFirst = m_known == LogIndex();
    if (m_frames == nullptr || !m_frames->isOpen()) {
        return "closed";
    }
    if (!m_stream->isConnected()) {
        return now - m_connectedAt > (isFirst ? FirstConnectLimit : ConnectLimit) ? "connect_timeout" : nullptr;
    }
    if (now - std::max(m_progressAt, m_connectedAt) > (isFirst ? FirstSilenceLimit : SilenceLimit)) {
        return "silent";
    }
    const Instant sureAt = std::max(m_connectedAt, m_confirmedAt.value_or(m_connectedAt));
    const bool isUnsure = now - sureAt > (isFirst ? FirstUnsureLimit : UnsureLimit);
    // Bytes of an update that is not complete yet may tell that the instance is sure.
    return m_hasUpdate && isUnsure ? "unsure" : nullptr;
}

std::vector<InstanceId> CoreLink::candidates() const
{
    std::vector<InstanceId> names;
    for (const CoreInstance &it : m_core) {
        names.push_back(it.name);
    }
    for (const InstanceId &it : m_seeds) {
        if (std::find(names.begin(), names.end(), it) == names.end()) {
            names.push_back(it);
        }
    }
    return names;
}

void CoreLink::connectNext(const char *reason)
{
    const std::vector<InstanceId> names = candidates();
    if (names.empty()) {
        return;
    }
    InstanceId chosen = names[m_nextCandidate++ % names.size()];
    if (chosen == m_current && names.size() > 1) {
        chosen = names[m_nextCandidate++ % names.size()];
    }
    m_log.info("core_instance_chosen", { { "instance", chosen.value() }, { "reason", reason }, { "before", m_current.value() } });
    if (isInOwnDataCentre(m_current)) {
        m_preferAt = m_loop.now() + PreferDelay;
    }
    connect(chosen);
}

void CoreLink::connect(const InstanceId &core)
{
    m_current = core;
    m_connectedAt = m_loop.now();
    m_receivedBytes = 0;
    m_hasUpdate = false;
    if (m_frames != nullptr) {
        m_frames->close();
        // The stream may be the one that calls; it is released later.
        m_loop.defer([frames = std::shared_ptr<Net::FrameStream>(std::move(m_frames))] {});
    }
    const std::optional<Net::SocketAddress> address = Net::parseSocketAddress(core.value());
    m_stream = address ? Net::Stream::connect(m_loop, *address) : nullptr;
    if (m_stream == nullptr) {
        return;
    }
    m_frames = std::make_unique<Net::FrameStream>(m_stream, m_codec);
    m_frames->onFrame([this](const std::vector<std::uint8_t> &frame) { receive(frame); });
    report();
}

bool CoreLink::isInOwnDataCentre(const InstanceId &core) const
{
    return std::any_of(m_core.begin(), m_core.end(),
                       [&](const CoreInstance &it) { return it.name == core && it.dataCentre == m_self.dataCentre; });
}

void CoreLink::preferOwnDataCentre()
{
    if (m_loop.now() < m_preferAt) {
        return;
    }
    if (isInOwnDataCentre(m_current)) {
        return;
    }
    const auto isOwn = [this](const CoreInstance &it) { return it.dataCentre == m_self.dataCentre; };
    const auto own = std::find_if(m_core.begin(), m_core.end(), isOwn);
    if (own != m_core.end()) {
        m_preferAt = m_loop.now() + PreferDelay;
        m_log.info("core_instance_chosen",
                   { { "instance", own->name.value() }, { "reason", "own_data_centre" }, { "before", m_current.value() } });
        connect(own->name);
    }
}

void CoreLink::report()
{
    if (m_frames == nullptr || !m_frames->isOpen()) {
        return;
    }
    m_reportedAt = m_loop.now();
    Wire::Envelope envelope;
    envelope.sender = m_self.name;
    envelope.senderAddress = m_self.address;
    envelope.kind = Wire::MessageKind::EntryReport;
    envelope.payload = encode(EntryReport { m_self, m_known });
    m_frames->send(Wire::encode(envelope));
}

void CoreLink::receive(const std::vector<std::uint8_t> &frame)
{
    const Result<FeedUpdate> update =
        Wire::decodeEnvelope(frame).and_then([](const Wire::Envelope &it) { return decodeFeedUpdate(it.payload); });
    if (!update) {
        m_log.warn("frame_refused", { { "detail", update.error().detail } });
        return;
    }
    m_hasUpdate = true;
    if (update->confirmedAge) {
        m_confirmedAt = std::max(m_confirmedAt.value_or(Instant {}), m_loop.now() - *update->confirmedAge);
    }
    if (!update->core.empty()) {
        m_core = update->core;
    }
    m_known = std::max(m_known, update->index);
    if (m_update) {
        m_update(*update);
    }
}

}
