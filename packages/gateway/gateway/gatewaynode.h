#pragma once

#include <functional>

#include "coordination/corelink.h"
#include "gateway/requestrunner.h"

namespace Galenabarrow::Gateway
{

/// A process that stops ends this long before it would be killed, even if responses are still being sent.
constexpr Duration StopMargin = std::chrono::milliseconds(300);
/// A stopping entry answers the requests that are still in progress this long before its end, so that the answers are taken.
constexpr Duration StopAnswerTime = std::chrono::milliseconds(100);
/// Interval at which a stopping process checks whether its connections have ended.
constexpr Duration StopCheckInterval = std::chrono::milliseconds(50);

struct GatewaySettings {
    Coordination::EntryInfo self;
    std::vector<InstanceId> seeds;
    /// The address at which callers connect.
    Net::SocketAddress listen;
    RetryBudgetSettings budget;
    ProbeSettings probes;
    HeaderNames headerNames;
    /// Time from stop() until the process is killed.
    Duration grace = std::chrono::seconds(6);
    /// The memory held for callers; null for no bound. It must outlive the node.
    Net::MemoryBudget *memory = nullptr;
    /// Largest number of connections of callers; 0 for no bound.
    std::size_t maxConnections = 0;
};

/// An entry instance: serves the requests of callers with the routing state that a core instance feeds to it.
class GatewayNode
{
public:
    GatewayNode(Net::EventLoop &loop, GatewaySettings settings, const Wire::FrameCodec &codec, RandomSource &random);

    /// Fails with AddressUnavailable.
    Result<void> start();
    /// Whether callers may be directed to this instance: it has received a configuration and servers, and is
    /// not stopping.
    bool isReady() const;
    /// Drains: accepts requests for a part of the grace period, but only those whose deadline lies before its end, finishes those in
    /// progress, waits until the callers' sides have taken the responses, then calls \p done. It is called StopMargin before the end of
    /// the grace period at the latest. Further calls of this function have no effect.
    void stop(std::function<void()> done);
    /// Time since the routing state was last confirmed to be up to date; absent before the first confirmation.
    std::optional<Duration> stateAge() const;
    void setSeeds(std::vector<InstanceId> seeds);
    /// Number of connections of callers closed because of GatewaySettings::maxConnections.
    std::uint64_t refusedConnections() const;
    /// The metrics page of this entry, with the age of its routing state.
    std::string metrics() const;

private:
    void apply(const Coordination::FeedUpdate &update);
    void applyLimits(const Routing::CallerLimits &limits);
    void checkStopped();
    /// When the requests that are still in progress are answered.
    Instant lastAnswerAt() const;

    Net::EventLoop &m_loop;
    GatewaySettings m_settings;
    Log m_log;
    ServerTable m_servers;
    RequestRunner m_runner;
    Http::Server m_server;
    Coordination::CoreLink m_link;
    Routing::RoutingConfig m_config;
    LogIndex m_configIndex;
    bool m_hasServers = false;
    bool m_isStopping = false;
    Instant m_stopStartedAt {};
    std::function<void()> m_onStopped;
};

}
