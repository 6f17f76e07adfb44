#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/log.h"
#include "coordination/serverlimit.h"
#include "gateway/serverstatement.h"

namespace Galenabarrow::Gateway
{

/// What is sent to a server.
enum class SendKind : std::uint8_t {
    First,
    /// A request that was sent to another server before.
    Further,
    Probe,
};

/// The limits that backend servers state in their responses, and what this entry may send to these servers.
///
/// A server states one limit for all entries together. The core divides it and tells each entry its share. Until a share is known, as
/// while no core instance is connected, an equal part of the limit is used. In both cases a token bucket that begins empty bounds the rate.
/// Of two statements the newer one counts, and a statement without a limit ends it. Uses no sockets.
class ServerLimits
{
public:
    ServerLimits();

    /// Records what a response of the server says; \p sentAt is when its request was sent. A response without a limit ends a limit that was
    /// known by then; a rejection and a probe end none, as they need not state it. True when the core should be told at once.
    bool record(const ServerId &server, std::uint64_t born, const LimitField &field, StatementSource source, Instant sentAt, Instant now);
    /// Applies limits and shares from a core instance. \p entryCount entries share a limit of which no share is known.
    void apply(const std::vector<Coordination::LimitShare> &shares, unsigned entryCount, Instant now);
    /// The statements that the core does not know from this entry: those that differ from its own, or all.
    std::vector<Coordination::ServerLimit> toReport(bool all, Instant now) const;

    /// Whether any server has a limit.
    bool isAnyLimited() const;
    /// Time until a request may be sent to this incarnation of the server; 0 for a server without a limit.
    Duration wait(const ServerId &server, std::uint64_t born, Instant now) const;
    bool maySend(const ServerId &server, std::uint64_t born, Instant now) const;
    /// Counts what is sent to a server with a limit; a request takes a token.
    void recordSend(const ServerId &server, SendKind kind, Instant now);
    /// Forgets a server that has left.
    void remove(const ServerId &server);
    /// Counters and gauges in the Prometheus text format.
    std::string metrics() const;

private:
    static constexpr std::size_t Kinds = 3;

    struct Statement {
        std::optional<double> perSecond;
        Instant at {};
    };

    struct Row {
        std::uint64_t born = 0;
        /// From a response to this entry.
        std::optional<Statement> heard;
        /// From the core, with this entry's share.
        std::optional<Statement> told;
        double share = 0;
        /// When the limit became known to this entry.
        Instant limitedSince {};
        double tokens = 0;
        Instant refilledAt {};
    };

    Row &rowFor(const ServerId &server, std::uint64_t born);
    static const Statement *newest(const Row &row);
    static std::optional<double> limitOf(const Row &row);
    /// Requests a second that this entry may send; only for a row with a limit.
    double rate(const Row &row) const;
    static double capacity(double rate);
    double tokens(const Row &row, Instant now) const;
    /// Adds the tokens up to now at the present rate; to be called before the rate changes.
    void refill(Row &row, Instant now) const;
    void logChange(const ServerId &server, Row &row, std::optional<double> before, std::string_view by, Instant now) const;

    Log m_log;
    std::map<ServerId, Row> m_rows;
    unsigned m_entryCount = 1;
    std::array<std::uint64_t, Kinds> m_statements {};
    std::array<std::uint64_t, Kinds> m_sends {};
    std::uint64_t m_unreadable = 0;
};

}
