#include "teststand/relay.h"

#include <algorithm>
#include <array>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

namespace Galenabarrow::Teststand
{

namespace
{

constexpr std::size_t BufferSize = 16'384;
/// Maximum time until a changed fault takes effect.
const Poco::Timespan PollInterval(0, 5'000);
const Poco::Timespan SendTimeout(2, 0);

}

Relay::Relay()
    : m_listener(Poco::Net::SocketAddress("127.0.0.1:0"))
    , m_thread([this] { run(); })
{
}

Relay::~Relay()
{
    m_stopping = true;
    m_thread.join();
}

std::string Relay::address() const
{
    return m_listener.address().toString();
}

void Relay::setTarget(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    m_target = address;
}

void Relay::setFault(Fault fault)
{
    const std::lock_guard lock(m_mutex);
    m_fault = fault;
}

std::uint64_t Relay::bytesDelivered() const
{
    return m_bytesDelivered;
}

void Relay::run()
{
    while (!m_stopping) {
        std::string target;
        Fault fault = Fault::None;
        {
            const std::lock_guard lock(m_mutex);
            target = m_target;
            fault = m_fault;
        }
        if (fault == Fault::Cut) {
            m_connections.clear();
        }
        Poco::Net::Socket::SocketList readable { m_listener };
        for (const Connection &it : m_connections) {
            if (fault != Fault::StallForward && fault != Fault::StallBoth) {
                readable.push_back(it.client);
            }
            if (fault != Fault::StallBackward && fault != Fault::StallBoth) {
                readable.push_back(it.target);
            }
        }
        Poco::Net::Socket::SocketList writable;
        Poco::Net::Socket::SocketList failed;
        Poco::Net::Socket::select(readable, writable, failed, PollInterval);
        if (m_listener.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
            accept(target, fault);
        }
        forward(fault);
    }
}

void Relay::accept(const std::string &target, Fault fault)
{
    Connection connection;
    connection.client = m_listener.acceptConnection();
    if (fault == Fault::Cut || target.empty()) {
        return;
    }
    try {
        connection.target.connect(Poco::Net::SocketAddress(target), SendTimeout);
        connection.target.setNoDelay(true);
        connection.client.setNoDelay(true);
        connection.target.setSendTimeout(SendTimeout);
        connection.client.setSendTimeout(SendTimeout);
        m_connections.push_back(std::move(connection));
    } catch (const Poco::Exception &) {
        // The target is unreachable; closing the client's connection reports this to the client.
    }
}

bool Relay::forwardAvailable(Poco::Net::StreamSocket &from, Poco::Net::StreamSocket &to)
{
    if (!from.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
        return true;
    }
    try {
        std::array<char, BufferSize> buf {};
        const int received = from.receiveBytes(buf.data(), static_cast<int>(buf.size()));
        for (int sent = 0; sent < received;) {
            sent += to.sendBytes(buf.data() + sent, received - sent);
        }
        m_bytesDelivered += static_cast<std::uint64_t>(std::max(received, 0));
        return received > 0;
    } catch (const Poco::Exception &) {
        return false;
    }
}

void Relay::forward(Fault fault)
{
    const bool isForward = fault != Fault::StallForward && fault != Fault::StallBoth;
    const bool isBackward = fault != Fault::StallBackward && fault != Fault::StallBoth;
    m_connections.remove_if([&](Connection &it) {
        return (isForward && !forwardAvailable(it.client, it.target)) || (isBackward && !forwardAvailable(it.target, it.client));
    });
}

}
