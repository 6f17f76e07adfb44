#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "actions/actionregistry.h"
#include "base/clock.h"
#include "base/log.h"
#include "daemon/callerinput.h"
#include "daemon/callrunner.h"
#include "daemon/clusternode.h"
#include "daemon/enginelinks.h"
#include "daemon/upstreamclient.h"
#include "entry/callengine.h"
#include "limits/customerlimits.h"
#include "report/callstatistics.h"

namespace Galenabarrow::Daemon
{

/// How calls ended at this entry.
struct CallCounters {
    std::atomic<std::uint64_t> answered { 0 };
    std::atomic<std::uint64_t> notRun { 0 };
    std::atomic<std::uint64_t> unknown { 0 };
    std::atomic<std::uint64_t> inputErrors { 0 };
    std::atomic<std::uint64_t> forwarded { 0 };
    std::atomic<std::uint64_t> claims { 0 };
};

/// The role entry: answers callers and servers. Its cores are guarded by the lock of the ClusterNode.
class EntryNode
{
public:
    EntryNode(const Settings::DaemonSettings &settings, ClusterNode &cluster, Wire::PeerNetwork &network, std::mutex &lock,
              const Clock &clock);
    ~EntryNode();
    EntryNode(const EntryNode &) = delete;
    EntryNode &operator=(const EntryNode &) = delete;

    /// A request to the callers' address: a lookup or a call.
    HttpReply handleCaller(HttpRequest &request);
    /// A request to the announcements' address.
    HttpReply handleAnnouncement(const HttpRequest &request);
    /// Takes a ShareReply or WaitReports; with the lock held.
    void receive(const Wire::Envelope &envelope, Instant now);
    /// Call it every millisecond while there are calls, and every few milliseconds otherwise; without the lock.
    void tick(Instant now);

    /// Leaves the directory and goes on serving.
    void beginStop();
    /// From now on no new call is accepted.
    void stopAccepting();
    std::size_t callsInProgress() const;
    /// Removes the registration, as far as control answers within \p timeout.
    void deregister(Duration timeout);

    const CallCounters &counters() const;
    const UpstreamCounters &upstreamCounters() const;
    /// With the lock held.
    const Entry::CallEngine &engine() const;
    const Actions::ActionRegistry &registry() const;
    const Report::CallStatistics &statistics() const;

private:
    HttpReply handleLookup(const HttpRequest &request);
    HttpReply handleCall(HttpRequest &request);
    CallEnd runAction(HttpRequest &request, CallerInput &input, Instant deadline);
    CallEnd runOwn(HttpRequest &request, const CallerInput &input, bool isIdempotent, Instant deadline);
    CallEnd forward(HttpRequest &request, const CallerInput &input, const InstanceId &owner, Instant deadline);
    Actions::KeyOwnership claim(const CallerInput &input, InstanceId &owner, Instant deadline);
    bool isIdempotentCall(const HttpRequest &request, const CallerInput &input);
    std::optional<std::string> callerAddressOf(const InstanceId &instance) const;
    std::optional<std::string> serverAddress(const ServerId &server) const;

    void syncContracts(Instant now);
    void syncServers(Instant now);
    void updateSelf(Instant now);
    void registerSelf(Instant now);
    bool isRegistered() const;
    /// True when the limits of a newly registered entry have come into force; until then it would refuse every call.
    bool hasLimits(Instant now);
    bool hasShareOfEveryContract(Instant now);
    void syncAll(Instant now);
    void requestShares(Instant now);
    void sendWaitReports(Instant now);

    ClusterNode &m_cluster;
    Wire::PeerNetwork &m_network;
    std::mutex &m_lock;
    const Clock &m_clock;
    Log m_log { "entry" };
    CallCounters m_counters;
    Report::CallStatistics m_statistics;
    Actions::ActionRegistry m_registry;
    Limits::CustomerLimits m_limits;
    EngineLinks m_links;
    Entry::CallEngine m_engine;
    UpstreamClient m_upstream;
    CallRunner m_runner;

    std::uint64_t m_seenFeedChanges = 0;
    std::uint64_t m_seenMemberChanges = 0;
    std::map<CustomerId, Version> m_installedContracts;
    std::set<ServerId> m_installedServers;
    Membership::InstanceInfo m_info;
    std::optional<Control::ProposalTicket> m_registration;
    Instant m_nextRegistration {};
    Duration m_freshnessLimit;
    std::optional<Instant> m_registeredAt;
    bool m_hasLimits = false;
    Instant m_nextShareRequest {};
    Instant m_lastShareReply {};
    std::string m_shareAddress;
    Instant m_nextSync {};
    Instant m_nextHousekeeping {};
    bool m_isStopping = false;
};

}
