#pragma once

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <set>

#include "gateway/accountquotas.h"
#include "gateway/crashwatch.h"
#include "gateway/headernames.h"
#include "gateway/keycheck.h"
#include "gateway/loadprober.h"
#include "gateway/requestlog.h"
#include "gateway/retrybudget.h"
#include "gateway/routelatencies.h"
#include "gateway/servertable.h"
#include "gateway/splitchooser.h"
#include "gateway/upstreampool.h"
#include "http/server.h"
#include "routing/routetable.h"

namespace Galenabarrow::Gateway
{

/// A body up to this size is held until its request is finished, so that it can be sent to another server. Of a longer one only
/// the part that has not been sent is held.
constexpr std::size_t MaxHeldBody = std::size_t { 1024 } * 1024;
/// Requests with a body of at least this size are handled while the body is being received.
constexpr std::size_t MinForwardedBody = std::size_t { 16 } * 1024;

struct RequestCounters {
    std::uint64_t received = 0;
    std::uint64_t answered = 0;
    std::uint64_t noConfig = 0;
    std::uint64_t noRoute = 0;
    /// Requests that were answered 401: without a key, or with an unknown one.
    std::uint64_t unauthorized = 0;
    /// Rejected requests with an unknown key that a newer configuration may contain.
    std::uint64_t unconfirmedKey = 0;
    std::uint64_t rejected = 0;
    std::uint64_t failed = 0;
    std::uint64_t timedOut = 0;
    std::uint64_t callerDisconnected = 0;
    std::uint64_t attempts = 0;
    std::uint64_t furtherAttempts = 0;
    std::uint64_t retryBudgetSpent = 0;
    /// Requests that waited for a free server.
    std::uint64_t waited = 0;
    /// Requests that waited for the first configuration of this entry.
    std::uint64_t waitedForConfig = 0;
    /// Requests beyond the quota of their account.
    std::uint64_t overQuota = 0;
    /// Rejected requests that no server would have taken by its own limit.
    std::uint64_t limited = 0;
    /// Rejected requests whose servers all leave or turn requests away for a time.
    std::uint64_t excluded = 0;
    /// Rejected requests of services whose servers are all in evacuated data centres.
    std::uint64_t evacuated = 0;
    /// Rejected requests that have crashed servers.
    std::uint64_t heldBack = 0;
    /// Rejected requests that could have outlasted the stop of this entry.
    std::uint64_t rejectedByStop = 0;
    /// Requests that were in progress when this entry ended.
    std::uint64_t endedByStop = 0;
    /// Requests that an unexpected error ended.
    std::uint64_t endedByError = 0;
};

/// Serves the requests of callers: finds the route, chooses servers, sends attempts within the limits of the route and the
/// retry budget, and answers. Lives on the thread of its event loop.
class RequestRunner
{
public:
    /// The time since the routing state was last confirmed to be up to date; absent before the first confirmation.
    using StateAgeSource = std::function<std::optional<Duration>()>;

    RequestRunner(Net::EventLoop &loop, RandomSource &random, HeaderNames headerNames, RetryBudgetSettings budget, ProbeSettings probes,
                  ServerTable &servers);
    ~RequestRunner();
    RequestRunner(const RequestRunner &) = delete;
    RequestRunner &operator=(const RequestRunner &) = delete;

    /// Requests in progress keep the route they started with.
    void setConfig(const Routing::RoutingConfig &config);
    bool hasConfig() const;
    /// Without a source, the state counts as unconfirmed, and no unknown key is answered 401.
    void setStateAgeSource(StateAgeSource source);
    void setEntryCount(unsigned count);
    /// Announces the end of this entry: from now on, a request whose deadline lies after \p end is not passed on. The servers are free
    /// to use all the time until the deadline, so such a request could be cut without an answer.
    void rejectBeyond(Instant end);
    /// Answers every request in progress, as the entry ends: with an unknown outcome where it may have run.
    void endRequests();
    void handle(const Http::ExchangePointer &exchange);
    /// Applies \p budget to what is received from servers; see UpstreamPool::setMemoryBudget().
    void setMemoryBudget(Net::MemoryBudget *budget);
    /// Closes the idle connections to servers that have left.
    void retire(const std::vector<ServerId> &servers);
    CrashWatch &crashWatch();
    AccountQuotas &quotas();
    std::size_t running() const;
    const RequestCounters &counters() const;
    /// The counters and gauges of this entry in the Prometheus text format.
    std::string metrics() const;

private:
    class Run;

    /// A request that waits for the first configuration.
    struct WaitingExchange {
        Http::ExchangePointer exchange;
        Net::TimerId timer = 0;
    };

    void dispatch(const Http::ExchangePointer &exchange);
    /// Queues a request that arrives before the first configuration. A starting entry receives it within some tenths of a second,
    /// callers make few attempts, and a request that waits is often still answered in time.
    void waitForConfig(const Http::ExchangePointer &exchange);
    void rejectWithoutConfig(const Http::ExchangePointer &exchange);
    void dispatchWaitingForConfig();
    /// Answers a request whose key was not accepted: with 401, or with 503 if a newer configuration may contain the key.
    void rejectKey(const Http::ExchangePointer &exchange, KeyResult result);
    bool isStateConfirmed() const;
    /// Answers a request beyond the quota of its account; false then.
    bool admitByQuota(const Http::ExchangePointer &exchange, const AccountId &account);
    Http::Response makeRejection(Duration retryAfter, unsigned status = 503) const;
    bool withdrawRetryBudget(const ServiceId &service);
    RetryBudget &budgetOf(const ServiceId &service);
    /// If \p server is known to be free, sends it the first queued request that was not sent to it before.
    void offerSlot(const ServiceId &service, const ServerId &server);

    Net::EventLoop &m_loop;
    RandomSource &m_random;
    HeaderNames m_headerNames;
    RetryBudgetSettings m_budgetSettings;
    ServerTable &m_servers;
    UpstreamPool m_pool;
    LoadProber m_prober;
    CrashWatch m_crashes;
    AccountQuotas m_quotas;
    SplitChooser m_splits;
    std::unique_ptr<Routing::RouteTable> m_routes;
    AccountIndex m_accounts;
    StateAgeSource m_stateAgeSource;
    Instant m_createdAt;
    /// The latest deadline of the requests that are passed on; set while this entry stops.
    std::optional<Instant> m_lastDeadline;
    std::list<WaitingExchange> m_waitingForConfig;
    Version m_version;
    std::map<ServiceId, RetryBudget> m_budgets;
    unsigned m_entryCount = 1;
    RequestLog m_log;
    RouteLatencies m_latencies;
    RequestCounters m_counters;
    std::set<std::shared_ptr<Run>> m_runs;
    /// Requests that wait for a free server, by service; ordered by priority, then by age.
    struct WaitKey {
        int priority = 0;
        Instant since {};
        std::uint64_t number = 0;

        auto operator<=>(const WaitKey &) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 reports the rewritten comparison
    };
    std::map<ServiceId, std::map<WaitKey, std::weak_ptr<Run>>> m_waiting;
    std::uint64_t m_lastNumber = 0;
};

}
