#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/id.h"

namespace Galenabarrow::Settings
{

/// Identity and roles of this instance.
struct InstanceSettings {
    InstanceId id;
    DataCentreId dataCentre;
    bool isEntry = false;
    bool isControl = false;
};

/// The cluster that this instance belongs to.
struct ClusterSettings {
    std::string id;
    /// File with the key for the digests of frames, equal on all instances.
    std::string keyFile;
    /// Peer addresses of instances that a starting instance contacts first.
    std::vector<std::string> seeds;
};

/// "address:port" pairs; port 0 lets the system choose.
struct AddressSettings {
    /// Entries only.
    std::string callers;
    std::string operators;
    /// Empty when servers announce themselves at the callers' address.
    std::string announcements;
    std::string peers;
};

/// One voting instance of the replicated log.
struct ReplicaSettings {
    InstanceId instance;
    DataCentreId dataCentre;
    std::string peerAddress;

    bool operator==(const ReplicaSettings &) const = default;
};

struct ControlSettings {
    /// Control instances only.
    std::string dataFolder;
    /// The initial replicas of the cluster: 1, 3, 5 or 7.
    std::vector<ReplicaSettings> replicas;
    /// Creates the cluster: an instance with an empty data folder starts a new log with these replicas. Without it, an
    /// instance with an empty data folder joins as a learner.
    bool bootstrap = false;
};

struct TimingSettings {
    Duration electionTimeout = std::chrono::milliseconds(1500);
    Duration heartbeat = std::chrono::milliseconds(500);
    /// Maximum age of an entry's freshness stamp; with an older one, the entry accepts no calls.
    Duration freshnessLimit = std::chrono::seconds(5);
    /// How long a caller may use the answer to a lookup.
    Duration directoryMaxAge = std::chrono::seconds(10);
    /// A server that has sent nothing for this long is removed.
    Duration serverLease = std::chrono::seconds(10);
    /// Maximum time from the start of a graceful stop to the exit. The default covers the directory's max-age and the
    /// longest deadline that a contract can grant, 10 min, so that no call is cut off.
    Duration drain = std::chrono::seconds(620);
};

struct LimitSettings {
    /// Maximum size of the header section of a request, in bytes.
    std::uint32_t headerBytes = 16 * 1024;
    /// Maximum size of the body of a request or response, in bytes.
    std::uint32_t bodyBytes = 8 * 1024 * 1024;
    /// Maximum number of accepted connections per listening address.
    std::uint32_t connections = 512;
    /// Maximum number of calls queued at the entry.
    std::uint32_t queueSize = 1024;
};

struct MeasuringSettings {
    /// Share of the servers' slot time, per 1,000, that probes, reports and samples may use.
    double budgetPermille = 5.0;
    /// Maximum duration of a probe; reserved from the budget before each probe.
    Duration probeDeadline = std::chrono::milliseconds(20);
};

struct ContractSettings {
    /// Continue to serve with an outdated contract table. During a partition, an entry may then serve by a contract that was
    /// changed or withdrawn more than 7 s ago (property P7 does not hold).
    bool serveWhenStale = false;
};

struct RoutingSettings {
    /// Name of the routing strategy.
    std::string strategy = "least-expected-delay";
    /// Refused attempts per 1,000 calls above which full servers are tried less often; 0 for no limit.
    std::uint32_t refusalPermille = 0;
    /// Send the waiting times of queued calls to the other entries, so that near saturation free slots go to the calls that
    /// have waited longest.
    bool exchangeWaits = true;
};

struct LogSettings {
    /// Least severity that is written: debug, info, warn or error.
    std::string threshold = "info";
};

/// The settings of one galenabarrowd process.
struct DaemonSettings {
    InstanceSettings instance;
    ClusterSettings cluster;
    /// Where this process listens.
    AddressSettings listen;
    /// Addresses that it advertises to others. For an empty one, the bound address of the same field of listen is used.
    AddressSettings advertise;
    /// File with the operators' bearer token.
    std::string operatorsTokenFile;
    ControlSettings control;
    TimingSettings timings;
    LimitSettings limits;
    MeasuringSettings measuring;
    ContractSettings contracts;
    RoutingSettings routing;
    LogSettings log;
};

}
