#include "rawserver.h"

#include <algorithm>

#include <catch2/catch.hpp>

namespace Galenabarrow::Gateway
{

RawServer::RawServer(Net::EventLoop &loop, Net::SocketAddress listenAddress, Handler handler)
    : address(std::move(listenAddress))
    , m_handler(std::move(handler))
    , m_listener(loop, [this](std::shared_ptr<Net::Stream> it) { accept(std::move(it)); })
{
    REQUIRE(m_listener.listen(address));
}

std::size_t RawServer::requests(const std::string &path) const
{
    return static_cast<std::size_t>(
        std::count_if(received.begin(), received.end(), [&path](const Http::Request &it) { return it.path() == path; }));
}

void RawServer::accept(std::shared_ptr<Net::Stream> stream)
{
    Connection &connection = connections.emplace_back();
    connection.stream = std::move(stream);
    connection.stream->onData([this, &connection](std::string_view bytes) {
        connection.reader.feed(bytes);
        while (connection.reader.state() == Http::ReadState::Complete) {
            received.push_back(connection.reader.take());
            m_handler(connection, received.back());
        }
    });
}

}
