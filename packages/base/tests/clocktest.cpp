#include "base/clock.h"
#include "base/random.h"

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace std::chrono_literals;

// Guards against a test clock that moves on its own.
TEST_CASE("the manual clock moves only when it is advanced", "[clock]")
{
    ManualClock clock;
    const Instant start = clock.now();
    REQUIRE(clock.now() == start);
    clock.advance(3ms);
    REQUIRE(clock.now() - start == 3ms);
}

// Guards against runs that a seed does not repeat, and numbers outside the bound.
TEST_CASE("the seeded random source repeats and stays in bounds", "[random]")
{
    SeededRandom first(7);
    SeededRandom second(7);
    for (int n = 0; n < 1000; ++n) {
        const std::uint64_t value = first.below(17);
        REQUIRE(value < 17);
        REQUIRE(value == second.below(17));
    }
}
