#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>

#include "base/clock.h"
#include "base/random.h"

namespace Galenabarrow::TestNetwork
{

/// Simulated faults of the links between numbered nodes.
class LinkFaults
{
public:
    /// \p random must outlive the object.
    explicit LinkFaults(RandomSource &random);

    void setLossPermille(std::uint32_t permille);
    /// Each message is delayed by a random time in this range, so messages may be reordered.
    void setDelay(Duration minDelay, Duration maxDelay);
    /// Drops all messages from \p from to \p to; the opposite direction is not affected.
    void cutOneWay(std::size_t from, std::size_t to);
    void cut(std::size_t a, std::size_t b);
    void healAll();

    /// Draws the delay of the next message; empty if the message is lost.
    std::optional<Duration> nextDelay(std::size_t from, std::size_t to);

private:
    RandomSource &m_random;
    std::uint32_t m_lossPermille = 0;
    Duration m_minDelay = std::chrono::milliseconds(1);
    Duration m_maxDelay = std::chrono::milliseconds(2);
    std::set<std::pair<std::size_t, std::size_t>> m_cut;
};

}
