#include "base/random.h"

#include <cassert>

namespace Galenabarrow
{

namespace
{
constexpr int UnitBits = 53; // precision of the significand of a double
constexpr int WordBits = 64;
__extension__ using WideWord = unsigned __int128;
}

std::uint64_t RandomSource::below(std::uint64_t bound)
{
    assert(bound > 0);
    const auto wide = static_cast<WideWord>(next()) * bound;
    return static_cast<std::uint64_t>(wide >> WordBits);
}

double RandomSource::unit()
{
    return static_cast<double>(next() >> (WordBits - UnitBits)) / static_cast<double>(1ULL << UnitBits);
}

SeededRandom::SeededRandom(std::uint64_t seed)
    : m_engine(seed)
{
}

std::uint64_t SeededRandom::next()
{
    return m_engine();
}

Incarnation makeIncarnation()
{
    std::random_device device;
    std::uint64_t bits = 0;
    while (bits == 0) {
        bits = (static_cast<std::uint64_t>(device()) << 32U) | device();
    }
    return Incarnation(bits);
}

}
