#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/clock.h"
#include "base/id.h"
#include "coordination/requestmark.h"

namespace Galenabarrow::Coordination
{

/// Something that an entry has seen of a request: a server crashed while it ran the request, or a server ran it to an end.
struct CrashFact {
    RequestMark mark;
    /// The incarnation of the server that crashed; empty when the request was run to an end.
    ServerId server;
    std::uint64_t born = 0;
    Duration age {};

    bool isCrash() const
    {
        return !server.value().empty();
    }
    bool operator==(const CrashFact &) const = default;
};

/// The requests that were running when servers crashed, over all entries. Entries and core instances exchange facts, and each decides by
/// itself: the same facts in any order give the same answer. Has no sockets.
///
/// When a server crashes, all that ran there is suspected. A request is held back when HoldAfter crashes are known of it and it has not run
/// to an end since the first of them. One that crashes every server never does; others are run to an end elsewhere, which clears
/// them. A request that is held back is tried again after a time that doubles with each further crash. Entries hold it back for different
/// times: the first one that tries it again learns for all whether it still crashes servers.
class CrashLedger
{
public:
    /// Crashes after which a request is held back.
    static constexpr std::size_t HoldAfter = 3;
    static constexpr Duration FirstHold = std::chrono::seconds(60);
    static constexpr Duration MaxHold = std::chrono::hours(1);
    /// A fact is forgotten after this time, unless the request is held back.
    static constexpr Duration FactLifetime = std::chrono::minutes(10);
    /// Most requests that are remembered; beyond it the one whose last fact is the oldest is forgotten, those that are held back last.
    static constexpr std::size_t MaxRequests = 2000;

    /// \p lateness: this instance holds a request back for this share longer than others do, from 0 to 1.
    explicit CrashLedger(double lateness = 0);

    /// Adds a fact. False when it is known already, or when the request has run to an end since.
    bool record(const CrashFact &fact, Instant now);
    /// Whether anything is known of requests of this place; cheap, so that other requests need no mark.
    bool knowsPlace(std::uint64_t place) const;
    /// Crashes since the request last ran to an end.
    std::size_t crashes(const RequestMark &mark) const;
    /// Time until the request may be sent to a server; 0 when it is not held back.
    Duration holdTime(const RequestMark &mark, Instant now) const;
    /// Number of requests that are held back.
    std::size_t heldCount(Instant now) const;
    std::size_t size() const;
    /// Rises with each new fact.
    std::uint64_t revision() const;
    /// The facts with a revision above \p known.
    std::vector<CrashFact> factsAfter(std::uint64_t known, Instant now) const;

private:
    struct Crash {
        ServerId server;
        std::uint64_t born = 0;
        Instant at {};
        std::uint64_t revision = 0;
    };

    struct Row {
        std::vector<Crash> crashes;
        /// When the request last ran to an end; the crashes before it do not count.
        Instant clearedAt {};
        /// 0 when the request never ran to an end.
        std::uint64_t clearedRevision = 0;
        Instant lastFactAt {};
    };

    bool recordCrash(Row &row, const CrashFact &fact, Instant at);
    bool recordEnd(Row &row, Instant at);
    Instant heldUntil(const Row &row) const;
    void erase(const RequestMark &mark);
    void forgetOld(Instant now);

    double m_lateness;
    std::map<RequestMark, Row> m_rows;
    /// Number of requests by place.
    std::map<std::uint64_t, std::size_t> m_places;
    std::uint64_t m_revision = 0;
};

}
