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

/// Forwards TCP connections on loopback to one address, and injects faults of the link between two processes.
class Relay
{
public:
    enum class Fault : std::uint8_t {
        None,
        /// Bytes towards the target wait, and are delivered after the fault.
        StallForward,
        /// The same for bytes back from the target.
        StallBackward,
        StallBoth,
        /// All connections are closed, with what they hold, and new ones at once after they were accepted.
        Cut
    };

    /// Listens on a port that the system picks. Connections are closed until there is a target.
    Relay();
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    /// Where the relay listens, as "host:port".
    std::string address() const;
    void setTarget(const std::string &address);
    void setFault(Fault fault);
    /// Bytes that were delivered in both directions.
    std::uint64_t bytesDelivered() const;

private:
    struct Connection {
        Poco::Net::StreamSocket client;
        Poco::Net::StreamSocket target;
    };

    void run();
    void accept(const std::string &target, Fault fault);
    /// Passes on what has arrived; false at the end of the stream.
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
