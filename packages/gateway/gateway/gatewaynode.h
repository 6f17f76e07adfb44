#pragma once

#include <functional>

#include "coordination/corelink.h"
#include "gateway/requestrunner.h"

namespace Galenabarrow::Gateway
{

/// Settings of an entry instance.
struct GatewaySettings {
    Coordination::EntryInfo self;
    std::vector<InstanceId> seeds;
    /// Where callers connect.
    Net::SocketAddress listen;
    RetryBudgetSettings budget;
    ProbeSettings probes;
    HeaderNames headerNames;
    /// Time between a stop and the end of the process by force.
    Duration grace = std::chrono::seconds(6);
};

/// An entry instance: takes the requests of callers, with the state that the core feeds it.
class GatewayNode
{
public:
    GatewayNode(Net::EventLoop &loop, GatewaySettings settings, const Wire::FrameCodec &codec, RandomSource &random);

    /// Fails with AddressUnavailable.
    Result<void> start();
    /// Whether callers should be sent here.
    bool isReady() const;
    /// Takes no more callers, finishes the requests that run, then calls \p done.
    void stop(std::function<void()> done);
    void setSeeds(std::vector<InstanceId> seeds);
    /// The metrics page of this entry, with the age of what it believes.
    std::string metrics() const;

private:
    void apply(const Coordination::FeedUpdate &update);
    void applyLimits(const Routing::CallerLimits &limits);
    void checkStopped();

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
    Instant m_stopAt {};
    std::function<void()> m_stopped;
};

}
