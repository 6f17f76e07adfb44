#pragma once

#include <condition_variable>
#include <mutex>

#include "base/clock.h"

namespace Galenabarrow::Daemon
{

/// Lets one thread sleep until its next timer, while other threads may request an earlier time.
class WakeUpTimer
{
public:
    /// A sleep that ends at most \p tolerance after a requested time is not interrupted, which saves a wake-up.
    WakeUpTimer(const Clock &clock, Duration tolerance);

    /// Blocks until \p until or the earliest time requested since the last return. The caller derives \p until from its
    /// own timers each time; requests for later times are not stored.
    void sleepUntil(Instant until);
    /// Requests that the sleep ends at \p at, or up to the tolerance later. When the thread is awake, the request applies
    /// to its next sleep.
    void wakeBy(Instant at);

private:
    const Clock &m_clock;
    Duration m_tolerance;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    Instant m_wakeUp = Instant::max();
};

}
