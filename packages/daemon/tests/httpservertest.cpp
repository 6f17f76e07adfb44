#include "daemon/httpserver.h"

#include <stdexcept>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include <Poco/Exception.h>

using namespace Galenabarrow;
using namespace Galenabarrow::Daemon;

// Guards against a slow sender that is counted by its own thread and by the tick when both time out at once.
TEST_CASE("each slow sender is counted once")
{
    constexpr int Rounds = 40;
    constexpr int Senders = 24;
    HttpLimits limits;
    limits.requestTimeout = std::chrono::milliseconds(20);
    const SteadyClock clock;
    HttpServer server(limits, clock);
    REQUIRE(server.listen("127.0.0.1:0"));
    server.serve([](HttpRequest &) { return HttpReply {}; });
    std::atomic<bool> isDone { false };
    std::thread ticker([&] {
        while (!isDone) {
            server.closeSlowSenders(clock.now());
            std::this_thread::sleep_for(std::chrono::microseconds(300));
        }
    });
    for (int round = 0; round < Rounds; ++round) {
        std::vector<Poco::Net::StreamSocket> senders;
        for (int n = 0; n < Senders; ++n) {
            senders.emplace_back(Poco::Net::SocketAddress(server.address()));
            senders.back().sendBytes("GET", 3);
        }
        for (Poco::Net::StreamSocket &it : senders) {
            char byte = 0;
            try {
                CHECK(it.receiveBytes(&byte, 1) == 0);
            } catch (const Poco::Exception &) {
                // Reset because of the unread bytes.
            }
        }
    }
    isDone = true;
    ticker.join();
    CHECK(server.counters().slowSenders == std::uint64_t { Rounds } * Senders);
}

// Guards against a request without a reply and a count of requests in progress that never falls, which would hold a stop.
TEST_CASE("an exception of a handler is answered with an unknown outcome")
{
    const SteadyClock clock;
    HttpServer server({}, clock);
    REQUIRE(server.listen("127.0.0.1:0"));
    server.serve([](HttpRequest &) -> HttpReply { throw std::runtime_error("unexpected"); });
    Poco::Net::StreamSocket caller { Poco::Net::SocketAddress(server.address()) };
    const std::string request = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    caller.sendBytes(request.data(), static_cast<int>(request.size()));
    std::string received(4096, '\0');
    received.resize(static_cast<std::size_t>(caller.receiveBytes(received.data(), static_cast<int>(received.size()))));
    CHECK(received.starts_with("HTTP/1.1 500"));
    CHECK(received.find("unknown") != std::string::npos);
    caller.close();
    server.stop();
    CHECK(server.requestsInProgress() == 0);
}
