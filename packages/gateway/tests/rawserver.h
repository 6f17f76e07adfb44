#pragma once

#include <functional>
#include <list>
#include <string>
#include <vector>

#include "http/reader.h"
#include "net/stream.h"

namespace Galenabarrow::Gateway
{

/// A backend server on the event loop of the test whose handler writes any bytes to its connections.
class RawServer
{
public:
    struct Connection {
        std::shared_ptr<Net::Stream> stream;
        Http::RequestReader reader { {} };
    };
    using Handler = std::function<void(Connection &, const Http::Request &)>;

    RawServer(Net::EventLoop &loop, Net::SocketAddress address, Handler handler);

    /// Requests by their path.
    std::size_t requests(const std::string &path) const;

    Net::SocketAddress address;
    std::vector<Http::Request> received;
    std::list<Connection> connections;

private:
    void accept(std::shared_ptr<Net::Stream> stream);

    Handler m_handler;
    Net::Listener m_listener;
};

}
