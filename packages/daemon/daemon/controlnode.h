#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

#include "base/clock.h"
#include "base/log.h"
#include "base/random.h"
#include "control/controlservice.h"
#include "limits/shareallocator.h"
#include "settings/daemonsettings.h"
#include "wire/peernetwork.h"

namespace Galenabarrow::Daemon
{

/// The role control. It has its own thread and lock, because its writes to disk would delay calls.
class ControlNode
{
public:
    /// Opens the data folder. Fails with the errors of the store.
    static Result<std::unique_ptr<ControlNode>> open(const Settings::DaemonSettings &settings, Wire::PeerNetwork &network,
                                                     const Clock &clock);
    ~ControlNode();
    ControlNode(const ControlNode &) = delete;
    ControlNode &operator=(const ControlNode &) = delete;

    /// Starts the thread.
    void start();
    /// Queues a message, or drops it when the queue is full; thread-safe.
    void receive(Wire::Envelope envelope);
    Control::ControlStatus status() const;
    /// True after the store has failed; the process then has to exit.
    bool hasFailed() const;
    void stop();

private:
    ControlNode(std::unique_ptr<Control::ControlService> service, std::unique_ptr<RandomSource> random, Wire::PeerNetwork &network,
                const Clock &clock);
    void run();
    void processMessages(const std::deque<Wire::Envelope> &messages);
    void answerShareRequest(const Wire::Envelope &envelope, Instant now);
    void syncAllocator(Instant now);

    std::unique_ptr<RandomSource> m_random;
    std::unique_ptr<Control::ControlService> m_service;
    Wire::PeerNetwork &m_network;
    const Clock &m_clock;
    Log m_log { "control" };
    Limits::ShareAllocator m_allocator { Limits::LeaseTimes {} };
    std::map<CustomerId, Version> m_allocated;
    LogIndex m_allocatedIndex;
    bool m_wasLeader = false;
    std::uint64_t m_malformed = 0;
    std::atomic<bool> m_failed { false };

    mutable std::mutex m_serviceMutex;
    std::mutex m_inboxMutex;
    std::condition_variable m_inboxFilled;
    std::deque<Wire::Envelope> m_inbox;
    bool m_stopping = false;
    std::thread m_thread;
};

}
