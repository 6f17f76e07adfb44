#include "coordination/corelink.h"

#include <algorithm>

#include "coordination/feedwindow.h"

namespace Galenabarrow::Coordination
{

namespace
{

constexpr Duration TickInterval = std::chrono::milliseconds(100);
/// TickInterval before the first state is known; callers are rejected until then.
constexpr Duration FirstTickInterval = std::chrono::milliseconds(30);
/// Time between two reports. A core instance treats an entry as lost after four intervals without one.
constexpr Duration ReportInterval = std::chrono::milliseconds(300);
constexpr Duration ConnectTimeout = std::chrono::milliseconds(150);
/// ConnectTimeout before the first state is known. It covers many round trips; a machine that is powering up does not answer
/// this attempt, but may answer the next one.
constexpr Duration FirstConnectTimeout = std::chrono::milliseconds(50);
/// A core instance sends an update every 400 ms. After three missing updates the instance or the connection counts as lost.
constexpr Duration SilenceLimit = std::chrono::milliseconds(1250);
/// SilenceLimit before the first update, when no state is known: a core instance answers the first report at once.
constexpr Duration FirstSilenceLimit = std::chrono::milliseconds(300);
/// An instance that has been up to date is replaced after this time without a confirmation. It exceeds the longest election,
/// 1.2 s.
constexpr Duration UnconfirmedLimit = std::chrono::milliseconds(1600);
/// The same for an instance that has not been up to date since the connection to it was opened: it may be in the minority of
/// a partition, or have lost its disk. The limit doubles with each round through all instances, up to UnconfirmedLimit.
constexpr Duration InitialUnconfirmedLimit = std::chrono::milliseconds(120);
/// An instance whose last confirmation by a quorum is not older than this is up to date: four heartbeats of the leader.
constexpr Duration MaxConfirmationAge = std::chrono::milliseconds(1000);
/// Time between two attempts to switch to an instance in the local data centre.
constexpr Duration TrialInterval = std::chrono::seconds(3);
/// A trial connection is closed when no bytes arrive on it for this time.
constexpr Duration TrialTimeout = std::chrono::milliseconds(600);

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
    m_updateCallback = std::move(callback);
}

void CoreLink::onFractions(std::function<void(std::span<const std::uint8_t>)> callback)
{
    m_fractionsCallback = std::move(callback);
}

bool CoreLink::isConnected() const
{
    return m_feed.frames != nullptr && m_feed.frames->isOpen() && m_feed.stream->isConnected();
}

void CoreLink::send(Wire::MessageKind kind, std::vector<std::uint8_t> payload)
{
    if (!isConnected()) {
        return;
    }
    Wire::Envelope envelope;
    envelope.sender = m_self.name;
    envelope.senderAddress = m_self.address;
    envelope.kind = kind;
    envelope.payload = std::move(payload);
    m_feed.frames->send(Wire::encode(envelope));
}

void CoreLink::setReportSource(ReportSource source)
{
    m_reportSource = std::move(source);
}

void CoreLink::reportNow()
{
    report(m_feed);
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
        report(m_feed);
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
    updateProgress(m_feed);
    if (const char *reason = reasonToReconnect(now)) {
        connectNext(reason);
    } else if (now - m_reportedAt >= ReportInterval) {
        report(m_feed);
        tryLocalDataCentre(now);
    }
    finishTrial(now);
    m_loop.after(m_knownIndex == LogIndex() ? FirstTickInterval : TickInterval, [this] { tick(); });
}

void CoreLink::updateProgress(Connection &connection) const
{
    if (connection.frames != nullptr && connection.frames->received() != connection.receivedBytes) {
        connection.receivedBytes = connection.frames->received();
        connection.progressAt = m_loop.now();
    }
}

const char *CoreLink::reasonToReconnect(Instant now) const
{
    const bool isFirst = m_knownIndex == LogIndex();
    if (m_feed.frames == nullptr || !m_feed.frames->isOpen()) {
        return "closed";
    }
    if (!m_feed.stream->isConnected()) {
        return now - m_feed.openedAt > (isFirst ? FirstConnectTimeout : ConnectTimeout) ? "connect_timeout" : nullptr;
    }
    const Duration silenceLimit = isFirst && !m_feed.hasUpdate ? FirstSilenceLimit : SilenceLimit;
    if (now - std::max(m_feed.progressAt, m_feed.openedAt) > silenceLimit) {
        return "silent";
    }
    // A partly received update may state that the instance is up to date. Disconnecting would only restart its transfer.
    const bool isUnconfirmed = now - m_feed.upToDateAt.value_or(m_feed.openedAt) > unconfirmedLimit();
    return m_feed.hasUpdate && isUnconfirmed && !m_feed.frames->hasPartialFrame() ? "unsure" : nullptr;
}

Duration CoreLink::unconfirmedLimit() const
{
    if (m_feed.upToDateAt) {
        return UnconfirmedLimit;
    }
    if (m_knownIndex == LogIndex()) {
        return InitialUnconfirmedLimit;
    }
    constexpr std::size_t MaxRounds = 4; // the limit reaches UnconfirmedLimit by then
    const std::size_t rounds = std::min(MaxRounds, m_consecutiveUnconfirmed / std::max<std::size_t>(1, candidates().size()));
    return std::min<Duration>(UnconfirmedLimit, InitialUnconfirmedLimit * (1 << rounds));
}

std::vector<InstanceId> CoreLink::candidates() const
{
    std::vector<InstanceId> names;
    for (const CoreInstance &it : m_coreInstances) {
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
    if (chosen == m_feed.core && names.size() > 1) {
        chosen = names[m_nextCandidate++ % names.size()];
    }
    m_log.info("core_instance_chosen", { { "instance", chosen.value() }, { "reason", reason }, { "before", m_feed.core.value() } });
    m_nextTrialAt = m_loop.now() + TrialInterval;
    m_consecutiveUnconfirmed = m_feed.hasUpdate && !m_feed.upToDateAt ? m_consecutiveUnconfirmed + 1 : 0;
    open(m_feed, chosen);
}

void CoreLink::open(Connection &connection, const InstanceId &core)
{
    close(connection);
    connection.core = core;
    connection.openedAt = m_loop.now();
    const std::optional<Net::SocketAddress> address = Net::parseSocketAddress(core.value());
    connection.stream = address ? Net::Stream::connect(m_loop, *address) : nullptr;
    if (connection.stream == nullptr) {
        return;
    }
    connection.frames = std::make_unique<Net::FrameStream>(connection.stream, m_codec);
    connection.frames->onFrame([this, frames = connection.frames.get()](const std::vector<std::uint8_t> &frame) {
        receive(m_trial.frames.get() == frames ? m_trial : m_feed, frame);
    });
    report(connection);
}

void CoreLink::close(Connection &connection)
{
    if (connection.frames != nullptr) {
        connection.frames->close();
        // close() may be called from a callback of this stream, so the stream is destroyed later.
        m_loop.defer([frames = std::shared_ptr<Net::FrameStream>(std::move(connection.frames))] {});
    }
    connection = Connection {};
}

bool CoreLink::isInLocalDataCentre(const InstanceId &core) const
{
    return std::any_of(m_coreInstances.begin(), m_coreInstances.end(),
                       [&](const CoreInstance &it) { return it.name == core && it.dataCentre == m_self.dataCentre; });
}

bool CoreLink::knowsLocalInstance() const
{
    return std::any_of(m_coreInstances.begin(), m_coreInstances.end(),
                       [&](const CoreInstance &it) { return isInLocalDataCentre(it.name); });
}

void CoreLink::tryLocalDataCentre(Instant now)
{
    if (now < m_nextTrialAt || m_trial.frames != nullptr || isInLocalDataCentre(m_feed.core)) {
        return;
    }
    std::vector<InstanceId> local;
    for (const CoreInstance &it : m_coreInstances) {
        if (it.dataCentre == m_self.dataCentre) {
            local.push_back(it.name);
        }
    }
    m_nextTrialAt = now + TrialInterval;
    if (!local.empty()) {
        open(m_trial, local[m_nextCandidate++ % local.size()]);
    }
}

void CoreLink::finishTrial(Instant now)
{
    if (m_trial.frames == nullptr) {
        return;
    }
    updateProgress(m_trial);
    if (m_trial.upToDateAt) {
        m_log.info("core_instance_chosen",
                   { { "instance", m_trial.core.value() }, { "reason", "own_data_centre" }, { "before", m_feed.core.value() } });
        std::swap(m_feed, m_trial);
        close(m_trial);
        report(m_feed);
    } else if (!m_trial.frames->isOpen() || now - std::max(m_trial.progressAt, m_trial.openedAt) > TrialTimeout) {
        close(m_trial);
    }
}

void CoreLink::report(Connection &connection)
{
    if (connection.frames == nullptr || !connection.frames->isOpen()) {
        return;
    }
    m_reportedAt = m_loop.now();
    Wire::Envelope envelope;
    envelope.sender = m_self.name;
    envelope.senderAddress = m_self.address;
    envelope.kind = Wire::MessageKind::EntryReport;
    connection.reportedBytes = connection.frames->received();
    EntryReport report { m_self, m_knownIndex, connection.reportedBytes, {}, {} };
    if (m_reportSource) {
        m_reportSource(report, !std::exchange(connection.hasReported, true));
    }
    envelope.payload = encode(report);
    connection.frames->send(Wire::encode(envelope));
}

void CoreLink::receive(Connection &connection, const std::vector<std::uint8_t> &frame)
{
    const Result<Wire::Envelope> envelope = Wire::decodeEnvelope(frame);
    if (envelope && envelope->kind == Wire::MessageKind::QuotaFractions) {
        if (m_fractionsCallback && &connection == &m_feed) {
            m_fractionsCallback(envelope->payload);
        }
        return;
    }
    const Result<FeedUpdate> update = envelope.and_then([](const Wire::Envelope &it) { return decodeFeedUpdate(it.payload); });
    if (!update) {
        m_log.warn("frame_refused", { { "detail", update.error().detail } });
        return;
    }
    connection.hasUpdate = true;
    if (update->confirmedAge) {
        const Instant confirmedAt = m_loop.now() - *update->confirmedAge;
        m_confirmedAt = std::max(m_confirmedAt.value_or(confirmedAt), confirmedAt);
        if (*update->confirmedAge <= MaxConfirmationAge) {
            connection.upToDateAt = std::max(connection.upToDateAt.value_or(confirmedAt), confirmedAt);
            m_consecutiveUnconfirmed = 0;
        }
    }
    // An instance that is cut off, or that has received only a part of the log, may list instances that are gone.
    const bool isListCurrent = update->confirmedAge && *update->confirmedAge <= MaxConfirmationAge;
    if (!update->core.empty() && (isListCurrent || m_coreInstances.empty())) {
        const bool knewLocalInstance = knowsLocalInstance();
        m_coreInstances = update->core;
        if (!knewLocalInstance && knowsLocalInstance()) {
            m_nextTrialAt = m_loop.now(); // the state is better received from there than across data centres
            tryLocalDataCentre(m_loop.now());
        }
    }
    if (m_updateCallback) {
        m_updateCallback(*update);
    }
    m_knownIndex = std::max(m_knownIndex, update->index); // after an exception, the update is requested again
    if (connection.frames != nullptr && connection.frames->received() - connection.reportedBytes >= FeedWindow::ReportAfter) {
        report(connection);
    }
}

}
