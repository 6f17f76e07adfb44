#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "entry/calltypes.h"
#include "entry/serverrecord.h"

namespace Galenabarrow::Entry
{

/// Index of a server's row; valid until the server is removed and its last attempt in flight has ended.
using RowIndex = std::uint32_t;

/// Number of calls that a server had in flight from all entries at the time \c at.
struct LoadSample {
    double inFlight = 0;
    Instant at {};
    bool isKnown = false;
};

/// Record and estimates of one server, as known to this entry.
struct ServerRow {
    ServerRecord record;
    bool isRemoved = false;
    bool isLocal = false;

    /// Attempts of this entry in flight.
    std::uint32_t inFlight = 0;
    /// Attempts sent by this entry since the load sample was taken.
    std::uint32_t sentSinceSample = 0;
    LoadSample load;
    /// Weight of load samples, 0 to 1. Decreases when the server refuses an attempt although it reported free slots.
    double reportTrust = 1;

    /// Moving mean of the answer times; zero before the first answer.
    Duration latency {};
    std::uint32_t answers = 0;
    bool isStraggler = false;

    std::uint32_t consecutiveFailures = 0;
    Instant failedAt = Instant::min();
    /// Time of the last refusal or answer without a server error.
    Instant lastContactAt = Instant::min();
    /// Time of the last probe of the server by any entry.
    Instant probedAt = Instant::min();
    /// The server is avoided until this time, after failures or a failed probe.
    Instant penaltyUntil = Instant::min();
    std::uint32_t consecutiveRefusals = 0;
    /// Time of the last refusal, reset by an answer, and the backoff after it.
    std::optional<Instant> refusedAt;
    Duration refusalBackoff {};
    /// The reset time stated by the server; no attempt is sent before it.
    Instant blockedUntil = Instant::min();

    /// Rate limit for a cold server or a straggler: no attempt before \c admitAfter, and \c admissionInterval between attempts.
    Instant admitAfter = Instant::min();
    Duration admissionInterval {};
};

/// Averages over the servers of one service.
struct ServiceAverages {
    /// Moving mean of the answer times; zero before the first answer.
    Duration latency {};
    /// Moving mean of the fraction of slots in use, as reported in answers; a refusal counts as 1.
    double utilization = 0.5;
};

/// Circumstances of a refusal that determine the backoff after it.
struct RefusalContext {
    /// Time since the refused call was submitted.
    Duration waited {};
    /// True when the service has used up its budget of refused attempts.
    bool isOverBudget = false;
};

/// The servers known to this entry, one row each.
class ServerTable
{
public:
    explicit ServerTable(DataCentreId localDataCentre);

    /// Adds or updates the row of a server and returns its index.
    RowIndex upsert(const ServerRecord &record, Instant now);
    /// Removes the server; its row is freed when its last attempt has ended.
    void remove(const ServerId &server);

    const ServerRow &row(RowIndex index) const;
    const ServiceAverages &averages(const ServiceId &service) const;
    /// The rows of \p service that are not removed.
    const std::vector<RowIndex> &rowsOf(const ServiceId &service) const;
    /// True when a server of \p service is not draining.
    bool hasServer(const ServiceId &service) const;
    /// Collects into \p rows the rows that accept an attempt now, except \p excluded. The backoff after refusals is multiplied
    /// by \p backoffFactor.
    void collectAvailable(const ServiceId &service, std::optional<RowIndex> excluded, Instant now, std::vector<RowIndex> &rows,
                          double backoffFactor = 1) const;
    /// The time at which the next row of \p service becomes available without an external event; nullopt when none does.
    std::optional<Instant> nextAvailable(const ServiceId &service, Instant now, double backoffFactor = 1) const;

    /// Records that an attempt was sent to the server.
    void attemptSent(RowIndex index, Instant now);
    /// Records how an attempt at the server ended. \p refusal is used only for a refused attempt.
    void attemptEnded(RowIndex index, const AttemptReport &report, const RefusalContext &refusal, Instant now);
    /// Sends the server no attempts until \p resetAt.
    void blockUntil(RowIndex index, Instant resetAt);
    /// Records the result of a probe that ended at \p at. After a failed probe the server is avoided for a limited time, as
    /// after failed attempts, unless it has answered or refused a call since. A healthy probe later than the last failed attempt
    /// ends the avoidance. Results older than the last recorded one are ignored. False when the server is not known.
    bool recordProbe(const ServerId &server, bool isHealthy, Instant at);
    /// The row of a server; null when it is not known.
    const ServerRow *find(const ServerId &server) const;
    /// Number of servers that are avoided after failures or a failed probe.
    std::size_t avoidedCount(Instant now) const;

    /// Updates the classification of stragglers when it is due.
    void tick(Instant now);

private:
    struct ServiceRows {
        std::vector<RowIndex> rows;
        ServiceAverages averages;
        /// Scratch buffer of detectStragglers().
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
