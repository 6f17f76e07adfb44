#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/random.h"
#include "coordination/feed.h"
#include "gateway/loadreport.h"
#include "gateway/worktimes.h"
#include "routing/model.h"

namespace Galenabarrow::Gateway
{

/// How one attempt at a server ended, as far as its health is concerned.
enum class AttemptResult {
    /// A whole response that is not a failure.
    Served,
    /// The server stated that it did not run the request.
    Rejected,
    /// A whole response that is a failure of the server.
    Failed,
    /// No connection, a broken connection, or bytes that are not a response.
    Broken,
    /// No response in time.
    TimedOut,
    /// The caller left, or the entry gave up for another reason: says nothing.
    Abandoned,
};

/// A backend server as this entry sees it.
struct ServerRow {
    Routing::BackendServer server;
    /// Requests of this entry at the server.
    unsigned inFlight = 0;
    /// The newest report, and the requests of this entry when it came.
    std::optional<LoadReport> load;
    /// Slowness without short disturbances: the least that was reported lately.
    double sustainedSlowness = 1;
    unsigned inFlightAtLoad = 0;
    /// Moving shares of attempts that failed, and that were rejected.
    double failureShare = 0;
    double rejectionShare = 0;
    unsigned consecutiveBroken = 0;
    unsigned consecutiveUnansweredProbes = 0;
    /// A probe waits for its answer for longer than usual: the server is full or gone.
    bool hasLateProbe = false;
    unsigned samples = 0;
    /// Gets no requests before that time, while others can take them.
    Instant avoidedUntil {};
    Duration avoidance {};
    /// It starts slowly until then.
    Instant coldUntil {};
    /// It has not announced itself for too long.
    bool isSilent = false;
};

/// The state of a server when an attempt started there, as far as a fresh report told it.
struct AttemptStart {
    std::string route;
    bool isKnown = false;
    bool isUndisturbed = false;
    /// The request took the last free slot.
    bool fillsServer = false;
};

/// What a choice of server was based on, for the log.
struct ServerChoice {
    ServerId server;
    Duration expected {};
    /// Requests that are expected at the server besides the new one, per slot.
    double occupancy = 0;
};

/// What the request needs of its server.
struct ChoiceInput {
    ServiceId service;
    Duration objective {};
    /// Servers that were tried for this request.
    std::vector<ServerId> tried;
    enum class Need {
        /// Only servers that are known to be free and undisturbed.
        Free,
        /// Servers that have a free slot, although they are slow for longer.
        FreeButSlow,
        Any,
    };
    Need need = Need::Any;
};

/// The backend servers known to an entry, and the choice among them. No sockets; deterministic for a seed.
class ServerTable
{
public:
    ServerTable(DataCentreId localDataCentre, RandomSource &random);

    /// Takes the servers of a feed update.
    void apply(const Coordination::FeedUpdate &update, Instant now);
    /// The best server for a request; absent when the service has none that may take one.
    std::optional<ServerChoice> choose(const ChoiceInput &input, Instant now) const;
    /// The servers with the best scores, best first, at most \p maxCount of them; without those that a fresh report says are busy.
    std::vector<ServerId> candidates(const ChoiceInput &input, std::size_t maxCount, Instant now) const;
    /// Whether a fresh report says that the server is undisturbed and has a free slot.
    bool isKnownFree(const ServerId &server, Instant now) const;
    /// The same, and the request gets a slot of usual speed: another one is free besides, or the last one is no slower.
    bool isKnownFreeAndFast(const ServerId &server, Instant now) const;
    bool isInLocalDataCentre(const ServerId &server) const;
    /// Whether a fresh report says that the server has a free slot and is no slower than it has been for a while.
    bool isKnownSlowButFree(const ServerId &server, Instant now) const;
    /// Whether the newest report is recent enough to need no probe.
    bool isFresh(const ServerId &server, Instant now) const;
    /// Null for a server that is not known, or left.
    const ServerRow *find(const ServerId &server) const;
    /// Whether any server of the service reported its load lately: without that, nobody knows that it is busy.
    bool hasFreshReports(const ServiceId &service, Instant now) const;
    /// A request of \p route was sent to the server.
    AttemptStart recordAttemptStart(const ServerId &server, const std::string &route, Instant now);
    /// An attempt that began with \p start ended after \p duration at the server.
    void recordAttemptEnd(const ServerId &server, AttemptResult result, const AttemptStart &start, Duration duration, Instant now);
    void updateLoad(const ServerId &server, const LoadReport &report);
    /// A probe was not answered in the usual time.
    void recordLateProbe(const ServerId &server);
    /// A probe was answered, or given up.
    void recordProbe(const ServerId &server, bool hasAnswered, Instant now);
    /// The usual duration of work at the service.
    Duration workTime(const ServiceId &service) const;
    /// Ready servers of the service.
    std::size_t readyCount(const ServiceId &service) const;
    std::size_t size() const;
    /// Servers whose connections are to be closed: they left, or were replaced.
    std::vector<ServerId> takeRemoved();

private:
    struct ServiceRow {
        std::vector<ServerId> servers;
        /// Moving average of the requests of other entries at a server.
        double othersPerServer = 0;
    };
    void upsert(const Routing::BackendServer &server, Instant now);
    void remove(const ServerId &server);
    void rebuildServices();
    double expectedOthers(const ServerRow &row, const ServiceRow &service, Instant now) const;
    double expectedSlowness(const ServerRow &row, Instant now) const;
    double score(const ServerRow &row, const ServiceRow &service, const ChoiceInput &input, Instant now) const;
    /// Slots that are free besides the one for a new request, as the newest report says; negative when there is none for it.
    static double spareSlots(const ServerRow &row);
    bool mayAvoid(const ServiceRow &service, Instant now) const;
    void avoid(ServerRow &row, Instant now);

    DataCentreId m_localDataCentre;
    RandomSource &m_random;
    std::map<ServerId, ServerRow> m_rows;
    std::map<ServiceId, ServiceRow> m_services;
    WorkTimes m_workTimes;
    std::vector<ServerId> m_removed;
};

}
