#include "gateway/gatewaynode.h"

#include "report/metricstext.h"
#include "report/processmetrics.h"
#include "routing/rules.h"

namespace Galenabarrow::Gateway
{

namespace
{

/// Share of the grace period during which requests are still accepted: callers cache the addresses from the directory for
/// some seconds, and the requests accepted last must be answered within the rest of the period.
constexpr double AcceptingShare = 0.45;

}

GatewayNode::GatewayNode(Net::EventLoop &loop, GatewaySettings settings, const Wire::FrameCodec &codec, RandomSource &random)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_log("entry")
    , m_servers(m_settings.self.dataCentre, random)
    , m_runner(loop, random, m_settings.headerNames, m_settings.budget, m_settings.probes, m_servers)
    , m_server(loop, [this](const Http::ExchangePointer &exchange) { m_runner.handle(exchange); })
    , m_link(loop, codec, random, m_settings.seeds, m_settings.self)
{
    Http::ServerLimits limits;
    limits.forwardFrom = MinForwardedBody;
    limits.bodyBuffer = MaxHeldBody;
    limits.maxConnections = m_settings.maxConnections;
    m_server.setLimits(limits);
    m_runner.setStateAgeSource([this] { return stateAge(); });
    m_server.setMemoryBudget(m_settings.memory);
    m_server.onConnectionLimit([this](bool isReached) {
        m_log.info("connection_limit", { { "address", m_settings.listen.text() }, { "state", isReached ? "reached" : "ended" } });
    });
    m_runner.setMemoryBudget(m_settings.memory);
}

Result<void> GatewayNode::start()
{
    if (!m_server.listen(m_settings.listen)) {
        return failure(ResultCode::AddressUnavailable, "cannot listen at " + m_settings.listen.text());
    }
    m_link.setReportSource([this](Coordination::EntryReport &report, bool isFirstReport) {
        report.limits = m_servers.limits().toReport(isFirstReport, m_loop.now());
        report.crashes = m_runner.crashWatch().takeFacts(isFirstReport);
    });
    m_servers.onUrgentLimit([this] { m_link.reportNow(); });
    m_runner.crashWatch().onFact([this] { m_link.reportNow(); });
    m_link.onUpdate([this](const Coordination::FeedUpdate &update) { apply(update); });
    m_link.onFractions([this](std::span<const std::uint8_t> payload) { m_runner.quotas().receiveFractions(payload); });
    m_runner.quotas().setSender(
        [this] { return m_link.isConnected(); },
        [this](std::vector<std::uint8_t> payload) { m_link.send(Wire::MessageKind::QuotaUsage, std::move(payload)); });
    m_link.start();
    return {};
}

bool GatewayNode::isReady() const
{
    return m_runner.hasConfig() && m_hasServers && !m_isStopping;
}

void GatewayNode::stop(std::function<void()> done)
{
    if (m_isStopping) {
        return;
    }
    m_isStopping = true;
    m_stopStartedAt = m_loop.now();
    m_onStopped = std::move(done);
    m_link.setReady(false);
    m_server.startClosing();
    m_runner.rejectBeyond(lastAnswerAt());
    m_log.info("stopping", { { "running", std::to_string(m_runner.running()) } });
    checkStopped();
}

void GatewayNode::setSeeds(std::vector<InstanceId> seeds)
{
    m_link.setSeeds(std::move(seeds));
}

std::optional<Duration> GatewayNode::stateAge() const
{
    const std::optional<Instant> confirmedAt = m_link.confirmedAt();
    return confirmedAt ? std::optional(m_loop.now() - *confirmedAt) : std::nullopt;
}

std::uint64_t GatewayNode::refusedConnections() const
{
    return m_server.refusedConnections();
}

std::string GatewayNode::metrics() const
{
    Report::MetricsText text;
    text.family("galenabarrow_gateway_state_age_seconds", Report::MetricsText::Kind::Gauge,
                "Time since the routing state was last confirmed to be up to date; -1 before the first confirmation.");
    const std::optional<Duration> age = stateAge();
    text.sample({}, age ? std::chrono::duration<double>(*age).count() : -1.0);
    return m_runner.metrics() + text.text() + Report::processMetrics();
}

void GatewayNode::apply(const Coordination::FeedUpdate &update)
{
    const Instant now = m_loop.now();
    // An update from a lagging core instance must not restore an older configuration.
    const bool hasNewConfig = update.config && update.configAt > m_configIndex;
    if (hasNewConfig) {
        m_configIndex = update.configAt;
        m_config = Routing::apply(*update.config, m_config);
        m_servers.setServices(m_config.services, now);
    }
    m_servers.apply(update, now);
    m_runner.retire(m_servers.takeRemoved());
    m_runner.setEntryCount(update.entryCount);
    m_runner.quotas().recordUpdate(update.confirmedAge, update.entryCount);
    m_runner.crashWatch().apply(update.crashes);
    m_hasServers = m_hasServers || m_servers.size() > 0;
    if (hasNewConfig) {
        m_runner.setConfig(m_config);
        applyLimits(m_config.limits);
        m_log.info("config_in_force",
                   { { "version", std::to_string(m_config.version.value()) },
                     { "routes", std::to_string(m_config.routes.size()) },
                     { "index", std::to_string(m_configIndex.value()) } });
    }
    m_link.setReady(isReady());
}

void GatewayNode::applyLimits(const Routing::CallerLimits &limits)
{
    Http::ServerLimits server = m_server.limits();
    server.reader.headerBytes = limits.headerBytes;
    server.reader.bodyBytes = limits.bodyBytes;
    server.headerTimeout = limits.headerTimeout;
    server.idleTimeout = limits.idleTimeout;
    m_server.setLimits(server);
}

Instant GatewayNode::lastAnswerAt() const
{
    return m_stopStartedAt + m_settings.grace - StopMargin - StopAnswerTime;
}

void GatewayNode::checkStopped()
{
    const Duration since = m_loop.now() - m_stopStartedAt;
    const auto accepting = std::chrono::duration_cast<Duration>(m_settings.grace * AcceptingShare);
    if (since >= accepting) {
        m_server.stopListening();
        m_server.closeIdle();
    }
    if (m_loop.now() >= lastAnswerAt() && m_runner.running() > 0) {
        m_log.warn("requests_ended", { { "running", std::to_string(m_runner.running()) } });
        m_runner.endRequests();
    }
    // A connection without a request ends once the caller's side has taken its responses, so none is left when all have been taken.
    const bool isDone = since >= accepting && m_runner.running() == 0 && m_server.connectionCount() == 0;
    if (isDone || since >= m_settings.grace - StopMargin) {
        m_log.info("stopped", { { "running", std::to_string(m_runner.running()) }, { "unsent", std::to_string(m_server.sendingCount()) } });
        m_onStopped();
        return;
    }
    m_loop.after(StopCheckInterval, [this] { checkStopped(); });
}

}
