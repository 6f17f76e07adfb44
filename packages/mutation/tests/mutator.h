#pragma once

#include <string>
#include <vector>

#include "base/random.h"

/// Creates damaged inputs from valid samples, reproducible from a seed.
class Mutator
{
public:
    Mutator(std::vector<std::string> samples, std::uint64_t seed);

    /// A randomly chosen sample with one to four random changes.
    std::string next();

private:
    void mutate(std::string &text);
    /// A random position from 0 to the size of \p text, inclusive.
    std::size_t position(const std::string &text);
    /// Replaces a run of digits with a boundary value of a numeric type or with an invalid number.
    void replaceNumber(std::string &text);

    std::vector<std::string> m_samples;
    Galenabarrow::SeededRandom m_random;
};
