#include "daemon/wakeuptimer.h"

#include <algorithm>

namespace Galenabarrow::Daemon
{

WakeUpTimer::WakeUpTimer(const Clock &clock, Duration tolerance)
    : m_clock(clock)
    , m_tolerance(tolerance)
{
}

void WakeUpTimer::sleepUntil(Instant until)
{
    std::unique_lock lock(m_mutex);
    m_wakeUp = std::min(m_wakeUp, until);
    for (Instant now = m_clock.now(); now < m_wakeUp; now = m_clock.now()) {
        m_changed.wait_for(lock, m_wakeUp - now);
    }
    m_wakeUp = Instant::max();
}

void WakeUpTimer::wakeBy(Instant at)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_wakeUp - at <= m_tolerance) {
            return;
        }
        m_wakeUp = at;
    }
    m_changed.notify_one();
}

}
