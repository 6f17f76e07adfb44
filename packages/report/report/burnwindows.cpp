#include "report/burnwindows.h"

#include <algorithm>

namespace Galenabarrow::Report
{

void BurnWindows::record(bool isBad, Instant now)
{
    for (std::size_t n = 0; n < m_rings.size(); ++n) {
        Ring &ring = m_rings[n];
        advance(ring, n, now);
        Slot &slot = ring.slots[static_cast<std::size_t>(ring.newest) % SlotCount];
        ++slot.calls;
        slot.bad += isBad ? 1 : 0;
    }
}

BurnWindows::Counts BurnWindows::counts(Instant now)
{
    Counts result;
    for (std::size_t n = 0; n < m_rings.size(); ++n) {
        advance(m_rings[n], n, now);
        for (const Slot &it : m_rings[n].slots) {
            result[n].calls += it.calls;
            result[n].bad += it.bad;
        }
    }
    return result;
}

void BurnWindows::advance(Ring &ring, std::size_t window, Instant now)
{
    const Duration slotLength = Lengths[window] / static_cast<std::int64_t>(SlotCount);
    const std::int64_t current = now.time_since_epoch() / slotLength;
    const std::int64_t elapsed = std::min<std::int64_t>(current - ring.newest, SlotCount);
    for (std::int64_t n = 0; n < elapsed; ++n) {
        ring.slots[static_cast<std::size_t>(current - n) % SlotCount] = Slot {};
    }
    ring.newest = std::max(ring.newest, current);
}

}
