#include "scenario/scenario.h"

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace Galenabarrow::Scenario;

// Guards against steps that are skipped, run out of order, or run before the system under test was advanced to their time.
TEST_CASE("a scenario runs its steps at their times", "[scenario]")
{
    Duration now {};
    std::vector<std::string> done;
    Runner runner([&now](Duration at) { now = at; });
    runner.addVerb("cut", 2, [&](const Runner::Arguments &words) -> Result<void> {
        done.push_back(std::to_string(now.count()) + " " + words[0] + words[1]);
        return {};
    });
    REQUIRE(runner.run("# two cuts\nat 200ms cut c1 c2\n\nat 3s cut c2 c3 # the second\n"));
    REQUIRE(done == std::vector<std::string> { "200000 c1c2", "3000000 c2c3" });
}

// Guards against scenarios that pass although a faulty line was ignored.
TEST_CASE("an error in a line is reported with the line number", "[scenario]")
{
    Runner runner([](Duration) {});
    runner.addVerb("expect", 1, [](const Runner::Arguments &words) -> Result<void> {
        if (words[0] != "true") {
            return failure(ResultCode::InternalError, "not so");
        }
        return {};
    });
    const std::vector<std::string> faulty { "at 1s expect false", "at 1s expect",       "at 1s unheard x",   "after 1s expect true",
                                            "at 1 expect true",   "at -1s expect true", "at 1ms expect true" };
    for (const std::string &line : faulty) {
        CAPTURE(line);
        const Result<void> done = runner.run("at 2ms expect true\n" + line + "\n");
        REQUIRE_FALSE(done);
        REQUIRE(done.error().detail.rfind("line 2: ", 0) == 0);
    }
}
