#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/dialect.h"
#include "gateway/servertable.h"
#include "gateway/upstreampool.h"

namespace Galenabarrow::Gateway
{

/// Bounds of the load probes of one entry.
struct ProbeSettings {
    /// Probes to one backend server in a second, over all entries; two thirds of what the platform allows by default.
    double perServerAndSecond = 40;
    /// A server that has not answered in this time is busy or gone. A health check takes some milliseconds, and a round
    /// trip between data centres two.
    Duration limit = std::chrono::milliseconds(25);
};

/// Asks backend servers for their load just before a choice among them: neighbours change it within milliseconds, so what
/// the last response said is of little use by then. Probes to one server are shared, and bounded in number.
class LoadProber
{
public:
    /// Told whether the server answered.
    using Done = std::function<void(bool)>;

    LoadProber(Net::EventLoop &loop, const Dialect &dialect, ProbeSettings settings, ServerTable &servers, UpstreamPool &pool);

    /// Health paths by service.
    void setPaths(std::map<ServiceId, std::string> paths);
    void setEntryCount(unsigned count);
    /// Starts a probe, or joins the one under way. False when the budget is spent, or the service has no health path.
    bool probe(const ServerId &server, Done done);
    std::uint64_t sent() const;
    std::uint64_t refused() const;

private:
    struct Probe {
        std::shared_ptr<Attempt> attempt;
        std::vector<Done> waiting;
        Net::TimerId timer = 0;
        Instant startedAt {};
    };
    bool takeBudget();
    void answered(const ServerId &server, const Http::Response &response);
    void finish(const ServerId &server, bool hasAnswered);

    Net::EventLoop &m_loop;
    Dialect m_dialect;
    ProbeSettings m_settings;
    ServerTable &m_servers;
    UpstreamPool &m_pool;
    std::map<ServiceId, std::string> m_paths;
    std::map<ServerId, Probe> m_probes;
    unsigned m_entryCount = 1;
    double m_tokens = 0;
    Instant m_refilledAt;
    std::uint64_t m_sent = 0;
    std::uint64_t m_refused = 0;
};

}
