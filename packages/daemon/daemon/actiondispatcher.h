#pragma once

#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include "actions/actionregistry.h"
#include "base/clock.h"
#include "daemon/callcounters.h"
#include "daemon/callerinput.h"
#include "daemon/callrunner.h"
#include "daemon/clusternode.h"
#include "daemon/upstreamclient.h"

namespace Galenabarrow::Daemon
{

/// Runs an action at the one entry that may run it: the owner of its key. A key without a scope is claimed first.
class ActionDispatcher
{
public:
    /// Runs an action whose key this entry owns.
    using RunLocally = std::function<CallEnd(HttpRequest &request, const CallerInput &input, Instant deadline)>;

    /// The referenced objects must outlive the dispatcher. \p lock guards the cluster node and the registry.
    ActionDispatcher(ClusterNode &cluster, Actions::ActionRegistry &registry, UpstreamClient &upstream, CallCounters &counters,
                     std::mutex &lock, const Clock &clock, RunLocally runLocally);

    /// Blocks until the action has ended; call it without the lock. \p input has an action key.
    CallEnd run(HttpRequest &request, CallerInput &input, Instant deadline);
    /// From now on, actions whose deadline lies after \p end are neither claimed nor forwarded, as this entry could not pass on their
    /// responses. Call it with the lock.
    void rejectBeyond(Instant end);

private:
    CallEnd forward(HttpRequest &request, const CallerInput &input, const InstanceId &owner, Instant deadline);
    Actions::KeyOwnership claim(const CallerInput &input, InstanceId &owner, Instant deadline);
    std::optional<std::string> callerAddressOf(const InstanceId &instance) const;
    bool mayOutlastStop(Instant deadline) const;

    ClusterNode &m_cluster;
    Actions::ActionRegistry &m_registry;
    UpstreamClient &m_upstream;
    CallCounters &m_counters;
    std::mutex &m_lock;
    const Clock &m_clock;
    RunLocally m_runLocally;
    /// Set while this entry stops; guarded by the lock.
    std::optional<Instant> m_lastDeadline;
};

}
