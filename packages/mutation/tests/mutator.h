#pragma once

#include <string>
#include <vector>

#include "base/random.h"

/// Damages good inputs. The same seed gives the same damage.
class Mutator
{
public:
    Mutator(std::vector<std::string> samples, std::uint64_t seed);

    /// A sample with one to four changes.
    std::string next();

private:
    void mutate(std::string &text);
    /// A position from 0 to the end of \p text.
    std::size_t position(const std::string &text);
    /// Replaces a run of digits by a number at the edge of a type.
    void replaceNumber(std::string &text);

    std::vector<std::string> m_samples;
    Galenabarrow::SeededRandom m_random;
};
