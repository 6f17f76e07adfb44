#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/id.h"
#include "base/log.h"
#include "gateway/serverstatement.h"

namespace Galenabarrow::Gateway
{

/// Why a server takes no requests of this entry.
enum class NoticeState : std::uint8_t {
    None,
    /// It turned a request away and stated for how long.
    Away,
    Leaving,
};

/// What backend servers state about requests that they do not want: that they leave, and for how long they take none.
///
/// A statement belongs to one incarnation of a server. It ends with another incarnation, with the removal of the server, at the end of
/// its time, and after \c MaxNoticeTime. A response without a statement ends none, whether its request was sent before or after: a
/// server does not return from leaving, and is away to the end of the longest time that it stated. Uses no sockets.
class ServerNotices
{
public:
    /// A server that was away has returned when it has run so many requests.
    static constexpr unsigned ReturnAnswers = 8;

    ServerNotices();

    /// Records what a response of this incarnation of the server says; \p sentAt is when its request was sent.
    void record(const ServerId &server, std::uint64_t born, const ServerStatement &statement, Instant sentAt, Instant now);
    /// Forgets a server that has left or started again.
    void remove(const ServerId &server);
    /// Forgets the statements whose time has passed.
    void expire(Instant now);

    NoticeState state(const ServerId &server, std::uint64_t born, Instant now) const;
    /// Time until the server takes requests again; 0 for a server without a statement, the longest duration for one that leaves.
    Duration wait(const ServerId &server, std::uint64_t born, Instant now) const;
    /// The number of requests that the server has run since the time for which it was away; absent while it is away, and when the number
    /// has reached \c ReturnAnswers.
    std::optional<unsigned> answersSinceReturn(const ServerId &server, std::uint64_t born, Instant now) const;
    /// Whether any server has made a statement.
    bool isEmpty() const;
    /// Counters and gauges in the Prometheus text format.
    std::string metrics(Instant now) const;

private:
    static constexpr std::size_t Sources = 3;
    using Counts = std::array<std::uint64_t, Sources>;

    struct Row {
        std::uint64_t born = 0;
        Instant leavingUntil {};
        Instant awayUntil {};
        std::optional<unsigned> answersSinceReturn;
    };

    const Row *find(const ServerId &server, std::uint64_t born) const;
    static void recordAnswer(Row &row, const ServerStatement &statement);
    static NoticeState stateOf(const Row &row, Instant now);
    void logChange(const ServerId &server, NoticeState before, const Row &row, std::string_view by, Instant now);
    /// Whether the limit of lines in a second allows another one.
    bool admitLine(Instant now);

    Log m_log;
    std::map<ServerId, Row> m_rows;
    Counts m_leaving {};
    Counts m_away {};
    std::uint64_t m_unreadable = 0;
    Instant m_secondStart {};
    unsigned m_lines = 0;
    std::uint64_t m_linesDropped = 0;
};

}
