#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/log.h"
#include "coordination/entrydirectory.h"
#include "routing/routingstate.h"

namespace Galenabarrow::Coordination
{

/// The requests a second that an entry may send to a cold server.
struct ColdShare {
    ServerId server;
    float perSecond = 0;
    /// This entry sends the first request, also while warm servers are free. Each such request meets a slow server, so only one entry is
    /// to.
    bool isFirst = false;

    bool operator==(const ColdShare &) const = default;
};

/// Decides which servers are cold, and divides Service::coldPerSecond of each among few entries. Has no sockets.
///
/// A server is cold for the time that it announced, counted from when this instance learned of the announcement by its own clock. That
/// time ends without a message. Servers of services without coldPerSecond have no limit here.
///
/// Each share is less than a request a second where the number of entries allows it, and a bucket holds one request and begins empty. So a
/// holder sends one request in any second, and a new holder none in the first second of its share. Shares that are in flight, or are held
/// by entries that hear nothing more, therefore add one request each and stay within the 1.5 times and 8 requests that a server tolerates.
class ColdServers
{
public:
    /// What one entry has received from this instance.
    struct Receiver {
        std::vector<ColdShare> shares;
        bool isFirst = true;
        std::uint64_t revision = 0;
    };

    ColdServers();

    /// Records the servers of the state. \p unixNow is the time of day, used only to recognise announcements that are much older than their
    /// cold time, as an instance that starts reads them from its log.
    void observe(const Routing::RoutingState &state, std::chrono::milliseconds unixNow, Instant now);
    /// Makes the servers of a data centre cold from now on for the cold time of their service.
    void startCold(const DataCentreId &dataCentre, Instant now);
    /// Divides the limits among the entries that are ready. Covers the state last observed.
    void divide(const std::vector<EntryInfo> &entries, Instant now);
    /// Whether a server was cold at the last division and the entries may have changed since, or what was observed is not divided.
    bool isDivisionDue(Instant now) const;

    /// Replaces the announced cold time by the remaining one for servers with a limit, so that entries that start later know it.
    void updateColdLeft(std::vector<Routing::BackendServer> &servers, Instant now) const;
    /// The last log entry that the shares take into account.
    LogIndex dividedAt() const;
    /// All shares of \p entry in cold servers if they differ from what it has received; it counts as having received them. The end of the
    /// cold time is no difference.
    std::optional<std::vector<ColdShare>> takeChanges(const InstanceId &entry, Receiver &receiver, Instant now) const;
    /// Whether takeChanges() would return shares.
    bool hasChanges(const InstanceId &entry, const Receiver &receiver, Instant now) const;
    /// Number of cold servers with a limit.
    std::size_t size(Instant now) const;
    /// Entries among which a limit is divided, if there are as many.
    static std::size_t holderCount(double perSecond);

private:
    struct Row {
        std::uint64_t born = 0;
        std::uint64_t sequence = 0;
        DataCentreId dataCentre;
        bool isReady = false;
        Instant learnedAt {};
        /// As announced.
        Duration coldLeft {};
        /// Of the service.
        Duration coldStart {};
        double perSecond = 0;
        bool isDivided = false;
        std::set<InstanceId> holders;
        /// One of the holders, see ColdShare::isFirst.
        InstanceId first;
        float share = 0;
    };

    static bool isCold(const Row &row, Instant now);
    static Duration coldLeft(const Row &row, Instant now);
    std::vector<ColdShare> shares(const InstanceId &entry, Instant now) const;
    void logChange(Instant now);

    Log m_log;
    std::map<ServerId, Row> m_rows;
    LogIndex m_observedAt;
    LogIndex m_dividedAt;
    std::vector<EntryInfo> m_entries;
    Instant m_lastDivision {};
    /// Counts the divisions that changed a share.
    std::uint64_t m_revision = 0;
    bool m_wasAnyCold = false;
    /// A service has a limit for cold servers.
    bool m_hasLimits = false;
    /// What was observed has not been divided.
    bool m_isPending = false;
};

}
