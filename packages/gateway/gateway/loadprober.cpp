#include "gateway/loadprober.h"

#include <algorithm>
#include <utility>

namespace Galenabarrow::Gateway
{

namespace
{
/// The tokens of this time may be accumulated for a burst of requests.
constexpr double BurstSeconds = 1;
}

LoadProber::LoadProber(Net::EventLoop &loop, const HeaderNames &headerNames, ProbeSettings settings, ServerTable &servers,
                       UpstreamPool &pool)
    : m_loop(loop)
    , m_headerNames(headerNames)
    , m_settings(settings)
    , m_servers(servers)
    , m_pool(pool)
    , m_refilledAt(loop.now())
{
}

void LoadProber::setPaths(std::map<ServiceId, std::string> paths)
{
    m_paths = std::move(paths);
}

void LoadProber::setEntryCount(unsigned count)
{
    m_entryCount = std::max(1U, count);
}

bool LoadProber::probe(const ServerId &server, ProbeCallback callback)
{
    const auto running = m_probes.find(server);
    if (running != m_probes.end()) {
        if (running->second.isLate) {
            return false;
        }
        running->second.waiting.push_back(std::move(callback));
        return true;
    }
    const ServerRow *row = m_servers.find(server);
    const auto path = row == nullptr ? m_paths.end() : m_paths.find(row->server.service);
    if (path == m_paths.end() || path->second.empty() || !m_servers.mayReceive(server, m_loop.now()) || !withdrawProbeBudget()) {
        ++m_refused;
        return false;
    }
    Http::Request request;
    request.method = "GET";
    request.target = path->second;
    request.fields.add("Host", row->server.address);
    Probe &probe = m_probes[server];
    probe.waiting.push_back(std::move(callback));
    probe.born = row->server.born;
    probe.sentAt = m_loop.now();
    probe.attempt = m_pool.send(row->server, UpstreamRequest { Http::serialize(request), {}, false });
    probe.attempt->onResponse([this, server](const Http::Response &response) { handleResponse(server, response); });
    probe.attempt->onFailure([this, server](AttemptFailure) { finish(server, false); });
    probe.timer = m_loop.after(m_settings.lateAfter, [this, server] { markLate(server); });
    ++m_sent;
    m_servers.limits().recordSend(server, SendKind::Probe, m_loop.now());
    m_servers.coldLimits().recordSend(*row, m_loop.now());
    return true;
}

void LoadProber::onLateAnswer(LateAnswerCallback callback)
{
    m_onLateAnswer = std::move(callback);
}

std::uint64_t LoadProber::sent() const
{
    return m_sent;
}

std::uint64_t LoadProber::refused() const
{
    return m_refused;
}

bool LoadProber::withdrawProbeBudget()
{
    // Evacuated servers get no probes, so counting them would raise the rate of probes at the others above the limit.
    const double rate = m_settings.perServerPerSecond * static_cast<double>(m_servers.unevacuatedCount()) / m_entryCount;
    const double elapsed = std::chrono::duration<double>(m_loop.now() - m_refilledAt).count();
    m_refilledAt = m_loop.now();
    m_tokens = std::min(m_tokens + rate * elapsed, rate * BurstSeconds);
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

void LoadProber::handleResponse(const ServerId &server, const Http::Response &response)
{
    const std::string *id = response.fields.find(m_headerNames.serverId);
    const bool isOtherServer = id != nullptr && *id != server.value();
    const std::string *text = response.fields.find(m_headerNames.serverLoad);
    const auto load = text == nullptr ? std::nullopt : parseLoadReport(*text, m_loop.now());
    if (load && !isOtherServer) {
        m_servers.updateLoad(server, *load);
    }
    const auto probe = m_probes.find(server);
    const auto statement = readProbeStatement(response, m_headerNames, server);
    if (statement && probe != m_probes.end()) {
        m_servers.recordStatement(server, probe->second.born, *statement, probe->second.sentAt, m_loop.now());
    }
    finish(server, !isOtherServer);
}

void LoadProber::markLate(const ServerId &server)
{
    const auto it = m_probes.find(server);
    if (it == m_probes.end()) {
        return;
    }
    it->second.isLate = true;
    it->second.timer = m_loop.after(m_settings.abandonAfter - m_settings.lateAfter, [this, server] { finish(server, false); });
    m_servers.recordLateProbe(server);
    for (const ProbeCallback &callback : std::exchange(it->second.waiting, {})) {
        callback(false);
    }
}

void LoadProber::finish(const ServerId &server, bool hasAnswered)
{
    const auto it = m_probes.find(server);
    if (it == m_probes.end()) {
        return;
    }
    const Probe probe = std::move(it->second);
    m_probes.erase(it);
    m_loop.cancel(probe.timer);
    probe.attempt->cancel();
    m_loop.defer([attempt = probe.attempt] {});
    m_servers.recordProbe(server, hasAnswered, m_loop.now());
    for (const ProbeCallback &callback : probe.waiting) {
        callback(hasAnswered);
    }
    if (probe.isLate && hasAnswered && m_onLateAnswer) {
        m_onLateAnswer(server);
    }
}

}
