#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/log.h"
#include "base/random.h"
#include "coordination/feed.h"
#include "gateway/coldlimits.h"
#include "gateway/evacuations.h"
#include "gateway/loadreport.h"
#include "gateway/serverlimits.h"
#include "gateway/servernotices.h"
#include "gateway/worktimes.h"
#include "routing/model.h"

namespace Galenabarrow::Gateway
{

/// The result of one attempt at a server, as it counts for the server's health.
enum class AttemptResult {
    /// A complete response that is not a failure.
    Served,
    /// The server stated that it did not run the request.
    Rejected,
    /// A complete response that reports a failure of the server.
    Failed,
    /// No connection, a broken connection, or bytes that are not a response.
    Broken,
    /// No response in time.
    TimedOut,
    /// The entry cancelled the attempt because the caller disconnected: does not count for the server's health.
    Abandoned,
};

/// A backend server as this entry sees it.
struct ServerRow {
    Routing::BackendServer server;
    /// Requests of this entry at the server.
    unsigned inFlight = 0;
    /// The newest report.
    std::optional<LoadReport> load;
    /// Slowness without short disturbances: follows a rise with a time constant of seconds, and a fall at once.
    double sustainedSlowness = 1;
    /// Requests of this entry at the server when the newest report was received.
    unsigned inFlightAtLoad = 0;
    /// Moving averages of the shares of attempts that failed and that were rejected.
    double failureShare = 0;
    double rejectionShare = 0;
    unsigned consecutiveBroken = 0;
    unsigned consecutiveUnansweredProbes = 0;
    /// A probe has waited for its answer for longer than usual: the server is full or has gone.
    bool hasLateProbe = false;
    unsigned samples = 0;
    /// Gets no requests before this time while other servers can serve them.
    Instant avoidedUntil {};
    Duration avoidance {};
    /// Until then the server has just started and is slow.
    Instant coldUntil {};
    /// \c coldUntil by the newest update. A later \c coldUntil has another cause, and the core instance may not know of it.
    Instant toldColdUntil {};
    /// It has not announced itself for too long.
    bool isSilent = false;
};

/// The state of a server when an attempt started there.
struct AttemptStart {
    std::string route;
    /// The incarnation of the server that the request is meant for.
    std::uint64_t born = 0;
    /// A fresh report was available; otherwise the members below are not set.
    bool isKnown = false;
    bool isUndisturbed = false;
    /// The request took the last free slot.
    bool fillsServer = false;
};

/// The chosen server and the estimates that led to it, for the log.
struct ServerChoice {
    ServerId server;
    Duration expected {};
    /// Requests expected at the server without the new one, per slot.
    double occupancy = 0;
};

/// Why no server takes a request now, and for how long.
struct SendWait {
    enum class Reason {
        /// The limits that the servers state.
        Limit,
        /// The times for which the servers turn requests away.
        Away,
        /// All servers leave; the time is not known.
        Leaving,
    };
    Duration time {};
    Reason reason = Reason::Limit;
};

/// The criteria of a request for its server.
struct ChoiceInput {
    ServiceId service;
    Duration objective {};
    /// Servers that this request was sent to already.
    std::vector<ServerId> tried;
    enum class Need {
        /// Only servers that are known to be free and undisturbed.
        Free,
        /// Servers that are known to have a free slot, including those that have been slow for a while.
        FreeButSlow,
        Any,
    };
    Need need = Need::Any;
};

/// The backend servers known to an entry, and the choice among them. Uses no sockets; deterministic for a seed.
class ServerTable
{
public:
    ServerTable(DataCentreId localDataCentre, RandomSource &random);

