#include "gateway/servernotices.h"

#include <algorithm>

#include "gateway/requestfields.h"
#include "report/metricstext.h"

namespace Galenabarrow::Gateway
{

namespace
{

constexpr std::array<std::string_view, 3> SourceNames { "response", "rejection", "probe" };
/// When a whole service is in need, each of its servers changes its state several times a second.
constexpr unsigned LinesPerSecond = 20;
constexpr unsigned UnavailableStatus = 503;

}

ServerNotices::ServerNotices()
    : m_log("notices")
{
}

void ServerNotices::record(const ServerId &server, std::uint64_t born, const ServerStatement &statement, Instant sentAt, Instant now)
{
    const NoticeFields &notices = statement.notices;
    m_unreadable += notices.unreadable;
    const bool isAway = notices.away && *notices.away > Duration {};
    const auto known = m_rows.find(server);
    if (!notices.isLeaving && !isAway) {
        if (known != m_rows.end() && known->second.born == born && sentAt >= known->second.awayUntil) {
            recordAnswer(known->second, statement);
        }
        return;
    }
    Row &row = m_rows[server];
    if (row.born != born) {
        row = Row {};
        row.born = born;
    }
    const auto source = static_cast<std::size_t>(statement.source);
    const NoticeState before = stateOf(row, now);
    if (notices.isLeaving) {
        ++m_leaving.at(source);
        row.leavingUntil = now + MaxNoticeTime;
    }
    if (isAway) {
        ++m_away.at(source);
        row.awayUntil = std::max(row.awayUntil, now + *notices.away);
        row.answersSinceReturn = 0;
    }
    logChange(server, before, row, SourceNames.at(source), now);
}

void ServerNotices::recordAnswer(Row &row, const ServerStatement &statement)
{
    // The health path of a server may answer while requests are still turned away.
    const bool hasRun = statement.source == StatementSource::Response && statement.status != UnavailableStatus;
    if (row.answersSinceReturn && hasRun && ++*row.answersSinceReturn >= ReturnAnswers) {
        row.answersSinceReturn.reset();
    }
}

void ServerNotices::remove(const ServerId &server)
{
    if (m_rows.erase(server) > 0) {
        m_log.info("server_notice_ended", { { "server", server.value() } });
    }
}

void ServerNotices::expire(Instant now)
{
    std::erase_if(m_rows, [now](const auto &it) { return stateOf(it.second, now) == NoticeState::None && !it.second.answersSinceReturn; });
}

const ServerNotices::Row *ServerNotices::find(const ServerId &server, std::uint64_t born) const
{
    const auto it = m_rows.find(server);
    return it == m_rows.end() || it->second.born != born ? nullptr : &it->second;
}

NoticeState ServerNotices::stateOf(const Row &row, Instant now)
{
    if (now < row.leavingUntil) {
        return NoticeState::Leaving;
    }
    return now < row.awayUntil ? NoticeState::Away : NoticeState::None;
}

NoticeState ServerNotices::state(const ServerId &server, std::uint64_t born, Instant now) const
{
    const Row *row = find(server, born);
    return row == nullptr ? NoticeState::None : stateOf(*row, now);
}

Duration ServerNotices::wait(const ServerId &server, std::uint64_t born, Instant now) const
{
    const Row *row = find(server, born);
    switch (row == nullptr ? NoticeState::None : stateOf(*row, now)) {
    case NoticeState::Leaving:
        return Duration::max();
    case NoticeState::Away:
        return row->awayUntil - now;
    case NoticeState::None:
        break;
    }
    return {};
}

std::optional<unsigned> ServerNotices::answersSinceReturn(const ServerId &server, std::uint64_t born, Instant now) const
{
    const Row *row = find(server, born);
    return row != nullptr && now >= row->awayUntil ? row->answersSinceReturn : std::nullopt;
}

bool ServerNotices::isEmpty() const
{
    return m_rows.empty();
}

void ServerNotices::logChange(const ServerId &server, NoticeState before, const Row &row, std::string_view by, Instant now)
{
    const NoticeState state = stateOf(row, now);
    if (state == before || !admitLine(now)) {
        return;
    }
    if (state == NoticeState::Leaving) {
        m_log.info("server_leaving", { { "server", server.value() }, { "by", std::string(by) } });
    } else {
        m_log.info("server_away",
                   { { "server", server.value() }, { "for_ms", formatMilliseconds(row.awayUntil - now) }, { "by", std::string(by) } });
    }
}

bool ServerNotices::admitLine(Instant now)
{
    if (now - m_secondStart >= std::chrono::seconds(1)) {
        m_secondStart = now;
        m_lines = 0;
    }
    if (m_lines >= LinesPerSecond) {
        ++m_linesDropped;
        return false;
    }
    ++m_lines;
    return true;
}

std::string ServerNotices::metrics(Instant now) const
{
    using Kind = Report::MetricsText::Kind;
    const auto count = [&](NoticeState state) {
        return static_cast<std::uint64_t>(
            std::count_if(m_rows.begin(), m_rows.end(), [&](const auto &it) { return stateOf(it.second, now) == state; }));
    };
    Report::MetricsText text;
    text.family("galenabarrow_gateway_excluded_servers", Kind::Gauge, "Backend servers that take no requests by their own statement.");
    text.sample({ { "state", "leaving" } }, count(NoticeState::Leaving));
    text.sample({ { "state", "away" } }, count(NoticeState::Away));
    text.family("galenabarrow_gateway_notices_total", Kind::Counter,
                "Responses that state that their server leaves, or for how long it takes no requests, by kind of response.");
    for (std::size_t n = 0; n < Sources; ++n) {
        text.sample({ { "notice", "leaving" }, { "by", SourceNames.at(n) } }, m_leaving.at(n));
        text.sample({ { "notice", "away" }, { "by", SourceNames.at(n) } }, m_away.at(n));
    }
    text.family("galenabarrow_gateway_notices_unreadable_total", Kind::Counter, "Such statements with a value that has no meaning.");
    text.sample({}, m_unreadable);
    text.family("galenabarrow_gateway_notice_lines_dropped_total", Kind::Counter, "Log lines about such statements over the rate limit.");
    text.sample({}, m_linesDropped);
    return text.text();
}

}
