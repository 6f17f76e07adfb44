#include "gateway/worktimes.h"

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace Galenabarrow::Gateway;

namespace
{
const ServiceId Desk("desk");
}

// Guards against comparing routes that cause different work. On atw, short requests made the average of the service so small
// that every last slot looked slow.
TEST_CASE("the duration in a last slot is compared with that of the same route")
{
    WorkTimes times;
    for (int n = 0; n < 10; ++n) {
        times.record(Desk, "short", false, 0.002);
        times.record(Desk, "long", false, 0.3);
    }
    for (int n = 0; n < 6; ++n) {
        times.record(Desk, "long", true, 0.3);
    }
    CHECK_FALSE(times.isLastSlotSlow(Desk));
    for (int n = 0; n < 12; ++n) {
        times.record(Desk, "long", true, 0.5);
    }
    CHECK(times.isLastSlotSlow(Desk));
}

// Guards against counting connection setup as slowness. On odmd, requests of 2 ms took 5 ms with a new connection, which made the
// last slot look slow.
TEST_CASE("very short requests are not compared")
{
    WorkTimes times;
    times.record(Desk, "short", false, 0.002);
    const double before = times.lastSlotSlowdown(Desk);
    for (int n = 0; n < 10; ++n) {
        times.record(Desk, "short", true, 0.006);
    }
    CHECK(times.lastSlotSlowdown(Desk) == Approx(before));
}

TEST_CASE("a change of the last slot's slowdown is noticed after many samples")
{
    WorkTimes times;
    times.record(Desk, "r", false, 0.1);
    for (int n = 0; n < 1000; ++n) {
        times.record(Desk, "r", true, 0.1);
    }
    CHECK_FALSE(times.isLastSlotSlow(Desk));
    for (int n = 0; n < 100; ++n) {
        times.record(Desk, "r", true, 0.2);
    }
    CHECK(times.isLastSlotSlow(Desk));
}

TEST_CASE("a single very long request does not make the last slot slow")
{
    WorkTimes times;
    times.record(Desk, "r", false, 0.1);
    for (int n = 0; n < 20; ++n) {
        times.record(Desk, "r", true, 0.1);
    }
    times.record(Desk, "r", true, 10);
    CHECK_FALSE(times.isLastSlotSlow(Desk));
}

TEST_CASE("a route without samples from servers with spare slots is not compared")
{
    WorkTimes times;
    const double before = times.lastSlotSlowdown(Desk);
    times.record(Desk, "r", true, 10);
    CHECK(times.lastSlotSlowdown(Desk) == Approx(before));
    CHECK(times.usualSeconds(Desk) > 0);
}
