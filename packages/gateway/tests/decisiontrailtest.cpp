#include "gateway/decisiontrail.h"

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace Galenabarrow::Gateway;

TEST_CASE("decisions are listed in order with their times")
{
    DecisionTrail trail;
    CHECK(trail.text().empty());
    trail.add(std::chrono::milliseconds(3), "send", "s1");
    trail.add(std::chrono::microseconds(212900), "again", "no_response");
    CHECK(trail.text() == "3:send=s1,212:again=no_response");
}

// Guards against log lines that grow with the number of probes of a request that waits for long.
TEST_CASE("a trail is bounded and states the number of omitted decisions")
{
    DecisionTrail trail;
    for (int n = 0; n < 1000; ++n) {
        trail.add(std::chrono::milliseconds(n), "probe", "3");
    }
    const std::string text = trail.text();
    CHECK(text.size() < DecisionTrail::MaxBytes + 10);
    CHECK(text.starts_with("0:probe=3,1:probe=3"));
    CHECK(text.find("...+") != std::string::npos);
}
