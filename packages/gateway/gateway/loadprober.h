#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/headernames.h"
#include "gateway/servertable.h"
#include "gateway/upstreampool.h"

namespace Galenabarrow::Gateway
{

/// Bounds of the load probes of one entry.
struct ProbeSettings {
    /// Probes to one backend server in a second, over all entries; two thirds of what the platform allows by default.
    double perServerPerSecond = 40;
    /// A server that has not answered in this time is busy or gone. A health check takes some milliseconds, and a round
    /// trip between data centres two.
    Duration lateAfter = std::chrono::milliseconds(25);
    /// A probe without an answer is given up after this time; several times the work that may be before it.
    Duration abandonAfter = std::chrono::milliseconds(1000);
};

/// Asks backend servers for their load just before a choice among them: neighbours change it within milliseconds, so what
/// the last response said is of little use by then. Probes to one server are shared, and bounded in number.
///
/// At a full server a new connection waits for a slot. A probe that is late is not taken back: its answer tells when the
/// server has room again, and its connection is of use later. Until then the server is not asked again.
class LoadProber
{
public:
    /// Told whether the server answered.
    using ProbeCallback = std::function<void(bool)>;
    /// Takes a server that answered a late probe.
    using LateAnswerCallback = std::function<void(const ServerId &)>;

    LoadProber(Net::EventLoop &loop, const HeaderNames &headerNames, ProbeSettings settings, ServerTable &servers, UpstreamPool &pool);

    /// Health paths by service.
    void setPaths(std::map<ServiceId, std::string> paths);
    void setEntryCount(unsigned count);
    void onLateAnswer(LateAnswerCallback callback);
    /// Starts a probe, or joins the one under way. False when the budget is spent, the service has no health path, or the
    /// last probe is late.
    bool probe(const ServerId &server, ProbeCallback callback);
    std::uint64_t sent() const;
    std::uint64_t refused() const;

private:
    struct Probe {
        std::shared_ptr<Attempt> attempt;
        std::vector<ProbeCallback> waiting;
        Net::TimerId timer = 0;
        bool isLate = false;
    };
    bool withdrawProbeBudget();
    void markLate(const ServerId &server);
    void handleResponse(const ServerId &server, const Http::Response &response);
    void finish(const ServerId &server, bool hasAnswered);

    Net::EventLoop &m_loop;
    HeaderNames m_headerNames;
    ProbeSettings m_settings;
    ServerTable &m_servers;
    UpstreamPool &m_pool;
    std::map<ServiceId, std::string> m_paths;
    std::map<ServerId, Probe> m_probes;
    LateAnswerCallback m_onLateAnswer;
    unsigned m_entryCount = 1;
    double m_tokens = 0;
    Instant m_refilledAt;
    std::uint64_t m_sent = 0;
    std::uint64_t m_refused = 0;
};

}
