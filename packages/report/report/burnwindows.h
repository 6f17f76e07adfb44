#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/clock.h"

namespace Galenabarrow::Report
{

/// Calls of a window, and those of them that missed the objective.
struct WindowCounts {
    std::uint64_t calls = 0;
    std::uint64_t bad = 0;

    bool operator==(const WindowCounts &) const = default;
};

/// Counts of the last 5 min, 30 min, 1 h and 6 h. Each window is a ring of 60 slots of equal length, so that it covers
/// between 59/60 and all of its length. The whole object takes about 2 KB and never allocates.
class BurnWindows
{
public:
    static constexpr std::array<Duration, 4> Lengths = { std::chrono::minutes(5), std::chrono::minutes(30), std::chrono::hours(1),
                                                         std::chrono::hours(6) };
    using Counts = std::array<WindowCounts, Lengths.size()>;

    void record(bool isBad, Instant now);
    Counts counts(Instant now);

private:
    static constexpr std::size_t SlotCount = 60;
    // 32 bits hold the calls of the longest slot, 6 min, at the largest rate of a contract, 10 million calls per second.
    struct Slot {
        std::uint32_t calls = 0;
        std::uint32_t bad = 0;
    };
    struct Ring {
        std::array<Slot, SlotCount> slots;
        /// Number of the newest slot since the start of the clock.
        std::int64_t newest = 0;
    };

    static void advance(Ring &ring, std::size_t window, Instant now);

    std::array<Ring, Lengths.size()> m_rings;
};

}
