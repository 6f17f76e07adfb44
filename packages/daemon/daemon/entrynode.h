#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "actions/actionregistry.h"
#include "base/clock.h"
#include "base/log.h"
#include "daemon/actiondispatcher.h"
#include "daemon/callcounters.h"
#include "daemon/callerinput.h"
#include "daemon/callrunner.h"
#include "daemon/clusternode.h"
#include "daemon/enginedependencies.h"
#include "daemon/probenode.h"
#include "daemon/upstreamclient.h"
#include "entry/callengine.h"
#include "limits/customerlimits.h"
#include "report/callstatistics.h"

namespace Galenabarrow::Daemon
{

/// The role entry: answers callers and servers. The lock of the ClusterNode guards its engine, limits and action registry.
class EntryNode
{
public:
    EntryNode(const Settings::DaemonSettings &settings, ClusterNode &cluster, Wire::PeerNetwork &network, std::mutex &lock,
              WakeUpTimer &wakeUp, const Clock &clock);
    ~EntryNode();
    EntryNode(const EntryNode &) = delete;
    EntryNode &operator=(const EntryNode &) = delete;

    /// A request to the callers' address: a lookup or a call.
    HttpReply handleCaller(HttpRequest &request);
    /// A request to the announcements' address.
    HttpReply handleAnnouncement(const HttpRequest &request);
    /// Handles a ShareReply or WaitReports message; with the lock held.
    void receive(const Wire::Envelope &envelope, Instant now);
    /// Copies changed server records to the call engine, so that calls use the servers that the status page shows; with
    /// the lock held.
    void syncServers(Instant now);
    /// Call it at nextTick() at the latest; without the lock.
    void tick(Instant now);
    /// The latest time of the next tick(). A call that makes it earlier notifies the WakeUpTimer.
    Instant nextTick(Instant now);

    /// Leaves the directory; calls are still served, but only those whose deadline lies before \p end, when the process ends.
    void beginStop(Instant end);
    /// Refuses new calls from now on.
    void stopAccepting();
    std::size_t callsInProgress() const;
    /// Asks control to remove the registration and waits for the result for at most \p timeout.
    void deregister(Duration timeout);

    const CallCounters &counters() const;
    const UpstreamCounters &upstreamCounters() const;
    /// With the lock held.
    const Entry::CallEngine &engine() const;
    const Actions::ActionRegistry &registry() const;
    const Report::CallStatistics &statistics() const;
    const ProbeNode &probes() const;

private:
    HttpReply handleLookup(const HttpRequest &request);
    HttpReply handleCall(HttpRequest &request);
    CallEnd runLocally(HttpRequest &request, const CallerInput &input, bool isIdempotent, Instant deadline);
    bool isIdempotentCall(const HttpRequest &request, const CallerInput &input);
    std::optional<std::string> serverAddress(const ServerId &server) const;

    void syncContracts(Instant now);
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
    EngineDependencies m_dependencies;
    Entry::CallEngine m_engine;
    UpstreamClient m_upstream;
    CallRunner m_runner;
    ActionDispatcher m_actions;
    ProbeNode m_probes;

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
    Instant m_lastShareReplyAt {};
    Term m_leaderTerm;
    std::string m_shareLeaderAddress;
    Instant m_nextSync {};
    Instant m_nextHousekeeping {};
    bool m_isStopping = false;
};

}
