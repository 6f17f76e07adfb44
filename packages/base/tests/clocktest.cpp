#include "base/clock.h"
#include "base/random.h"

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace std::chrono_literals;

// Guards against a manual clock that follows the real time.
TEST_CASE("the manual clock changes only when it is advanced", "[clock]")
{
    ManualClock clock;
    const Instant start = clock.now();
    REQUIRE(clock.now() == start);
    clock.advance(3ms);
    REQUIRE(clock.now() - start == 3ms);
}

// Guards against runs that cannot be reproduced from their seed, and against numbers outside the bound.
TEST_CASE("equal seeds give equal numbers, and numbers stay below the bound", "[random]")
{
    SeededRandom first(7);
    SeededRandom second(7);
    for (int n = 0; n < 1000; ++n) {
        const std::uint64_t value = first.below(17);
        REQUIRE(value < 17);
        REQUIRE(value == second.below(17));
    }
}
