#include "gateway/coldlimits.h"

#include <algorithm>
#include <cmath>

#include "gateway/servertable.h"
#include "report/metricstext.h"

namespace Galenabarrow::Gateway
{

namespace
{

/// The part of an equal share that is used while the share is not known. The entries' first requests are at random times, so their sum in a
/// second varies: with the whole equal share of 4.6 a second, about one second in 10,000 would exceed the tolerated 14.9 requests by the
/// Poisson distribution, with half of it one in 40 million.
constexpr double UnknownShareFactor = 0.5;

}

ColdLimits::ColdLimits(RandomSource &random)
    : m_random(random)
    , m_log("limits")
{
}

void ColdLimits::setServices(const std::vector<Routing::Service> &services)
{
    m_services.clear();
    for (const Routing::Service &it : services) {
        if (it.coldPerSecond > 0) {
            m_services.emplace(it.name, ServiceLimit { it.coldPerSecond, it.coldStart });
        }
    }
}

void ColdLimits::apply(const Coordination::FeedUpdate &update, Instant /*now*/)
{
    m_entryCount = std::max(1U, update.entryCount);
    m_coveredUpTo = update.coldIndex;
    if (!update.coldShares) {
        return;
    }
    m_shares.clear();
    for (const Coordination::ColdShare &it : *update.coldShares) {
        m_shares.emplace(it.server, it);
    }
}

void ColdLimits::track(const std::map<ServerId, ServerRow> &rows, Instant now)
{
    if (m_services.empty() && m_buckets.empty()) {
        return;
    }
    const bool wasAnyLimited = !m_buckets.empty();
    std::erase_if(m_buckets, [&](const auto &it) {
        const auto row = rows.find(it.first);
        return row == rows.end() || now >= it.second.until || limitOf(row->second) == nullptr;
    });
    for (const auto &[id, row] : rows) {
        const ServiceLimit *limit = now < row.coldUntil ? limitOf(row) : nullptr;
        if (limit == nullptr) {
            continue;
        }
        const auto [it, isNew] = m_buckets.try_emplace(id);
        Bucket &bucket = it->second;
        const std::optional<double> known = share(row);
        if (isNew) {
            ++m_started;
            bucket.tokens = known ? 0 : -m_random.unit();
        } else {
            bucket.tokens = tokens(bucket, now);
        }
        bucket.refilledAt = now;
        bucket.until = row.coldUntil;
        bucket.perSecond = known.value_or(limit->perSecond / m_entryCount * UnknownShareFactor);
        if (known) {
            // A share that has moved to another entry leaves no token here.
            bucket.tokens = *known > 0 ? std::max(0.0, bucket.tokens) : 0;
        }
    }
    logChange(wasAnyLimited);
}

void ColdLimits::logChange(bool wasAnyLimited) const
{
    if (m_buckets.empty() == !wasAnyLimited) {
        return;
    }
    if (m_buckets.empty()) {
        m_log.info("cold_limits_ended", {});
        return;
    }
    const auto shares = std::count_if(m_buckets.begin(), m_buckets.end(), [](const auto &it) { return it.second.perSecond > 0; });
    m_log.info("cold_limits_started", { { "servers", std::to_string(m_buckets.size()) }, { "shares", std::to_string(shares) } });
}

const ColdLimits::ServiceLimit *ColdLimits::limitOf(const ServerRow &row) const
{
    const auto it = m_services.find(row.server.service);
    return it == m_services.end() ? nullptr : &it->second;
}

std::optional<double> ColdLimits::share(const ServerRow &row) const
{
    if (const auto it = m_shares.find(row.server.id); it != m_shares.end()) {
        return it->second.perSecond;
    }
    const bool isCovered =
        row.server.changedAt <= m_coveredUpTo && row.coldUntil <= row.toldColdUntil + Routing::RoutingState::ColdTolerance;
    return isCovered ? std::optional(0.0) : std::nullopt;
}

bool ColdLimits::hasLimit(const ServiceId &service) const
{
    return m_services.contains(service);
}

Duration ColdLimits::boundedColdTime(const ServiceId &service, Duration coldLeft) const
{
    const auto it = m_services.find(service);
    return it == m_services.end() ? coldLeft : std::min(coldLeft, it->second.coldStart);
}

bool ColdLimits::isLimited(const ServerRow &row, Instant now) const
{
    return now < row.coldUntil && limitOf(row) != nullptr;
}

bool ColdLimits::isAnyLimited() const
{
    return !m_buckets.empty();
}

double ColdLimits::tokens(const Bucket &bucket, Instant now)
{
    return std::min(1.0, bucket.tokens + bucket.perSecond * std::chrono::duration<double>(now - bucket.refilledAt).count());
}

Duration ColdLimits::wait(const ServerRow &row, Instant now) const
{
    if (!isLimited(row, now)) {
        return {};
    }
    const Duration coldLeft = row.coldUntil - now;
    const auto it = m_buckets.find(row.server.id);
    if (it == m_buckets.end()) {
        return coldLeft; // became cold since the last call of track()
    }
    const double missing = 1 - tokens(it->second, now);
    if (missing <= 0) {
        return {};
    }
    const double seconds = it->second.perSecond > 0 ? missing / it->second.perSecond : std::chrono::duration<double>(coldLeft).count();
    return std::min(coldLeft, Duration(static_cast<Duration::rep>(std::ceil(seconds * 1e6))));
}

bool ColdLimits::awaitsFirstRequest(const ServerRow &row, Instant now) const
{
    if (!isLimited(row, now) || wait(row, now) > Duration {}) {
        return false;
    }
    const auto share = m_shares.find(row.server.id);
    return share != m_shares.end() && share->second.isFirst && !m_buckets.at(row.server.id).hasSent;
}

void ColdLimits::recordSend(const ServerRow &row, Instant now)
{
    const auto it = m_buckets.find(row.server.id);
    if (it == m_buckets.end() || !isLimited(row, now)) {
        return;
    }
    ++m_sent;
    it->second.tokens = tokens(it->second, now) - 1;
    it->second.refilledAt = now;
    it->second.hasSent = true;
}

void ColdLimits::recordWithheld()
{
    ++m_withheld;
}

void ColdLimits::remove(const ServerId &server)
{
    m_buckets.erase(server);
}

std::string ColdLimits::metrics(Instant now) const
{
    using Kind = Report::MetricsText::Kind;
    std::uint64_t cold = 0;
    double sum = 0;
    for (const auto &[server, bucket] : m_buckets) {
        cold += now < bucket.until ? 1 : 0;
        sum += now < bucket.until ? bucket.perSecond : 0;
    }
    Report::MetricsText text;
    text.family("galenabarrow_gateway_cold_servers", Kind::Gauge, "Backend servers that have just started and whose requests are limited.");
    text.sample({}, cold);
    text.family("galenabarrow_gateway_cold_share", Kind::Gauge, "Requests a second that this entry may send to cold servers.");
    text.sample({}, sum);
    text.family("galenabarrow_gateway_cold_starts_total", Kind::Counter, "Cold times of backend servers with a limit.");
    text.sample({}, m_started);
    text.family("galenabarrow_gateway_cold_sends_total", Kind::Counter, "Requests and probes sent to cold servers.");
    text.sample({}, m_sent);
    text.family("galenabarrow_gateway_cold_withheld_total", Kind::Counter,
                "Requests for which a cold server of their service was left out because of its limit.");
    text.sample({}, m_withheld);
    return text.text();
}

}
