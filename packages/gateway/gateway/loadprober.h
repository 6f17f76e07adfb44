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

/// Limits of the load probes of one entry.
struct ProbeSettings {
    /// Probes to one backend server per second, over all entries; the default is two thirds of what the platform allows.
    double perServerPerSecond = 40;
    /// A probe without an answer is late after this time: the server is busy or has gone. A health check takes some
    /// milliseconds, and a round trip between data centres two.
    Duration lateAfter = std::chrono::milliseconds(25);
    /// A probe without an answer is abandoned after this time; several times the duration of the work queued before it.
    Duration abandonAfter = std::chrono::milliseconds(1000);
};

/// Requests the load of backend servers just before a choice among them: neighbours on the machine change it within
/// milliseconds, so the load in the last response is outdated by then. Concurrent requests share a probe to the same server,
/// and the rate of probes is limited.
///
/// At a full server a new connection waits for a slot. A late probe is therefore not cancelled: its answer shows when the
/// server has a free slot, and its connection can be reused. Until then no other probe is sent to the server.
class LoadProber
{
public:
    /// Called with whether the server answered in time.
    using ProbeCallback = std::function<void(bool)>;
    /// Called with a server that answered a late probe.
    using LateAnswerCallback = std::function<void(const ServerId &)>;

    LoadProber(Net::EventLoop &loop, const HeaderNames &headerNames, ProbeSettings settings, ServerTable &servers, UpstreamPool &pool);

    /// Sets the paths of the health checks by service.
    void setPaths(std::map<ServiceId, std::string> paths);
    void setEntryCount(unsigned count);
    void onLateAnswer(LateAnswerCallback callback);
    /// Starts a probe, or joins the one in progress. False when the budget is spent, the server or its health path is not
    /// known, the server takes nothing by its own statement or is evacuated, or the probe in progress is late; then \p callback is
    /// not called.
    bool probe(const ServerId &server, ProbeCallback callback);
    std::uint64_t sent() const;
    std::uint64_t refused() const;

private:
    struct Probe {
        std::shared_ptr<Attempt> attempt;
        /// The incarnation of the server that it is meant for.
        std::uint64_t born = 0;
        Instant sentAt {};
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
