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

    /// Takes new results and queues the probes that are due; with the lock held. An entry that is fenced or stopping may
    /// not probe, and one that is not registered has no part of the budget.
    void sync(bool mayProbe, bool isRegistered, Instant now);
    /// Closes the connection of a probe that has reached its end; without the lock, every few milliseconds.
    void expireOverdue(Instant now);
    /// When expireOverdue() may have something to do. The WakeUpTimer is told of an earlier time.
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
    /// The last result of each server that the engine has taken.
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
