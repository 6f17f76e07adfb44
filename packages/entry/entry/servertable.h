#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "entry/calltypes.h"
#include "entry/serverrecord.h"

namespace Galenabarrow::Entry
{

/// The place of a server in the table; stays the same while the server has calls in flight.
using RowIndex = std::uint32_t;

/// How many calls a server had in flight, over all entries, at some time.
struct LoadSample {
    double inFlight = 0;
    Instant at {};
    bool isKnown = false;
};

/// What this entry knows about one server.
struct ServerRow {
    ServerRecord record;
    bool isRemoved = false;
    bool isLocal = false;

    /// Attempts of this entry in flight.
    std::uint32_t inFlight = 0;
    /// Attempts sent since the load sample was taken.
    std::uint32_t sentSinceSample = 0;
    LoadSample load;
    /// How far load samples are believed, 0 to 1. Falls when the server refuses although it reports free slots.
    double reportTrust = 1;

    /// Moving mean of the answer times; zero before the first answer.
    Duration latency {};
    std::uint32_t answers = 0;
    bool isStraggler = false;

    std::uint32_t consecutiveFailures = 0;
    Instant failedAt = Instant::min();
    /// The last answer without a server error, or refusal.
    Instant lastContactAt = Instant::min();
    /// The last probe of the server, by any entry.
    Instant probedAt = Instant::min();
    Instant penaltyUntil = Instant::min();
    std::uint32_t consecutiveRefusals = 0;
    /// The last refusal, unless an answer came later, and the pause after it.
    std::optional<Instant> refusedAt;
    Duration refusalBackoff {};
    Instant blockedUntil = Instant::min();

    /// Slow admission of a cold or slow server: no attempt before this time, with this pause after each one.
    Instant admitAfter = Instant::min();
    Duration admissionInterval {};
};

/// Averages over the servers of one service.
struct ServiceAverages {
    /// Moving mean of the answer times; zero before the first answer.
    Duration latency {};
    /// Moving mean of the used share of slots as answers state it.
    double utilization = 0.5;
};

/// What decides how long a server is left alone after a refusal.
struct RefusalContext {
    /// How long the refused call has waited since it was submitted.
    Duration waited {};
    /// True when the service has used up its budget of refused attempts.
    bool isOverBudget = false;
};

/// The servers that this entry knows, one row each. Systems run over the rows on each tick.
class ServerTable
{
public:
    explicit ServerTable(DataCentreId localDataCentre);

    /// Adds or updates the row of a server and returns its index.
    RowIndex upsert(const ServerRecord &record, Instant now);
    /// Takes the server out of service; the row goes when its last attempt has ended.
    void remove(const ServerId &server);

    const ServerRow &row(RowIndex index) const;
    const ServiceAverages &averages(const ServiceId &service) const;
    /// The rows of \p service that are not removed.
    const std::vector<RowIndex> &rowsOf(const ServiceId &service) const;
    /// True when a server of \p service is not draining.
    bool hasServer(const ServiceId &service) const;
    /// Collects the rows that can take an attempt now, without \p excluded. The pauses after refusals are multiplied by
    /// \p backoffFactor.
    void collectAvailable(const ServiceId &service, std::optional<RowIndex> excluded, Instant now, std::vector<RowIndex> &rows,
                          double backoffFactor = 1) const;
    /// When the next row of \p service becomes available by the passing of time alone.
    std::optional<Instant> nextAvailable(const ServiceId &service, Instant now, double backoffFactor = 1) const;

    /// Notes that an attempt was sent to the server.
    void attemptSent(RowIndex index, Instant now);
    /// Notes how an attempt at the server ended. \p refusal matters only for a refused one.
    void attemptEnded(RowIndex index, const AttemptReport &report, const RefusalContext &refusal, Instant now);
    /// Holds the server back until \p resetAt.
    void blockUntil(RowIndex index, Instant resetAt);
    /// Takes the result of a probe that ended at \p at. A failed one makes the server avoided as after failures, for a
    /// limited time; a healthy one that is later than the last failure ends that. False when the server is not known.
    bool recordProbe(const ServerId &server, bool isHealthy, Instant at);
    /// The row of a server; nothing when it is not known.
    const ServerRow *find(const ServerId &server) const;
    /// Servers that are avoided after failures or a failed probe.
    std::size_t avoidedCount(Instant now) const;

    /// The systems over all rows.
    void tick(Instant now);

private:
    struct ServiceRows {
        std::vector<RowIndex> rows;
        ServiceAverages averages;
        /// Scratch memory of the straggler system.
        std::vector<Duration> latencies;
    };

    void resetEstimates(ServerRow &row, Instant now);
    void updateLoad(ServerRow &row, const ServerRecord &record, Instant now);
    void recordAnswer(ServerRow &row, ServiceAverages &averages, const AttemptReport &report, Instant now);
    void recordRefusal(ServerRow &row, ServiceAverages &averages, const RefusalContext &refusal, Instant now);
    void recordFailure(ServerRow &row, Instant now);
    void recordLatency(ServerRow &row, ServiceAverages &averages, Duration elapsed);
    void adjustAdmissionInterval(ServerRow &row, Duration elapsed);
    bool areMostAvoided(const std::vector<RowIndex> &rows, Instant now) const;
    void detectStragglers(ServiceRows &service, Instant now);
    void recycleIfUnused(RowIndex index);

    DataCentreId m_localDataCentre;
    std::vector<ServerRow> m_rows;
    std::vector<RowIndex> m_freeRows;
    std::unordered_map<ServerId, RowIndex> m_byServer;
    std::unordered_map<ServiceId, ServiceRows> m_services;
    Instant m_nextStragglerCheck = Instant::min();
};

}
