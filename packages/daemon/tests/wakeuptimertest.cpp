#include "daemon/wakeuptimer.h"

#include <atomic>
#include <thread>

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace Galenabarrow::Daemon;

// Guards against a tick thread that sleeps past a deadline or hedge that was set after it fell asleep: the thread would
// not end, and neither would this test.
TEST_CASE("a timer that becomes earlier wakes the sleeping thread", "[daemon][wakeup]")
{
    const ManualClock clock;
    WakeUpTimer timer(clock, Duration::zero());
    std::atomic<bool> isAwake { false };
    std::thread sleeper([&] {
        timer.sleepUntil(clock.now() + std::chrono::hours(1));
        isAwake = true;
    });
    timer.wakeBy(clock.now() + std::chrono::hours(2));
    REQUIRE_FALSE(isAwake);
    timer.wakeBy(clock.now());
    sleeper.join();
    REQUIRE(isAwake);
}

// Guards against a request that is lost because it arrives between the evaluation of the timers and the sleep.
TEST_CASE("a request made while the thread is awake shortens its next sleep, and only that one", "[daemon][wakeup]")
{
    ManualClock clock;
    WakeUpTimer timer(clock, Duration::zero());
    timer.wakeBy(clock.now());
    timer.sleepUntil(clock.now() + std::chrono::hours(1));
    timer.wakeBy(clock.now() + std::chrono::hours(1));
    timer.sleepUntil(clock.now());
    std::thread sleeper([&] { timer.sleepUntil(clock.now() + std::chrono::hours(1)); });
    timer.wakeBy(clock.now());
    sleeper.join();
}

// Guards against a request that is dropped although the thread does not wake up within the tolerance.
TEST_CASE("a request is dropped only when the thread wakes within the tolerance", "[daemon][wakeup]")
{
    ManualClock clock;
    WakeUpTimer timer(clock, std::chrono::milliseconds(5));
    timer.wakeBy(clock.now() + std::chrono::milliseconds(5));
    timer.wakeBy(clock.now());
    std::atomic<bool> isAwake { false };
    std::thread sleeper([&] {
        timer.sleepUntil(clock.now() + std::chrono::hours(1));
        isAwake = true;
    });
    REQUIRE_FALSE(isAwake);
    timer.wakeBy(clock.now() - std::chrono::milliseconds(1));
    sleeper.join();
}
