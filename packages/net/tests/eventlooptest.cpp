#include "net/eventloop.h"

#include <array>
#include <stdexcept>

#include <catch2/catch.hpp>
#include <unistd.h>

#include "net/framestream.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Net;

TEST_CASE("timers fire in order of their times, and cancelled ones do not")
{
    ManualClock clock;
    EventLoop loop(clock);
    std::vector<int> fired;
    loop.after(std::chrono::milliseconds(30), [&] { fired.push_back(3); });
    const TimerId cancelled = loop.after(std::chrono::milliseconds(20), [&] { fired.push_back(2); });
    loop.after(std::chrono::milliseconds(10), [&] {
        fired.push_back(1);
        loop.cancel(cancelled);
    });
    loop.after(std::chrono::milliseconds(40), [&] { loop.stop(); });
    loop.run();
    CHECK(fired == std::vector<int> { 1, 3 });
    CHECK(clock.now() == Instant {} + std::chrono::milliseconds(40));
}

TEST_CASE("addresses are parsed only in the form host:port")
{
    CHECK(parseSocketAddress("10.0.0.1:80")->port == 80);
    for (const char *text : { "", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:70000", "10.0.0.1:8x", "name:80", ":80", "10.0.0:80" }) {
        INFO(text);
        CHECK_FALSE(parseSocketAddress(text));
    }
}

TEST_CASE("a refused connection ends without having been established")
{
    ManualClock clock;
    EventLoop loop(clock);
    const auto stream = Stream::connect(loop, { "127.0.0.1", 28461 });
    bool isEnded = false;
    stream->onEnd([&](StreamEnd reason) {
        isEnded = reason == StreamEnd::Failed;
        loop.stop();
    });
    loop.after(std::chrono::seconds(5), [&] { loop.stop(); });
    loop.run();
    CHECK(isEnded);
    CHECK_FALSE(stream->wasConnected());
}

TEST_CASE("an invalid frame ends its stream and no other")
{
    ManualClock clock;
    EventLoop loop(clock);
    const Wire::FrameCodec codec("test", "key");
    std::vector<std::unique_ptr<FrameStream>> accepted;
    std::vector<std::uint8_t> received;
    int refused = 0;
    Listener listener(loop, [&](std::shared_ptr<Stream> stream) {
        accepted.push_back(std::make_unique<FrameStream>(std::move(stream), codec));
        accepted.back()->onFrame([&](std::vector<std::uint8_t> frame) { received = std::move(frame); });
        accepted.back()->onEnd([&](const Error &error) { refused += error.code != ResultCode::Unreachable ? 1 : 0; });
    });
    REQUIRE(listener.listen({ "127.0.0.1", 28462 }));
    const auto bad = Stream::connect(loop, { "127.0.0.1", 28462 });
    bad->write(std::string(100, 'x'));
    FrameStream good(Stream::connect(loop, { "127.0.0.1", 28462 }), codec);
    good.send({ 1, 2, 3 });
    loop.after(std::chrono::milliseconds(50), [&] { loop.stop(); });
    loop.run();
    CHECK(refused == 1);
    CHECK(received == std::vector<std::uint8_t> { 1, 2, 3 });
    CHECK(good.isOpen());
}

// Guards against access to the loop's containers during their destruction: a stream that is owned by a callback defers the release
// of its own callbacks when it closes.
TEST_CASE("objects owned by callbacks are released with the loop, even if their destructors defer callbacks")
{
    struct DefersInDestructor {
        ~DefersInDestructor()
        {
            loop.defer([token = token] {});
        }
        EventLoop &loop;
        std::shared_ptr<int> token;
    };
    const auto token = std::make_shared<int>(0);
    {
        ManualClock clock;
        EventLoop loop(clock);
        loop.after(std::chrono::seconds(1), [owned = std::shared_ptr<DefersInDestructor>(new DefersInDestructor { loop, token })] {});
        loop.defer([owned = std::shared_ptr<DefersInDestructor>(new DefersInDestructor { loop, token })] {});
    }
    CHECK(token.use_count() == 1);
}

// Guards against a new connection that gets the event of a closed one: it has the descriptor of the one that was closed in the same round,
// and a hang-up of that one would end its connecting.
TEST_CASE("an event of a closed descriptor does not reach its successor")
{
    ManualClock clock;
    EventLoop loop(clock);
    std::array<std::array<int, 2>, 3> pipes {};
    for (auto &it : pipes) {
        REQUIRE(pipe(it.data()) == 0);
    }
    const auto &[first, second, idle] = pipes;
    int closedBy = 0;
    int stale = 0;
    // Whichever of the two is called first replaces the other by a pipe without data.
    const auto replace = [&](int other) {
        ++closedBy;
        loop.unwatch(other);
        REQUIRE(dup2(idle[0], other) == other);
        loop.watch(other, EPOLLIN, [&](std::uint32_t) { ++stale; });
    };
    loop.watch(first[0], EPOLLIN, [&](std::uint32_t) {
        loop.unwatch(first[0]);
        replace(second[0]);
    });
    loop.watch(second[0], EPOLLIN, [&](std::uint32_t) {
        loop.unwatch(second[0]);
        replace(first[0]);
    });
    REQUIRE(write(first[1], "x", 1) == 1);
    REQUIRE(write(second[1], "x", 1) == 1);
    loop.after(std::chrono::milliseconds(20), [&] { loop.stop(); });
    loop.run();
    CHECK(closedBy == 1);
    CHECK(stale == 0);
    for (const auto &it : pipes) {
        close(it[0]);
        close(it[1]);
    }
}

// Guards against a process that ends since a callback of one connection threw, and against a connection whose owner is not told.
TEST_CASE("an exception of a callback ends its connection and no other")
{
    ManualClock clock;
    EventLoop loop(clock);
    std::vector<std::shared_ptr<Stream>> accepted;
    std::string received;
    int failed = 0;
    Listener listener(loop, [&](std::shared_ptr<Stream> stream) {
        accepted.push_back(stream);
        stream->onData([&](std::string_view bytes) {
            if (bytes == "bad") {
                throw std::runtime_error("unexpected");
            }
            received.append(bytes);
        });
        stream->onEnd([&](StreamEnd reason) {
            failed += reason == StreamEnd::Failed ? 1 : 0;
            throw std::runtime_error("unexpected");
        });
    });
    REQUIRE(listener.listen({ "127.0.0.1", 28463 }));
    const auto bad = Stream::connect(loop, { "127.0.0.1", 28463 });
    const auto good = Stream::connect(loop, { "127.0.0.1", 28463 });
    bad->write("bad");
    loop.after(std::chrono::milliseconds(20), [&] { good->write("good"); });
    loop.after(std::chrono::milliseconds(50), [&] { loop.stop(); });
    loop.run();
    CHECK(failed == 1);
    CHECK_FALSE(accepted.at(0)->isOpen());
    CHECK(received == "good");
}
