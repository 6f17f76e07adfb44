#include "gateway/crashcheck.h"

#include <optional>

#include <catch2/catch.hpp>

#include "scriptedserver.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Gateway;

// Guards against servers that only reset connections and are taken for crashed: their requests would be blamed.
TEST_CASE("a server has crashed when its port refuses connections, not when it accepts them")
{
    ManualClock clock;
    Net::EventLoop loop(clock);
    ScriptedServer server(loop, 0);
    CrashCheck crashCheck(loop);
    std::optional<bool> alive;
    std::optional<bool> down;
    crashCheck.check(server.address.text(), [&](bool hasCrashed) { alive = hasCrashed; });
    crashCheck.check("127.0.0.1:28599", [&](bool hasCrashed) { down = hasCrashed; });
    crashCheck.check("no address", [&](bool) { FAIL(); });
    loop.after(std::chrono::milliseconds(400), [&] { loop.stop(); });
    loop.run();
    CHECK(alive == false);
    CHECK(down == true);
    CHECK(crashCheck.crashes() == 1);
    CHECK(crashCheck.alive() == 1);
    CHECK(server.connections() == 0);
}
