#include "gateway/serverlimits.h"

#include <cstdio>

#include "report/metricstext.h"

namespace Galenabarrow::Gateway
{

namespace
{

constexpr std::array<std::string_view, 3> SourceNames { "response", "rejection", "probe" };
constexpr std::array<std::string_view, 3> SendNames { "first", "further", "probe" };

std::string formatRate(double perSecond)
{
    std::array<char, 32> buf {};
    std::snprintf(buf.data(), buf.size(), "%.3f", perSecond);
    return buf.data();
}

}

ServerLimits::ServerLimits()
    : m_log("limits")
{
}

void ServerLimits::record(const ServerId &server, const LimitField &field, LimitSource source)
{
    if (field.isPresent && !field.perSecond) {
        ++m_unreadable;
        return;
    }
    if (field.perSecond) {
        ++m_statements.at(static_cast<std::size_t>(source));
        const bool isNew = m_limits.insert_or_assign(server, *field.perSecond).second;
        if (isNew) {
            m_log.info("server_limited",
                       { { "server", server.value() },
                         { "per_second", formatRate(*field.perSecond) },
                         { "by", std::string(SourceNames.at(static_cast<std::size_t>(source))) } });
        }
    } else if (source == LimitSource::Response && m_limits.erase(server) > 0) {
        m_log.info("server_limit_ended", { { "server", server.value() } });
    }
}

void ServerLimits::recordSend(const ServerId &server, SendKind kind)
{
    m_sends.at(static_cast<std::size_t>(kind)) += m_limits.count(server);
}

void ServerLimits::remove(const ServerId &server)
{
    m_limits.erase(server);
}

std::string ServerLimits::metrics() const
{
    using Kind = Report::MetricsText::Kind;
    Report::MetricsText text;
    text.family("galenabarrow_gateway_limited_servers", Kind::Gauge, "Backend servers that state a limit of their requests.");
    text.sample({}, std::uint64_t { m_limits.size() });
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
