#pragma once

#include <cstdint>
#include <random>

#include "base/id.h"

namespace Galenabarrow
{

/// Source of random numbers. It is injected, so that a run can be reproduced from its seed.
class RandomSource
{
public:
    virtual ~RandomSource() = default;
    /// 64 random bits.
    virtual std::uint64_t next() = 0;

    /// A uniform number from 0 to \p bound - 1; \p bound must not be 0.
    std::uint64_t below(std::uint64_t bound);
    /// A uniform number in [0, 1).
    double unit();
};

/// Pseudo-random numbers that are reproducible from a seed.
class SeededRandom final : public RandomSource
{
public:
    explicit SeededRandom(std::uint64_t seed);
    std::uint64_t next() override;

private:
    std::mt19937_64 m_engine;
};

/// Creates a random incarnation other than 0 from std::random_device.
Incarnation makeIncarnation();

}
