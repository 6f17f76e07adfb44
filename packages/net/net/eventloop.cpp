#include "net/eventloop.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <system_error>
#include <utility>

#include <unistd.h>

namespace Galenabarrow::Net
{

namespace
{
constexpr int MaxEvents = 64;
constexpr int MaxSleepMilliseconds = 1000;
/// With a ManualClock: real time without an event after which sockets on loopback count as idle.
constexpr int QuietMilliseconds = 2;
constexpr unsigned GenerationShift = 32;

epoll_event makeEvent(int fd, std::uint32_t generation, std::uint32_t events)
{
    epoll_event event {};
    event.events = events;
    event.data.u64 = (std::uint64_t { generation } << GenerationShift) | static_cast<std::uint32_t>(fd);
    return event;
}

int descriptorOf(const epoll_event &event)
{
    return static_cast<int>(static_cast<std::uint32_t>(event.data.u64));
}

std::uint32_t generationOf(const epoll_event &event)
{
    return static_cast<std::uint32_t>(event.data.u64 >> GenerationShift);
}

}

EventLoop::EventLoop()
    : EventLoop(m_steadyClock, nullptr)
{
}

EventLoop::EventLoop(ManualClock &clock)
    : EventLoop(clock, &clock)
{
}

EventLoop::EventLoop(const Clock &clock, ManualClock *manual)
    : m_clock(clock)
    , m_manualClock(manual)
    , m_epoll(epoll_create1(EPOLL_CLOEXEC))
    , m_now(m_clock.now())
{
    if (m_epoll < 0) {
        throw std::system_error(errno, std::generic_category(), "epoll_create1");
    }
}

EventLoop::~EventLoop()
{
    // Objects owned by callbacks may call unwatch(), cancel() or defer() in their destructors, so the containers must stay valid.
    while (!m_deferred.empty() || !m_timers.empty() || !m_watches.empty()) {
        const auto deferred = std::exchange(m_deferred, {});
        const auto timers = std::exchange(m_timers, {});
        const auto watches = std::exchange(m_watches, {});
    }
    close(m_epoll);
}

Instant EventLoop::now() const
{
    return m_now;
}

void EventLoop::watch(int fd, std::uint32_t events, IoCallback callback)
{
    auto watch = std::make_shared<Watch>(Watch { ++m_lastGeneration, std::move(callback) });
    m_watches[fd] = watch;
    epoll_event event = makeEvent(fd, watch->generation, events);
    if (epoll_ctl(m_epoll, EPOLL_CTL_ADD, fd, &event) != 0) {
        throw std::system_error(errno, std::generic_category(), "epoll_ctl");
    }
}

void EventLoop::modify(int fd, std::uint32_t events)
{
    const auto it = m_watches.find(fd);
    if (it == m_watches.end()) {
        return;
    }
    epoll_event event = makeEvent(fd, it->second->generation, events);
    epoll_ctl(m_epoll, EPOLL_CTL_MOD, fd, &event);
}

void EventLoop::unwatch(int fd)
{
    if (m_watches.erase(fd) > 0) {
        epoll_ctl(m_epoll, EPOLL_CTL_DEL, fd, nullptr);
    }
}

TimerId EventLoop::after(Duration delay, Callback callback)
{
    const TimerId timer = ++m_lastTimer;
    const Instant at = m_now + std::max(delay, Duration {});
    m_timers.emplace(TimerKey { at, timer }, std::move(callback));
    m_timerTimes.emplace(timer, at);
    return timer;
}

void EventLoop::cancel(TimerId timer)
{
    const auto it = m_timerTimes.find(timer);
    if (it == m_timerTimes.end()) {
        return;
    }
    m_timers.erase(TimerKey { it->second, timer });
    m_timerTimes.erase(it);
}

void EventLoop::defer(Callback callback)
{
    m_deferred.push_back(std::move(callback));
}

void EventLoop::run()
{
    m_isRunning = true;
    std::array<epoll_event, MaxEvents> events {};
    while (m_isRunning) {
        runDeferred();
        if (!m_isRunning) {
            break;
        }
        const int count = waitForEvents(events);
        m_now = m_clock.now();
        // A callback may remove watches, its own included, so each one is looked up again and kept alive during its callback. The
        // descriptor may belong to another watch by then.
        for (int n = 0; n < count; ++n) {
            const auto &event = events[static_cast<std::size_t>(n)];
            const auto it = m_watches.find(descriptorOf(event));
            if (it == m_watches.end() || it->second->generation != generationOf(event)) {
                continue;
            }
            const std::shared_ptr<Watch> watch = it->second;
            watch->callback(event.events);
        }
        runTimers();
    }
}

int EventLoop::waitForEvents(std::span<epoll_event> events)
{
    const int sleep = m_manualClock == nullptr ? sleepMilliseconds() : QuietMilliseconds;
    const int count = epoll_wait(m_epoll, events.data(), MaxEvents, sleep);
    if (m_manualClock != nullptr && count == 0 && !m_timers.empty()) {
        m_manualClock->advance(std::max(m_timers.begin()->first.first - m_clock.now(), Duration {}));
    }
    return count;
}

void EventLoop::stop()
{
    m_isRunning = false;
}

void EventLoop::runDeferred()
{
    while (!m_deferred.empty()) {
        std::vector<Callback> callbacks;
        callbacks.swap(m_deferred);
        for (Callback &it : callbacks) {
            it();
        }
    }
}

void EventLoop::runTimers()
{
    while (!m_timers.empty() && m_timers.begin()->first.first <= m_now) {
        const auto first = m_timers.begin();
        Callback callback = std::move(first->second);
        m_timerTimes.erase(first->first.second);
        m_timers.erase(first);
        callback();
        runDeferred();
    }
}

int EventLoop::sleepMilliseconds() const
{
    if (m_timers.empty()) {
        return MaxSleepMilliseconds;
    }
    const Duration left = m_timers.begin()->first.first - m_clock.now();
    if (left <= Duration {}) {
        return 0;
    }
    // Rounded up, since an early wake-up would only sleep again.
    const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(left).count();
    return static_cast<int>(std::min<std::int64_t>(milliseconds, MaxSleepMilliseconds));
}

}
