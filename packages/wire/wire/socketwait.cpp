#include "wire/socketwait.h"

#include <algorithm>
#include <cerrno>
#include <chrono>

#include <poll.h>

#include <Poco/Net/SocketImpl.h>

namespace Galenabarrow::Wire
{

bool waitReadable(const Poco::Net::Socket &socket, std::optional<Duration> timeout)
{
    using std::chrono::milliseconds;
    constexpr milliseconds NoTimeout(-1);
    const SteadyClock clock;
    const Instant begin = clock.now();
    const auto left = [&] {
        return timeout ? std::max(std::chrono::ceil<milliseconds>(*timeout - (clock.now() - begin)), milliseconds::zero()) : NoTimeout;
    };
    pollfd descriptor { socket.impl()->sockfd(), POLLIN, 0 };
    int n = 0;
    do {
        n = ::poll(&descriptor, 1, static_cast<int>(left().count()));
    } while (n < 0 && errno == EINTR);
    return n != 0; // any other error is reported by the next receive
}

}
