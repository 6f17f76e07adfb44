#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "base/clock.h"
#include "base/log.h"
#include "base/resultcode.h"
#include "daemon/clusternode.h"
#include "daemon/controlnode.h"
#include "daemon/entrynode.h"
#include "daemon/httpserver.h"
#include "daemon/operatorsapi.h"
#include "settings/daemonsettings.h"
#include "wire/peernetwork.h"

namespace Galenabarrow::Daemon
{

/// One galenabarrowd process: the roles of its settings, their listeners and threads.
class Daemon
{
public:
    explicit Daemon(Settings::DaemonSettings settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Binds all addresses and starts. Fails with AddressUnavailable, a settings error or a store error.
    Result<void> start();
    /// Leaves the directory, serves until callers no longer use this address and all calls have ended, and returns.
    void stopGracefully();
    /// True when the process has to exit because the control store has failed.
    bool hasFailed() const;
    /// The bound addresses as key=value pairs on one line.
    std::string addresses() const;

private:
    Result<void> listen();
    Identity makeIdentity() const;
    void startServers();
    void receive(Wire::Envelope envelope);
    void runTicks();
    void tick(Instant now);
    void waitForCalls(Instant deadline) const;

    Settings::DaemonSettings m_settings;
    SteadyClock m_clock;
    Log m_log { "daemon" };
    std::mutex m_lock;
    WakeUpTimer m_wakeUp;
    std::string m_token;
    Incarnation m_incarnation;
    std::unique_ptr<Wire::PeerNetwork> m_network;
    HttpServer m_callers;
    HttpServer m_announcements;
    HttpServer m_operators;
    std::unique_ptr<ClusterNode> m_cluster;
    std::unique_ptr<ControlNode> m_control;
    std::unique_ptr<EntryNode> m_entry;
    std::unique_ptr<OperatorsApi> m_api;
    /// Set when the nodes can receive messages.
    std::atomic<bool> m_ready { false };
    std::atomic<bool> m_stopping { false };
    std::thread m_ticks;
    Instant m_nextClusterTick {};
};

}
