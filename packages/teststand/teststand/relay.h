#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <mutex>
#include <string>
#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

namespace Galenabarrow::Teststand
{

/// Forwards TCP connections on loopback to one address and injects network faults between two processes.
class Relay
{
public:
    enum class Fault : std::uint8_t {
        None,
        /// Bytes towards the target are delayed until the fault ends.
        StallForward,
        /// Bytes from the target are delayed until the fault ends.
        StallBackward,
        StallBoth,
        /// All connections are closed, and undelivered bytes are lost. New connections are closed right after they are accepted.
        Cut
    };

    /// Listens on a free port. Connections are closed at once until a target is set.
    Relay();
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    /// The listening address, as "host:port".
    std::string address() const;
    void setTarget(const std::string &address);
    void setFault(Fault fault);
    /// Number of bytes delivered, sum of both directions.
    std::uint64_t bytesDelivered() const;

private:
    struct Connection {
        Poco::Net::StreamSocket client;
        Poco::Net::StreamSocket target;
    };

    void run();
    void accept(const std::string &target, Fault fault);
    /// Forwards the bytes that can be read without blocking. Returns false at the end of the stream and on errors.
    bool forwardAvailable(Poco::Net::StreamSocket &from, Poco::Net::StreamSocket &to);
    void forward(Fault fault);

    Poco::Net::ServerSocket m_listener;
    std::mutex m_mutex;
    std::string m_target;
    Fault m_fault = Fault::None;
    std::list<Connection> m_connections;
    std::atomic<std::uint64_t> m_bytesDelivered { 0 };
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

}