    /// Applies the servers and the evacuations of a feed update. Servers in an evacuated data centre get no requests and no probes; after
    /// the end of the evacuation they count as cold for the cold start of their service.
    void apply(const Coordination::FeedUpdate &update, Instant now);
    /// The server with the best score for a request; absent when no server of the service meets \p input and its own limit.
    std::optional<ServerChoice> choose(const ChoiceInput &input, Instant now) const;
    /// At most \p maxCount servers with the best scores, best first; excludes those with a late probe, and those that a fresh report
    /// shows to be full, disturbed or left with a slow last slot only, or that take no request by their own limit.
    std::vector<ServerId> candidates(const ChoiceInput &input, std::size_t maxCount, Instant now) const;
    /// Whether a fresh report shows the server to be undisturbed and to have a free slot, and its limit allows a request.
    bool isKnownFree(const ServerId &server, Instant now) const;
    /// As isKnownFree(), and the slot has the usual speed: it is not the last free one, or the last one is not slower.
    bool isKnownFreeAndFast(const ServerId &server, Instant now) const;
    bool isInLocalDataCentre(const ServerId &server) const;
    /// Whether a fresh report shows the server to have a free slot and to be no slower than it has been for a while.
    bool isKnownSlowButFree(const ServerId &server, Instant now) const;
    /// Whether the newest report is recent enough to need no probe.
    bool isFresh(const ServerId &server, Instant now) const;
    /// Null for a server that is not known or has left.
    const ServerRow *find(const ServerId &server) const;
    /// Whether any server of the service reported its load recently; otherwise it is not known whether the service is busy.
    bool hasFreshReports(const ServiceId &service, Instant now) const;
    /// Counts a request of \p route that is sent to the server, and returns the server's state for recordAttemptEnd().
    AttemptStart recordAttemptStart(const ServerId &server, const std::string &route, Instant now);
    /// Updates the health and the work times of the server with an attempt that ended after \p duration.
    void recordAttemptEnd(const ServerId &server, AttemptResult result, const AttemptStart &start, Duration duration, Instant now);
    void updateLoad(const ServerId &server, const LoadReport &report);
    /// Marks the server: its probe was not answered in the usual time.
    void recordLateProbe(const ServerId &server);
    /// Records that a probe was answered or abandoned, and clears the mark of recordLateProbe().
    void recordProbe(const ServerId &server, bool hasAnswered, Instant now);
    /// Records what a response of this incarnation of the server says of it. \p sentAt is when its request was sent.
    void recordStatement(const ServerId &server, std::uint64_t born, const ServerStatement &statement, Instant sentAt, Instant now);
    /// Sets the callback for limits that the core should be told at once.
    void onUrgentLimit(std::function<void()> callback);
    ServerLimits &limits();
    const ServerLimits &limits() const;
    const ServerNotices &notices() const;
    /// Sets the services, whose cold times and limits for cold servers apply from then on.
    void setServices(const std::vector<Routing::Service> &services, Instant now);
    ColdLimits &coldLimits();
    const ColdLimits &coldLimits() const;
    /// Whether the server takes requests of this entry, by its own statements, its limit and the evacuations in force.
    bool mayReceive(const ServerId &server, Instant now) const;
    /// When the statements of all servers that a request may still be sent to exclude them: the shortest time until one of them takes a
    /// request. Absent otherwise.
    std::optional<SendWait> sendWait(const ServiceId &service, const std::vector<ServerId> &tried, Instant now) const;
    /// The servers of the service that are excluded by their own statements, as text for log lines: "2_away+1_leaving"; empty without any.
    std::string describeNotices(const ServiceId &service, Instant now) const;
    /// The usual duration of a request at the service.
    Duration workTime(const ServiceId &service) const;
    /// Number of ready servers of the service outside evacuated data centres.
    std::size_t readyCount(const ServiceId &service) const;
    std::size_t size() const;
    /// Number of servers outside evacuated data centres.
    std::size_t unevacuatedCount() const;
    /// Number of evacuations in force.
    std::size_t evacuationCount() const;
    /// Whether the service has ready servers, all of them in evacuated data centres.
    bool isEvacuated(const ServiceId &service) const;
    /// Number of updates that named a server by an address that cannot be used.
    std::uint64_t unusable() const;
    /// Returns and clears the list of servers that left or were replaced; their connections are to be closed.
    std::vector<ServerId> takeRemoved();

private:
    struct ServiceRow {
        /// Ready servers outside evacuated data centres.
        std::vector<ServerId> servers;
        /// Number of ready servers in evacuated data centres.
        std::size_t evacuated = 0;
        /// Moving average of the requests of other entries at one server.
        double othersPerServer = 0;
    };
    void upsert(const Routing::BackendServer &server, Instant now);
    void remove(const ServerId &server);
    /// Extends the cold time of a server; the caller then calls ColdLimits::track().
    void startCold(ServerRow &row, Duration coldLeft, Instant now) const;
    void rebuildServices();
    void markCold(const DataCentreId &dataCentre, Instant now);
    double expectedOthers(const ServerRow &row, const ServiceRow &service, Instant now) const;
    double expectedSlowness(const ServerRow &row, Instant now) const;
    double score(const ServerRow &row, const ServiceRow &service, const ChoiceInput &input, Instant now) const;
    /// Free slots in addition to the one for a new request, by the newest report; negative when there is none for the request.
    static double spareSlots(const ServerRow &row);
    bool mayReceive(const ServerRow &row, Instant now) const;
    bool isEvacuated(const ServerRow &row) const;
    /// Whether the server takes requests again and has as many of this entry as it gets at first: its slots divided by the number of
    /// entries, and one more for each answer.
    bool isReturnFull(const ServerRow &row, Instant now) const;
    SendWait sendWait(const ServerRow &row, Instant now) const;
    /// Whether a request without another attempt may go to this cold server first, see ColdLimits::awaitsFirstRequest().
    bool isColdFirst(const ServerRow &row, const ChoiceInput &input, Instant now) const;
    /// Counts a request if the limit of a cold server of the service excludes this server.
    void countWithheld(const ServiceId &service, Instant now);
    bool mayAvoid(const ServiceRow &service, Instant now) const;
    void avoid(ServerRow &row, Instant now);

    DataCentreId m_localDataCentre;
    RandomSource &m_random;
    Log m_log;
    std::uint64_t m_unusable = 0;
    std::map<ServerId, ServerRow> m_rows;
    std::map<ServiceId, ServiceRow> m_services;
    WorkTimes m_workTimes;
    ServerLimits m_limits;
    ServerNotices m_notices;
    Evacuations m_evacuations;
    std::map<ServiceId, Duration> m_coldStarts;
    std::size_t m_unevacuated = 0;
    ColdLimits m_coldLimits;
    unsigned m_entryCount = 1;
    std::function<void()> m_urgentLimitCallback;
    std::vector<ServerId> m_removed;
};

}
