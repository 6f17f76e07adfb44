#pragma once

#include <cstdint>
#include <random>

#include "base/id.h"

namespace Galenabarrow
{

/// Source of random numbers; injected, so that a seed repeats a run.
class RandomSource
{
public:
    virtual ~RandomSource() = default;
    /// 64 random bits.
    virtual std::uint64_t next() = 0;

    /// A number from 0 to \p bound - 1; \p bound must not be 0.
    std::uint64_t below(std::uint64_t bound);
    /// A number in [0, 1).
    double unit();
};

/// Repeatable random numbers.
class SeededRandom final : public RandomSource
{
public:
    explicit SeededRandom(std::uint64_t seed);
    std::uint64_t next() override;

private:
    std::mt19937_64 m_engine;
};

/// A random incarnation that is not 0, from the machine's entropy.
Incarnation makeIncarnation();

}
