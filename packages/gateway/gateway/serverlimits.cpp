#include "gateway/serverlimits.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "coordination/limitdivider.h"
#include "report/metricstext.h"

namespace Galenabarrow::Gateway
{

namespace
{

constexpr std::array<std::string_view, 3> SourceNames { "response", "rejection", "probe" };
constexpr std::array<std::string_view, 3> SendNames { "first", "further", "probe" };
/// The bucket of a server holds the tokens of this time, but at least one.
constexpr double BurstSeconds = 0.5;
/// A limit that differs by a larger share from the one that the core knows is reported at once, others with the next report.
constexpr double UrgentDifference = 0.1;

std::string formatRate(double perSecond)
{
    std::array<char, 32> buf {};
    std::snprintf(buf.data(), buf.size(), "%.3f", perSecond);
    return buf.data();
}

bool isUrgent(std::optional<double> known, std::optional<double> stated)
{
    if (known.has_value() != stated.has_value()) {
        return true;
    }
    return known && std::abs(*stated - *known) > *known * UrgentDifference;
}

}

ServerLimits::ServerLimits()
    : m_log("limits")
{
}

bool ServerLimits::record(const ServerId &server, std::uint64_t born, const LimitField &field, StatementSource source, Instant sentAt,
                          Instant now)
{
    if (field.isPresent && !field.perSecond) {
        ++m_unreadable;
        return false;
    }
    const auto known = m_rows.find(server);
    const std::optional<double> before = known == m_rows.end() || known->second.born != born ? std::nullopt : limitOf(known->second);
    if (!field.perSecond && (!before || source != StatementSource::Response || sentAt < known->second.limitedSince)) {
        return false;
    }
    if (field.perSecond) {
        ++m_statements.at(static_cast<std::size_t>(source));
    }
    Row &row = rowFor(server, born);
    refill(row, now);
    row.heard = Statement { field.perSecond, now };
    logChange(server, row, before, SourceNames.at(static_cast<std::size_t>(source)), now);
    return isUrgent(row.told ? row.told->perSecond : std::nullopt, field.perSecond);
}

void ServerLimits::apply(const std::vector<Coordination::LimitShare> &shares, unsigned entryCount, Instant now)
{
    m_entryCount = std::max(1U, entryCount);
    for (const Coordination::LimitShare &it : shares) {
        const auto known = m_rows.find(it.limit.server);
        if (known != m_rows.end() && known->second.born > it.limit.born) {
            continue; // the statement of an earlier incarnation
        }
        if (known == m_rows.end() && !it.limit.perSecond) {
            continue;
        }
        Row &row = rowFor(it.limit.server, it.limit.born);
        const std::optional<double> before = limitOf(row);
        refill(row, now);
        row.told = Statement { it.limit.perSecond, now - it.limit.age };
        row.share = it.perSecond;
        logChange(it.limit.server, row, before, "core", now);
    }
}

std::vector<Coordination::ServerLimit> ServerLimits::toReport(bool all, Instant now) const
{
    std::vector<Coordination::ServerLimit> limits;
    for (const auto &[server, row] : m_rows) {
        const Statement *statement = newest(row);
        const bool isTold = row.told && row.told->perSecond == statement->perSecond;
        if (all || !isTold) {
            limits.push_back(Coordination::ServerLimit { server, row.born, statement->perSecond, now - statement->at });
        }
    }
    return limits;
}

bool ServerLimits::isAnyLimited() const
{
    return std::any_of(m_rows.begin(), m_rows.end(), [](const auto &it) { return limitOf(it.second).has_value(); });
}

Duration ServerLimits::wait(const ServerId &server, std::uint64_t born, Instant now) const
{
    const auto it = m_rows.find(server);
    if (it == m_rows.end() || it->second.born != born || !limitOf(it->second)) {
        return {};
    }
    const double missing = 1 - tokens(it->second, now);
    if (missing <= 0) {
        return {};
    }
    const double perSecond = rate(it->second);
    return perSecond > 0 ? Duration(static_cast<Duration::rep>(std::ceil(missing / perSecond * 1e6))) : Duration::max();
}

bool ServerLimits::maySend(const ServerId &server, std::uint64_t born, Instant now) const
{
    return wait(server, born, now) == Duration {};
}

void ServerLimits::recordSend(const ServerId &server, SendKind kind, Instant now)
{
    const auto it = m_rows.find(server);
    if (it == m_rows.end() || !limitOf(it->second)) {
        return;
    }
    ++m_sends.at(static_cast<std::size_t>(kind));
    if (kind != SendKind::Probe) {
        refill(it->second, now);
        it->second.tokens = std::max(0.0, it->second.tokens - 1);
    }
}

void ServerLimits::remove(const ServerId &server)
{
    m_rows.erase(server);
}

ServerLimits::Row &ServerLimits::rowFor(const ServerId &server, std::uint64_t born)
{
    Row &row = m_rows[server];
    if (row.born != born) {
        row = Row {};
        row.born = born;
    }
    return row;
}

const ServerLimits::Statement *ServerLimits::newest(const Row &row)
{
    if (row.heard && (!row.told || row.heard->at >= row.told->at)) {
        return &*row.heard;
    }
    return row.told ? &*row.told : nullptr;
}

std::optional<double> ServerLimits::limitOf(const Row &row)
{
    const Statement *statement = newest(row);
    return statement == nullptr ? std::nullopt : statement->perSecond;
}

double ServerLimits::rate(const Row &row) const
{
    const double limit = std::max(*limitOf(row), Coordination::LimitDivider::MinLimit);
    if (!row.told || !row.told->perSecond) {
        return limit / m_entryCount;
    }
    // The core has divided an older limit when this entry has just heard another one.
    const double divided = std::max(*row.told->perSecond, Coordination::LimitDivider::MinLimit);
    return row.share * std::min(1.0, limit / divided);
}

double ServerLimits::capacity(double rate)
{
    return std::max(1.0, rate * BurstSeconds);
}

double ServerLimits::tokens(const Row &row, Instant now) const
{
    const double perSecond = rate(row);
    const double elapsed = std::chrono::duration<double>(now - row.refilledAt).count();
    return std::min(row.tokens + perSecond * elapsed, capacity(perSecond));
}

void ServerLimits::refill(Row &row, Instant now) const
{
    if (limitOf(row)) {
        row.tokens = tokens(row, now);
    }
    row.refilledAt = now;
}

void ServerLimits::logChange(const ServerId &server, Row &row, std::optional<double> before, std::string_view by, Instant now) const
{
    const std::optional<double> limit = limitOf(row);
    if (limit.has_value() == before.has_value()) {
        return;
    }
    if (!limit) {
        m_log.info("server_limit_ended", { { "server", server.value() }, { "by", std::string(by) } });
        return;
    }
    row.limitedSince = now;
    row.tokens = 0;
    m_log.info("server_limited",
               { { "server", server.value() },
                 { "per_second", formatRate(*limit) },
                 { "share", formatRate(rate(row)) },
                 { "by", std::string(by) } });
}

std::string ServerLimits::metrics() const
{
    using Kind = Report::MetricsText::Kind;
    std::uint64_t limited = 0;
    double sum = 0;
    for (const auto &[server, row] : m_rows) {
        if (limitOf(row)) {
            ++limited;
            sum += rate(row);
        }
    }
    Report::MetricsText text;
    text.family("galenabarrow_gateway_limited_servers", Kind::Gauge, "Backend servers that state a limit of their requests.");
    text.sample({}, limited);
    text.family("galenabarrow_gateway_limit_share", Kind::Gauge, "Requests a second that this entry may send to servers with a limit.");
    text.sample({}, sum);
    text.family("galenabarrow_gateway_limits_stated_total", Kind::Counter, "Responses that state a limit, by kind of response.");
    for (std::size_t n = 0; n < Kinds; ++n) {
        text.sample({ { "by", SourceNames.at(n) } }, m_statements.at(n));
    }
    text.family("galenabarrow_gateway_limits_unreadable_total", Kind::Counter, "Responses with a limit that is not a number in range.");
    text.sample({}, m_unreadable);
    text.family("galenabarrow_gateway_limited_sends_total", Kind::Counter, "Requests and probes sent to servers with a limit, by kind.");
    for (std::size_t n = 0; n < Kinds; ++n) {
        text.sample({ { "kind", SendNames.at(n) } }, m_sends.at(n));
    }
    return text.text();
}

}
