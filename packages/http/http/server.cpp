#include "http/server.h"

#include <algorithm>
#include <utility>

#include "http/serverconnection.h"

namespace Galenabarrow::Http
{

Server::Server(Net::EventLoop &loop, Handler handler)
    : m_loop(loop)
    , m_handler(std::move(handler))
    , m_listener(loop, [this](std::shared_ptr<Net::Stream> stream) { accept(std::move(stream)); })
{
}

void Server::accept(std::shared_ptr<Net::Stream> stream)
{
    if (m_limits.maxConnections > 0 && m_connections.size() >= m_limits.maxConnections) {
        ++m_refusedConnections;
        if (!std::exchange(m_isLimitReached, true) && m_limitCallback) {
            m_limitCallback(true);
        }
        return; // the stream closes with its last reference
    }
    auto connection = std::make_shared<ServerConnection>(*this, std::move(stream));
    m_connections.insert(connection);
    connection->start();
}

void Server::remove(const std::shared_ptr<ServerConnection> &connection)
{
    m_connections.erase(connection);
    if (m_isLimitReached && m_connections.size() < m_limits.maxConnections / 2) {
        m_isLimitReached = false;
        if (m_limitCallback) {
            m_limitCallback(false);
        }
    }
}

Server::~Server()
{
    const auto connections = m_connections;
    for (const auto &it : connections) {
        it->close();
    }
}

bool Server::listen(const Net::SocketAddress &address)
{
    return m_listener.listen(address);
}

void Server::stopListening()
{
    m_listener.close();
}

void Server::setLimits(const ServerLimits &limits)
{
    m_limits = limits;
}

const ServerLimits &Server::limits() const
{
    return m_limits;
}

void Server::setMemoryBudget(Net::MemoryBudget *budget)
{
    m_budget = budget;
}

std::uint64_t Server::refusedConnections() const
{
    return m_refusedConnections;
}

void Server::onConnectionLimit(std::function<void(bool)> callback)
{
    m_limitCallback = std::move(callback);
}

void Server::startClosing()
{
    m_isClosing = true;
}

bool Server::isClosing() const
{
    return m_isClosing;
}

void Server::closeIdle()
{
    const auto connections = m_connections;
    for (const auto &it : connections) {
        if (it->isIdle()) {
            it->close();
        }
    }
}

std::size_t Server::connectionCount() const
{
    return m_connections.size();
}

std::size_t Server::pendingCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(), [](const auto &it) { return it->hasRequest(); }));
}

std::size_t Server::sendingCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(), [](const auto &it) { return it->isSending(); }));
}

}
