#include "base/clock.h"

#include <cassert>

namespace Galenabarrow
{

Instant SteadyClock::now() const
{
    const auto elapsed = std::chrono::steady_clock::now().time_since_epoch();
    return Instant(std::chrono::duration_cast<Duration>(elapsed));
}

Instant ManualClock::now() const
{
    return m_now;
}

void ManualClock::advance(Duration step)
{
    assert(step >= Duration::zero());
    m_now += step;
}

}
