#include "gateway/loadprober.h"

#include <algorithm>
#include <utility>

namespace Galenabarrow::Gateway
{

namespace
{
/// Time whose probes may be saved up for a burst of requests.
constexpr double SavedSeconds = 1;
}

LoadProber::LoadProber(Net::EventLoop &loop, const Dialect &dialect, ProbeSettings settings, ServerTable &servers, UpstreamPool &pool)
    : m_loop(loop)
    , m_dialect(dialect)
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

bool LoadProber::probe(const ServerId &server, Done done)
{
    const auto running = m_probes.find(server);
    if (running != m_probes.end()) {
        if (running->second.isLate) {
            return false;
        }
        running->second.waiting.push_back(std::move(done));
        return true;
    }
    const ServerRow *row = m_servers.find(server);
    const auto path = row == nullptr ? m_paths.end() : m_paths.find(row->server.service);
    if (path == m_paths.end() || path->second.empty() || !takeBudget()) {
        ++m_refused;
        return false;
    }
    Http::Request request;
    request.method = "GET";
    request.target = path->second;
    request.fields.add("Host", row->server.address);
    Probe &probe = m_probes[server];
    probe.waiting.push_back(std::move(done));
    probe.attempt = m_pool.send(row->server, UpstreamRequest { Http::serialize(request), {}, false });
    probe.attempt->onResponse([this, server](const Http::Response &response) { answered(server, response); });
    probe.attempt->onFailure([this, server](AttemptFailure) { finish(server, false); });
    probe.timer = m_loop.after(m_settings.limit, [this, server] { becomeLate(server); });
    ++m_sent;
    return true;
}

void LoadProber::onLateAnswer(LateAnswer callback)
{
    m_lateAnswer = std::move(callback);
}

std::uint64_t LoadProber::sent() const
{
    return m_sent;
}

std::uint64_t LoadProber::refused() const
{
    return m_refused;
}

bool LoadProber::takeBudget()
{
    const double rate = m_settings.perServerAndSecond * static_cast<double>(m_servers.size()) / m_entryCount;
    const double elapsed = std::chrono::duration<double>(m_loop.now() - m_refilledAt).count();
    m_refilledAt = m_loop.now();
    m_tokens = std::min(m_tokens + rate * elapsed, rate * SavedSeconds);
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

void LoadProber::answered(const ServerId &server, const Http::Response &response)
{
    const std::string *id = response.fields.find(m_dialect.serverId);
    const bool isOther = id != nullptr && *id != server.value();
    const std::string *text = response.fields.find(m_dialect.serverLoad);
    const auto load = text == nullptr ? std::nullopt : parseLoadReport(*text, m_loop.now());
    if (load && !isOther) {
        m_servers.noteLoad(server, *load);
    }
    finish(server, !isOther);
}

void LoadProber::becomeLate(const ServerId &server)
{
    const auto it = m_probes.find(server);
    if (it == m_probes.end()) {
        return;
    }
    it->second.isLate = true;
    it->second.timer = m_loop.after(m_settings.abandonAfter - m_settings.limit, [this, server] { finish(server, false); });
    m_servers.noteLateProbe(server);
    for (const Done &done : std::exchange(it->second.waiting, {})) {
        done(false);
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
    m_servers.noteProbe(server, hasAnswered, m_loop.now());
    for (const Done &done : probe.waiting) {
        done(hasAnswered);
    }
    if (probe.isLate && hasAnswered && m_lateAnswer) {
        m_lateAnswer(server);
    }
}

}
