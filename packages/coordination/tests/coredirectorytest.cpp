#include "coordination/coredirectory.h"

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace Galenabarrow::Coordination;

// Guards against entries that wait for an instance of their data centre that has failed or does not exist.
TEST_CASE("an entry is referred to its own data centre only while an instance there is alive, and for a bounded time")
{
    const DataCentreId north("north");
    CoreDirectory directory;
    Instant now = Instant {} + std::chrono::seconds(100);
    const Instant since = now;
    CHECK_FALSE(directory.shouldRefer(north, since, false, now));
    directory.recordReport(InstanceId("c1"), north, now);
    CHECK(directory.dataCentreOf(InstanceId("c1")) == north);
    CHECK(directory.dataCentreOf(InstanceId("c2")) == DataCentreId());
    CHECK(directory.shouldRefer(north, since, false, now));
    CHECK_FALSE(directory.shouldRefer(DataCentreId("south"), since, false, now));
    CHECK(directory.shouldRefer(DataCentreId("south"), since, true, now));
    now += CoreDirectory::ReferralTime;
    CHECK_FALSE(directory.shouldRefer(north, since, false, now));
    CHECK_FALSE(directory.shouldRefer(north, since, true, now));
    CHECK(directory.shouldRefer(north, now, false, now));
    now += CoreDirectory::Lifetime;
    CHECK_FALSE(directory.shouldRefer(north, now, false, now));
}
