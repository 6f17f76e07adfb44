#include <catch2/catch.hpp>

#include "cluster.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Gateway;

namespace
{

using Routing::RequestKind;

/// More than the requests that run at the same time.
constexpr std::size_t ManySlots = 1000;

struct Times {
    Duration grace;
    Duration work;
    Duration timeout;
};

/// An entry that is stopped while callers go on sending requests to it, each on a new connection.
struct Fixture {
    explicit Fixture(Times times, RequestKind kind = RequestKind::Unsafe)
        : grace(times.grace)
        , cluster({ 1, 1, 1, times.grace, times.timeout, ManySlots }, kind)
    {
        cluster.callerPatience = std::chrono::seconds(100);
        cluster.servers[0]->work = times.work;
        cluster.servers[0]->load = "0,0," + std::to_string(ManySlots) + ",100";
    }

    void stop()
    {
        const Instant at = cluster.clock.now();
        cluster.entries[0]->stop([this, at] { took = cluster.clock.now() - at; });
    }

    /// Sends a request every 50 ms until the entry has stopped.
    void sendUntilStopped()
    {
        for (Duration passed {}; !took && passed < 2 * grace; passed += Interval) {
            cluster.send(0);
            cluster.runFor(Interval);
        }
        // The process would have ended here, with its connections. The callers still read what they were sent.
        cluster.runFor(std::chrono::milliseconds(1));
        cut = cluster.requests() - cluster.statuses[200] - cluster.statuses[504];
    }

    static constexpr Duration Interval = std::chrono::milliseconds(50);
    Duration grace;
    Cluster cluster;
    std::optional<Duration> took;
    /// Requests that a server has received and whose callers have got no answer.
    std::size_t cut = 0;
};

}

// Guards against requests that are accepted late in the grace period, passed on, and cut without an answer at its end.
TEST_CASE("a stopping entry cuts none of the requests that it has accepted", "[stop]")
{
    using std::chrono::seconds;
    const Times times = GENERATE(Times { seconds(6), seconds(4), seconds(5) }, Times { seconds(10), seconds(6), seconds(8) },
                                 Times { seconds(20), seconds(12), seconds(15) }, Times { seconds(6), seconds(2), seconds(3) });
    const auto kind = GENERATE(RequestKind::Unsafe, RequestKind::Safe);
    Fixture fixture(times, kind);
    fixture.stop();
    fixture.sendUntilStopped();
    REQUIRE(fixture.took);
    CHECK(fixture.cut == 0);
    CHECK(fixture.cluster.statuses[200] > 0);
    CHECK(fixture.cluster.statuses[504] == 0);
}

// Guards against a decision by the usual time of the work, which a server may exceed at any moment.
TEST_CASE("a stopping entry cuts no request of a server that becomes slow during the stop", "[stop]")
{
    using std::chrono::seconds;
    Fixture fixture({ seconds(6), std::chrono::milliseconds(100), std::chrono::milliseconds(3500) });
    for (int n = 0; n < 40; ++n) {
        fixture.cluster.send(0);
        fixture.cluster.runFor(Fixture::Interval);
    }
    fixture.cluster.servers[0]->work = seconds(30);
    fixture.stop();
    fixture.sendUntilStopped();
    REQUIRE(fixture.took);
    CHECK(fixture.cut == 0);
    CHECK(fixture.cluster.statuses[504] > 0);
}

// Guards against callers that wait in vain for an entry that can no longer serve them.
TEST_CASE("a request that may outlast a stop is rejected at once, and its caller may return at once", "[stop]")
{
    using std::chrono::seconds;
    Fixture fixture({ seconds(6), seconds(4), seconds(5) });
    fixture.stop();
    fixture.cluster.runFor(seconds(2));
    fixture.cluster.send(0);
    fixture.cluster.runFor(std::chrono::milliseconds(10));
    CHECK(fixture.cluster.statuses[503] == 1);
    CHECK(fixture.cluster.requests() == 0);
    REQUIRE(fixture.cluster.retryAfters.size() == 1);
    CHECK(fixture.cluster.retryAfters[0] < 0.1);
}

// Guards against a rejection of what can still be answered: a caller that states a short deadline is served until the end of the
// time during which the entry accepts requests.
TEST_CASE("a request whose deadline lies before the end of a stop is served", "[stop]")
{
    using std::chrono::seconds;
    Fixture fixture({ seconds(6), std::chrono::milliseconds(100), seconds(30) });
    fixture.cluster.callerPatience = std::chrono::milliseconds(2500);
    fixture.stop();
    fixture.cluster.runFor(std::chrono::milliseconds(2600));
    fixture.cluster.send(0);
    fixture.cluster.runFor(seconds(1));
    CHECK(fixture.cluster.statuses[200] == 1);
}

// Guards against a request without any answer and without a log line: it was accepted before the stop, and its server is silent.
TEST_CASE("a request that still runs at the end of a stop is answered with an unknown outcome", "[stop]")
{
    using std::chrono::seconds;
    Fixture fixture({ seconds(6), seconds(30), seconds(60) });
    fixture.cluster.send(0);
    fixture.cluster.runFor(seconds(1));
    fixture.stop();
    fixture.cluster.runFor(seconds(5));
    CHECK(fixture.cluster.statuses.empty());
    fixture.cluster.runFor(seconds(1));
    REQUIRE(fixture.took);
    CHECK(*fixture.took <= fixture.grace - StopMargin + StopCheckInterval);
    CHECK(fixture.cluster.requests() == 1);
    CHECK(fixture.cluster.statuses[504] == 1);
}
