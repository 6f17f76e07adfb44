#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/id.h"

namespace Galenabarrow::Settings
{

/// What this instance is and does.
struct InstanceSettings {
    InstanceId id;
    DataCentreId dataCentre;
    bool isEntry = false;
    bool isControl = false;
};

/// What all instances of a cluster share.
struct ClusterSettings {
    std::string id;
    /// File with the key of the digest of frames.
    std::string keyFile;
    /// Peer addresses of instances that a starting instance asks first.
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
    /// The first replicas of the cluster; 1 to 7, an odd number.
    std::vector<ReplicaSettings> replicas;
    /// Creates the cluster: an empty data folder becomes the first log with these replicas. Without it, an instance with
    /// an empty data folder joins as a learner.
    bool bootstrap = false;
};

struct TimingSettings {
    Duration electionTimeout = std::chrono::milliseconds(1500);
    Duration heartbeat = std::chrono::milliseconds(500);
    /// An entry whose freshness stamp is older takes no work.
    Duration freshnessLimit = std::chrono::seconds(5);
    /// How long a caller may use the answer to a lookup.
    Duration directoryMaxAge = std::chrono::seconds(10);
    /// A server that was not heard from for this long is removed.
    Duration serverLease = std::chrono::seconds(10);
    /// Longest time from the start of a stop to the exit. The default covers the directory's max-age and the longest
    /// deadline that a contract can grant, 10 min, so that no call is cut off.
    Duration drain = std::chrono::seconds(620);
};

struct LimitSettings {
    /// Header section of a request, in bytes.
    std::uint32_t headerBytes = 16 * 1024;
    /// Body of a request or response, in bytes.
    std::uint32_t bodyBytes = 8 * 1024 * 1024;
    /// Accepted connections per listening address.
    std::uint32_t connections = 512;
    /// Calls that wait at the entry.
    std::uint32_t queueSize = 1024;
};

struct MeasuringSettings {
    /// Share of the servers' slot time, per 1,000, that probes, reports and samples may use.
    double budgetPermille = 5.0;
    /// Longest time that a probe may take; reserved from the budget before each probe.
    Duration probeDeadline = std::chrono::milliseconds(20);
};

struct ContractSettings {
    /// Go on serving with an outdated contract table. P7 then does not hold during a partition.
    bool serveWhenStale = false;
};

struct RoutingSettings {
    /// Name of the routing strategy.
    std::string strategy = "least-expected-delay";
    /// Refused attempts per 1,000 calls above which full servers are tried less often; 0 for no limit.
    std::uint32_t refusalPermille = 0;
    /// Tell the other entries how long calls wait, so that near saturation the longest waits get the free slots.
    bool exchangeWaits = true;
};

struct LogSettings {
    /// debug, info, warn or error.
    std::string threshold = "info";
};

/// The settings of one galenabarrowd process.
struct DaemonSettings {
    InstanceSettings instance;
    ClusterSettings cluster;
    /// Where this process listens.
    AddressSettings listen;
    /// What it tells others. A part that is empty stands for the bound address of the same part of listen.
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
