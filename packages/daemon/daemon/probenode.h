#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "base/clock.h"
#include "daemon/clusternode.h"
#include "daemon/upstreamclient.h"
#include "daemon/wakeuptimer.h"
#include "entry/callengine.h"
#include "measuring/probescheduler.h"
#include "settings/daemonsettings.h"

namespace Galenabarrow::Daemon
{

/// Probes the servers that are assigned to this entry on a thread of its own, shares the results, and hands the results of
/// all entries to the call engine.
class ProbeNode
{
public:
    /// \p lock guards the cluster and the engine.
    ProbeNode(const Settings::MeasuringSettings &settings, ClusterNode &cluster, Entry::CallEngine &engine, std::mutex &lock,
              WakeUpTimer &wakeUp, const Clock &clock);
    ~ProbeNode();
    ProbeNode(const ProbeNode &) = delete;
    ProbeNode &operator=(const ProbeNode &) = delete;

    /// Applies new results to the call engine and queues the probes that are due; with the lock held.
    /// \p mayProbe is false for an entry that is fenced or stopping. An entry that is not registered has no part of the
    /// budget.
    void sync(bool mayProbe, bool isRegistered, Instant now);
    /// Closes the connection of a probe whose deadline has passed; called without the lock, at nextExpiry() at the
    /// latest.
    void expireOverdue(Instant now);
    /// The latest time of the next expireOverdue(). A probe that makes it earlier notifies the WakeUpTimer.
    Instant nextExpiry();

    /// With the lock held.
    const Measuring::ProbeScheduler &scheduler() const;

private:
    struct Job {
        Measuring::Probe probe;
        std::string address;
    };

    void applyResults();
    Measuring::ProbeView view(bool isRegistered, Instant now) const;
    void schedule(bool isRegistered, Instant now);
    void runWorker();
    void run(const Job &job);
    void publish(const Measuring::Probe &probe, const Measuring::ProbeResult &result, Instant now);

    ClusterNode &m_cluster;
    Entry::CallEngine &m_engine;
    std::mutex &m_lock;
    WakeUpTimer &m_wakeUp;
    const Clock &m_clock;

    // Guarded by m_lock.
    Measuring::ProbeScheduler m_scheduler;
    Instant m_nextSync {};
    std::uint64_t m_seenChanges = 0;
    /// The last result of each server that was applied to the engine.
    std::map<ServerId, SequenceNumber> m_appliedResults;

    UpstreamClient m_upstream;
    std::mutex m_queueMutex;
    std::condition_variable m_wake;
    // Guarded by m_queueMutex.
    std::deque<Job> m_queue;
    std::shared_ptr<ExchangeHandle> m_currentExchange;
    Instant m_currentDeadline {};
    bool m_isEnding = false;

    std::thread m_worker;
};

}
