#include "gateway/requestrunner.h"

#include "gateway/requestrun.h"

#include <utility>

#include "base/errorguard.h"
#include "gateway/requestfields.h"
#include "report/metricstext.h"

namespace Galenabarrow::Gateway
{

namespace
{

/// Retry time in the rejections of an entry that has no configuration yet, or may lack a newer one.
constexpr Duration NoConfigRetryAfter = std::chrono::milliseconds(300);
/// An entry counts as starting for this time: connecting to the core, an election and the first update take less together.
constexpr Duration StartupTime = std::chrono::milliseconds(1500);
/// A request waits for the first configuration for at most this time, and for at most the time that its caller waits divided by the
/// divisor.
constexpr Duration MaxConfigWait = std::chrono::milliseconds(250);
constexpr int ConfigWaitDivisor = 5;
/// An unknown key is answered 401 only if the state was confirmed within this time. An entry with a working path to the core has every
/// change within 2 s; half a second is left for delays on the way.
constexpr Duration MaxStateAgeForUnauthorized = std::chrono::milliseconds(2500);

}

RequestRunner::RequestRunner(Net::EventLoop &loop, RandomSource &random, HeaderNames headerNames, RetryBudgetSettings budget,
                             ProbeSettings probes, ServerTable &servers)
    : m_loop(loop)
    , m_random(random)
    , m_headerNames(std::move(headerNames))
    , m_budgetSettings(budget)
    , m_servers(servers)
    , m_pool(loop, m_headerNames.requestId)
    , m_prober(loop, m_headerNames, probes, servers, m_pool)
    , m_crashes(loop, random)
    , m_quotas(loop, random)
    , m_splits(random)
    , m_createdAt(loop.now())
    , m_log(RequestLogSettings {})
{
    m_prober.onLateAnswer([this](const ServerId &server) {
        if (const ServerRow *row = m_servers.find(server)) {
            offerSlot(row->server.service, server);
        }
    });
}

RequestRunner::~RequestRunner() = default;

void RequestRunner::setConfig(const Routing::RoutingConfig &config)
{
    m_routes = std::make_unique<Routing::RouteTable>(config);
    m_accounts = config.requiresKeys() ? AccountIndex(config.accounts, m_random) : AccountIndex();
    m_version = config.version;
    m_splits.reset();
    m_quotas.setConfig(config);
    std::map<ServiceId, std::string> paths;
    for (const Routing::Service &it : config.services) {
        paths[it.name] = it.healthPath;
    }
    m_prober.setPaths(std::move(paths));
    dispatchWaitingForConfig();
}

bool RequestRunner::hasConfig() const
{
    return m_routes != nullptr;
}

void RequestRunner::setStateAgeSource(StateAgeSource source)
{
    m_stateAgeSource = std::move(source);
}

void RequestRunner::setEntryCount(unsigned count)
{
    m_entryCount = count;
    m_prober.setEntryCount(count);
}

void RequestRunner::rejectBeyond(Instant end)
{
    m_lastDeadline = end;
}

void RequestRunner::endRequests()
{
    for (const WaitingExchange &it : std::exchange(m_waitingForConfig, {})) {
        m_loop.cancel(it.timer);
        rejectWithoutConfig(it.exchange);
    }
    const auto runs = m_runs;
    for (const auto &it : runs) {
        it->guard([&] { it->endByStop(); });
    }
}

void RequestRunner::handle(const Http::ExchangePointer &exchange)
{
    ++m_counters.received;
    const auto subject = [&] {
        const std::string *id = exchange->request().fields.find(m_headerNames.requestId);
        return id == nullptr ? std::string() : *id;
    };
    if (!runGuarded("request", subject, [&] { dispatch(exchange); })) {
        exchange->respond(Http::makeResponse(503)); // no request runs before it is guarded itself
    }
}

void RequestRunner::dispatch(const Http::ExchangePointer &exchange)
{
    const Http::Request &request = exchange->request();
    const std::string *host = request.fields.find("Host");
    const std::string *id = request.fields.find(m_headerNames.requestId);
    if (host == nullptr || id == nullptr || id->empty()) {
        exchange->respond(Http::makeResponse(400));
        return;
    }
    if (m_routes == nullptr) {
        waitForConfig(exchange);
        return;
    }
    Routing::RoutePointer route = m_routes->find(*host, request.path());
    if (route == nullptr) {
        ++m_counters.noRoute;
        exchange->respond(Http::makeResponse(404));
        return;
    }
    KeyCheck check = checkKey(m_accounts, request.fields, *route);
    if (check.result != KeyResult::Accepted) {
        rejectKey(exchange, check.result);
        return;
    }
    const AccountPointer account = check.client.account;
    if (account != nullptr && !admitByQuota(exchange, account->name)) {
        return;
    }
    auto run = std::make_shared<Run>(*this, exchange, std::move(route), std::move(check.client));
    if (account != nullptr) {
        run->setChargedAccount(account->name);
    }
    m_runs.insert(run);
    run->guard([&] { run->start(); });
}

void RequestRunner::waitForConfig(const Http::ExchangePointer &exchange)
{
    const auto stated = parseMilliseconds(exchange->request().fields.find(m_headerNames.deadlineMilliseconds));
    const bool isStarting = m_loop.now() - m_createdAt < StartupTime;
    if (!isStarting || !stated) {
        rejectWithoutConfig(exchange);
        return;
    }
    ++m_counters.waitedForConfig;
    // Setting a handler makes the exchange count as answered when the caller disconnects, so the request is not dispatched.
    exchange->onDisconnected([] {});
    const auto it = m_waitingForConfig.insert(m_waitingForConfig.end(), WaitingExchange { exchange });
    it->timer = m_loop.after(std::min<Duration>(MaxConfigWait, *stated / ConfigWaitDivisor), [this, it] {
        const Http::ExchangePointer expired = it->exchange;
        m_waitingForConfig.erase(it);
        rejectWithoutConfig(expired);
    });
}

void RequestRunner::rejectWithoutConfig(const Http::ExchangePointer &exchange)
{
    ++m_counters.noConfig;
    exchange->respond(makeRejection(NoConfigRetryAfter));
}

void RequestRunner::rejectKey(const Http::ExchangePointer &exchange, KeyResult result)
{
    if (result == KeyResult::Unknown && !isStateConfirmed()) {
        ++m_counters.unconfirmedKey;
        exchange->respond(makeRejection(NoConfigRetryAfter));
        return;
    }
    ++m_counters.unauthorized;
    Http::Response response = Http::makeResponse(401);
    response.fields.add("WWW-Authenticate", "Bearer");
    exchange->respond(std::move(response));
}

bool RequestRunner::isStateConfirmed() const
{
    const std::optional<Duration> age = m_stateAgeSource ? m_stateAgeSource() : std::nullopt;
    return age && *age <= MaxStateAgeForUnauthorized;
}

void RequestRunner::dispatchWaitingForConfig()
{
    for (const WaitingExchange &it : std::exchange(m_waitingForConfig, {})) {
        m_loop.cancel(it.timer);
        if (!it.exchange->isAnswered()) {
            dispatch(it.exchange);
        }
    }
}

void RequestRunner::retire(const std::vector<ServerId> &servers)
{
    for (const ServerId &it : servers) {
        m_pool.retire(it);
    }
}

void RequestRunner::setMemoryBudget(Net::MemoryBudget *budget)
{
    m_pool.setMemoryBudget(budget);
}

std::size_t RequestRunner::running() const
{
    return m_runs.size();
}

const RequestCounters &RequestRunner::counters() const
{
    return m_counters;
}

bool RequestRunner::admitByQuota(const Http::ExchangePointer &exchange, const AccountId &account)
{
    const std::optional<Duration> wait = m_quotas.rejection(account);
    if (!wait) {
        return true;
    }
    ++m_counters.overQuota;
    exchange->respond(makeRejection(*wait, 429));
    return false;
}

Http::Response RequestRunner::makeRejection(Duration retryAfter, unsigned status) const
{
    // Jitter of up to half of the time, so that callers that were rejected together do not retry together.
    const Duration spread =
        retryAfter + Duration(static_cast<Duration::rep>(m_random.below(static_cast<std::uint64_t>(retryAfter.count()) / 2 + 1)));
    Http::Response response = Http::makeResponse(status);
    response.fields.add(m_headerNames.retryAfter, formatSeconds(spread));
    return response;
}

std::string RequestRunner::metrics() const
{
    using Kind = Report::MetricsText::Kind;
    struct Row {
        std::string_view event;
        std::uint64_t value;
    };
    const Row rows[] = {
        { "received", m_counters.received },
        { "answered", m_counters.answered },
        { "rejected", m_counters.rejected },
        { "failed", m_counters.failed },
        { "timed_out", m_counters.timedOut },
        { "caller_gone", m_counters.callerDisconnected },
        { "no_config", m_counters.noConfig },
        { "no_route", m_counters.noRoute },
        { "unauthorized", m_counters.unauthorized },
        { "unconfirmed_key", m_counters.unconfirmedKey },
        { "over_quota", m_counters.overQuota },
        { "waited", m_counters.waited },
        { "waited_for_config", m_counters.waitedForConfig },
        { "limited", m_counters.limited },
        { "excluded", m_counters.excluded },
        { "evacuated", m_counters.evacuated },
        { "held_back", m_counters.heldBack },
        { "rejected_by_stop", m_counters.rejectedByStop },
        { "ended_by_stop", m_counters.endedByStop },
        { "ended_by_error", m_counters.endedByError },
        { "server_crashed", m_crashes.checks().crashes() },
        { "connection_reset", m_crashes.checks().alive() },
        { "attempt", m_counters.attempts },
        { "further_attempt", m_counters.furtherAttempts },
        { "retry_budget_spent", m_counters.retryBudgetSpent },
        { "probe", m_prober.sent() },
        { "probe_refused", m_prober.refused() },
        { "connection_opened", m_pool.counters().opened },
        { "connection_reused", m_pool.counters().reused },
        { "stray_response", m_pool.counters().strayResponses },
        { "doubtful_response", m_pool.counters().doubtfulResponses },
        { "response_streamed", m_pool.counters().streamed },
        { "surplus_bytes", m_pool.counters().surplus },
        { "server_unusable", m_servers.unusable() },
        { "log_line_dropped", m_log.dropped() },
    };
    Report::MetricsText text;
    text.family("galenabarrow_gateway_events_total", Kind::Counter, "Requests, attempts, probes and connections of this entry by event.");
    for (const Row &it : rows) {
        text.sample({ { "event", it.event } }, it.value);
    }
    text.family("galenabarrow_gateway_requests_running", Kind::Gauge, "Requests without a final response.");
    text.sample({}, std::uint64_t { m_runs.size() });
    text.family("galenabarrow_gateway_servers", Kind::Gauge, "Backend servers known to this entry.");
    text.sample({}, std::uint64_t { m_servers.size() });
    text.family("galenabarrow_gateway_evacuations", Kind::Gauge, "Evacuations of data centres in force at this entry.");
    text.sample({}, std::uint64_t { m_servers.evacuationCount() });
    m_crashes.writeMetrics(text);
    text.family("galenabarrow_gateway_config_version", Kind::Gauge, "Version of the routing configuration in force.");
    text.sample({}, m_version.value());
    m_latencies.write(text);
    return text.text() + m_servers.limits().metrics() + m_servers.notices().metrics(m_loop.now())
        + m_servers.coldLimits().metrics(m_loop.now()) + m_quotas.metrics();
}

RetryBudget &RequestRunner::budgetOf(const ServiceId &service)
{
    return m_budgets.try_emplace(service, m_budgetSettings, m_loop.now()).first->second;
}

void RequestRunner::offerSlot(const ServiceId &service, const ServerId &server)
{
    const auto it = m_waiting.find(service);
    if (it == m_waiting.end() || it->second.empty() || !m_servers.isKnownFree(server, m_loop.now())) {
        return;
    }
    for (const auto &[key, waiting] : it->second) {
        const auto run = waiting.lock();
        if (run != nullptr && !run->hasTried(server)) {
            run->guard([&] { run->onSlotAvailable("slot_handed_over"); }); // modifies the queue being iterated
            return;
        }
    }
}

CrashWatch &RequestRunner::crashWatch()
{
    return m_crashes;
}

AccountQuotas &RequestRunner::quotas()
{
    return m_quotas;
}

bool RequestRunner::withdrawRetryBudget(const ServiceId &service)
{
    if (budgetOf(service).tryWithdraw(m_entryCount, m_loop.now())) {
        return true;
    }
    ++m_counters.retryBudgetSpent;
    return false;
}

}
