#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

#include <sys/epoll.h>

#include "base/clock.h"

namespace Galenabarrow::Net
{

/// Identifies a timer of an event loop; 0 is no timer.
using TimerId = std::uint64_t;

/// Single-threaded event loop for sockets and timers. It sleeps until the next event, without a fixed tick.
///
/// With a ManualClock, the loop advances the clock to the next timer whenever no socket has an event. Tests on loopback thus see
/// the same times on a busy machine as on an idle one.
class EventLoop
{
public:
    using Callback = std::function<void()>;
    /// Receives the epoll events of a socket.
    using IoCallback = std::function<void(std::uint32_t events)>;

    EventLoop();
    /// \p clock must outlive the loop.
    explicit EventLoop(ManualClock &clock);
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// The time of the current wake-up.
    Instant now() const;
    /// Calls \p callback for the epoll events \p events of \p fd, level-triggered.
    void watch(int fd, std::uint32_t events, IoCallback callback);
    void modify(int fd, std::uint32_t events);
    void unwatch(int fd);
    TimerId after(Duration delay, Callback callback);
    /// Has no effect for 0 and for timers that have fired.
    void cancel(TimerId timer);
    /// Calls \p callback after the current callbacks, before the loop sleeps again.
    void defer(Callback callback);
    void run();
    void stop();

private:
    struct Watch {
        /// Distinguishes it from earlier watches of the same descriptor.
        std::uint32_t generation = 0;
        IoCallback callback;
    };
    using TimerKey = std::pair<Instant, TimerId>;

    void runDeferred();
    void runTimers();
    int sleepMilliseconds() const;

    EventLoop(const Clock &clock, ManualClock *manual);
    int waitForEvents(std::span<epoll_event> events);

    SteadyClock m_steadyClock;
    const Clock &m_clock;
    ManualClock *m_manualClock;
    int m_epoll = -1;
    bool m_isRunning = false;
    Instant m_now {};
    TimerId m_lastTimer = 0;
    std::uint32_t m_lastGeneration = 0;
    std::map<TimerKey, Callback> m_timers;
    std::unordered_map<TimerId, Instant> m_timerTimes;
    std::unordered_map<int, std::shared_ptr<Watch>> m_watches;
    std::vector<Callback> m_deferred;
};

}
