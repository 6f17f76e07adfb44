#include "daemon/daemon.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "daemon/metricspage.h"
#include "settings/secretfile.h"

namespace Galenabarrow::Daemon
{

namespace
{

// A hedge or a deadline may be this late, so that most calls set their timers without waking the tick thread.
constexpr Duration WakeUpTolerance = std::chrono::milliseconds(5);
constexpr auto DrainPollInterval = std::chrono::milliseconds(1);
constexpr Duration ClusterTickInterval = std::chrono::milliseconds(20);
// Added to max-age, for requests that callers send just before its end.
constexpr Duration MaxAgeGrace = std::chrono::seconds(1);
constexpr Duration DeregistrationTimeout = std::chrono::seconds(2);

HttpLimits httpLimits(const Settings::LimitSettings &settings)
{
    HttpLimits limits;
    limits.headerBytes = settings.headerBytes;
    limits.bodyBytes = settings.bodyBytes;
    limits.connections = settings.connections;
    return limits;
}

const std::string &advertisedOrBound(const std::string &advertised, const std::string &bound)
{
    return advertised.empty() ? bound : advertised;
}

}

Daemon::Daemon(Settings::DaemonSettings settings)
    : m_settings(std::move(settings))
    , m_wakeUp(m_clock, WakeUpTolerance)
    , m_incarnation(makeIncarnation())
    , m_callers(httpLimits(m_settings.limits), m_clock)
    , m_announcements(httpLimits(m_settings.limits), m_clock)
    , m_operators(httpLimits(m_settings.limits), m_clock)
{
}

Daemon::~Daemon()
{
    m_stopping = true;
    m_callers.stop();
    m_announcements.stop();
    m_operators.stop();
    if (m_ticks.joinable()) {
        m_ticks.join();
    }
    m_ready = false;
    if (m_network) {
        m_network->stop();
    }
    if (m_control) {
        m_control->stop();
    }
}

Result<void> Daemon::start()
{
    const Result<std::string> key = Settings::readSecretFile(m_settings.cluster.keyFile);
    if (!key) {
        return tl::make_unexpected(key.error());
    }
    const Result<std::string> token = Settings::readSecretFile(m_settings.operatorsTokenFile);
    if (!token) {
        return tl::make_unexpected(token.error());
    }
    m_token = *token;
    m_network = std::make_unique<Wire::PeerNetwork>(Wire::FrameCodec(m_settings.cluster.id, *key), m_settings.instance.id, m_incarnation);
    if (Result<void> bound = listen(); !bound) {
        return bound;
    }
    m_cluster = std::make_unique<ClusterNode>(m_settings, makeIdentity(), *m_network, m_lock, m_clock);
    if (m_settings.instance.isControl) {
        auto control = ControlNode::open(m_settings, *m_network, m_clock);
        if (!control) {
            return tl::make_unexpected(control.error());
        }
        m_control = std::move(*control);
        m_control->start();
    }
    if (m_settings.instance.isEntry) {
        m_entry = std::make_unique<EntryNode>(m_settings, *m_cluster, *m_network, m_lock, m_wakeUp, m_clock);
    }
    startServers();
    m_ready = true;
    m_ticks = std::thread([this] { runTicks(); });
    m_log.info("started", { { "instance", m_settings.instance.id.value() }, { "addresses", addresses() } });
    return {};
}

Result<void> Daemon::listen()
{
    const Settings::AddressSettings &addresses = m_settings.listen;
    if (auto bound = m_network->listen(addresses.peers, [this](Wire::Envelope it) { receive(std::move(it)); }); !bound) {
        return bound;
    }
    if (!m_settings.advertise.peers.empty()) {
        m_network->advertise(m_settings.advertise.peers);
    }
    if (auto bound = m_operators.listen(addresses.operators); !bound) {
        return bound;
    }
    if (!m_settings.instance.isEntry) {
        return {};
    }
    if (auto bound = m_callers.listen(addresses.callers); !bound) {
        return bound;
    }
    return addresses.announcements.empty() ? Result<void>() : m_announcements.listen(addresses.announcements);
}

Identity Daemon::makeIdentity() const
{
    Identity identity;
    identity.instance = m_settings.instance.id;
    identity.dataCentre = m_settings.instance.dataCentre;
    identity.incarnation = m_incarnation;
    identity.peerAddress = advertisedOrBound(m_settings.advertise.peers, m_network->address());
    if (m_settings.instance.isEntry) {
        identity.callerAddress = advertisedOrBound(m_settings.advertise.callers, m_callers.address());
        identity.roles |= Membership::EntryRole;
    }
    if (m_settings.instance.isControl) {
        identity.roles |= Membership::ControlRole;
    }
    return identity;
}

void Daemon::startServers()
{
    const MetricsSources sources { *m_cluster, m_entry.get(), m_network->counters(), m_callers.counters(), m_lock, m_clock };
    OperatorsApi::Pages pages { [sources] { return metricsPage(sources); }, [sources] { return burnPage(sources); } };
    m_api = std::make_unique<OperatorsApi>(m_token, *m_cluster, m_control.get(), m_entry.get(), std::move(pages), m_lock, m_clock);
    m_operators.serve([this](HttpRequest &request) { return m_api->handle(request); });
    if (!m_entry) {
        return;
    }
    const bool hasAnnouncementListener = !m_settings.listen.announcements.empty();
    m_callers.serve([this, hasAnnouncementListener](HttpRequest &request) {
        const bool isAnnouncement = !hasAnnouncementListener && request.path() == "/v1/announce";
        return isAnnouncement ? m_entry->handleAnnouncement(request) : m_entry->handleCaller(request);
    });
    if (hasAnnouncementListener) {
        m_announcements.serve([this](HttpRequest &request) { return m_entry->handleAnnouncement(request); });
    }
}

void Daemon::stopGracefully()
{
    m_log.info("stopping");
    const Instant deadline = m_clock.now() + m_settings.timings.drain;
    if (m_entry) {
        m_entry->beginStop(deadline);
        std::this_thread::sleep_for(m_settings.timings.directoryMaxAge + MaxAgeGrace);
        m_callers.closeAfterReplies();
        m_entry->stopAccepting();
        waitForCalls(deadline);
        m_entry->deregister(DeregistrationTimeout);
    }
    m_log.info("stopped");
}

bool Daemon::hasFailed() const
{
    return m_control && m_control->hasFailed();
}

std::string Daemon::addresses() const
{
    std::string text = "peers=" + m_network->address() + " operators=" + m_operators.address();
    if (m_entry) {
        text += " callers=" + m_callers.address();
        if (!m_settings.listen.announcements.empty()) {
            text += " announcements=" + m_announcements.address();
        }
    }
    return text;
}

void Daemon::receive(Wire::Envelope envelope)
{
    if (!m_ready) {
        return; // messages that are needed are resent
    }
    const Instant now = m_clock.now();
    switch (envelope.kind) {
    case Wire::MessageKind::Raft:
    case Wire::MessageKind::FeedRequest:
    case Wire::MessageKind::ProposeRequest:
    case Wire::MessageKind::ShareRequest:
        if (m_control) {
            m_control->receive(std::move(envelope));
        }
        return;
    case Wire::MessageKind::ProposeReply:
        // The control service and the proposal client of an instance both send proposals; each ignores replies to the
        // other.
        if (m_control) {
            m_control->receive(envelope);
        }
        break;
    default:
        break;
    }
    const std::lock_guard lock(m_lock);
    if (envelope.kind == Wire::MessageKind::ShareReply || envelope.kind == Wire::MessageKind::WaitReports) {
        if (m_entry) {
            m_entry->receive(envelope, now);
        }
        return;
    }
    m_cluster->receive(envelope, now);
    if (m_entry) {
        m_entry->syncServers(now);
    }
}

void Daemon::runTicks()
{
    while (!m_stopping) {
        const Instant now = m_clock.now();
        tick(now);
        m_wakeUp.sleepUntil(m_entry ? std::min(m_nextClusterTick, m_entry->nextTick(now)) : m_nextClusterTick);
    }
}

void Daemon::tick(Instant now)
{
    if (now >= m_nextClusterTick) {
        m_nextClusterTick = now + ClusterTickInterval;
        {
            const std::lock_guard lock(m_lock);
            m_cluster->tick(now);
        }
        m_callers.closeSlowSenders(now);
        m_announcements.closeSlowSenders(now);
        m_operators.closeSlowSenders(now);
    }
    if (m_entry) {
        m_entry->tick(now);
    }
}

void Daemon::waitForCalls(Instant deadline) const
{
    while (m_entry->callsInProgress() > 0 || m_callers.requestsInProgress() > 0) {
        if (m_clock.now() > deadline) {
            m_log.warn("calls cut off at the end of the drain time", { { "calls", std::to_string(m_callers.requestsInProgress()) } });
            return;
        }
        std::this_thread::sleep_for(DrainPollInterval);
    }
}

}
