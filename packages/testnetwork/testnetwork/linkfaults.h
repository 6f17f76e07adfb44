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

/// The faults of the links between numbered nodes.
class LinkFaults
{
public:
    /// \p random must outlive the object.
    explicit LinkFaults(RandomSource &random);

    void setLossPermille(std::uint32_t permille);
    /// Each message takes a random time in this range, so messages overtake each other.
    void setDelay(Duration minDelay, Duration maxDelay);
    /// Loses everything from \p from to \p to; the other direction stays.
    void cutOneWay(std::size_t from, std::size_t to);
    void cut(std::size_t a, std::size_t b);
    void healAll();

    /// The delay of the next message; empty when it is lost.
    std::optional<Duration> nextDelay(std::size_t from, std::size_t to);

private:
    RandomSource &m_random;
    std::uint32_t m_lossPermille = 0;
    Duration m_minDelay = std::chrono::milliseconds(1);
    Duration m_maxDelay = std::chrono::milliseconds(2);
    std::set<std::pair<std::size_t, std::size_t>> m_cut;
};

}
