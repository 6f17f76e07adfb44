#include "ctl/explain.h"

#include <sstream>

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace Galenabarrow::Ctl;
using Catch::Matchers::Contains;

namespace
{

const std::string Recorded =
    R"(  1.10 entry-1 time=2026-05-08T01:57:21.100Z level=INFO component=entry event=config_in_force version=11 routes=19
  1.20 entry-1 time=2026-05-08T01:57:21.200Z level=INFO component=entry event=config_in_force version=12 routes=20
no log line at all
  1.30 entry-1 time=2026-05-08T01:57:21.300Z level=INFO component=request event=request_finished id=abc outcome=failed status=504 reason=deadline
  1.25 entry-1 time=2026-05-08T01:57:21.250Z level=INFO component=request event=request_finished id=xyz outcome=answered status=200 reason=none
  1.40 entry-1 time=2026-05-08T01:57:21.400Z level=INFO component=entry event=config_in_force version=13 routes=20
  1.28 entry-1 time=2026-05-08T01:57:21.280Z level=INFO component=request event=request_finished id="x id=abc" outcome=answered
)";

}

TEST_CASE("the timeline of a request has its lines and the newest state events before it")
{
    std::istringstream in(Recorded);
    std::ostringstream out;
    REQUIRE(explainRequest("abc", in, out));
    CHECK_THAT(out.str(), Contains("> "));
    CHECK_THAT(out.str(), Contains("reason=deadline"));
    CHECK_THAT(out.str(), Contains("version=12"));
    CHECK_THAT(out.str(), !Contains("version=11"));
    CHECK_THAT(out.str(), !Contains("version=13"));
    CHECK_THAT(out.str(), !Contains("id=xyz"));
    CHECK(out.str().find("version=12") < out.str().find("reason=deadline"));
}

TEST_CASE("a request without lines is reported as an error")
{
    std::istringstream in(Recorded);
    std::ostringstream out;
    const Result<void> result = explainRequest("ab", in, out);
    REQUIRE_FALSE(result);
    CHECK(result.error().code == ResultCode::Unreachable);
}
