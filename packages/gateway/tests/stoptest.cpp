#include <catch2/catch.hpp>

#include "cluster.h"
#include "slowreader.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Gateway;

namespace
{

constexpr std::size_t AnswerBytes = 1'500'000;

/// An entry that is stopped while it serves callers behind slow links.
struct Fixture {
    explicit Fixture(Duration graceTime)
        : grace(graceTime)
        , cluster({ 1, 1, 1, graceTime })
    {
        cluster.servers[0]->answerBody = std::string(AnswerBytes, 'a');
        cluster.servers[0]->load = "0,0,40,100";
    }

    Net::SlowReader &addCaller()
    {
        const std::string id = std::to_string(callers.size());
        callers.push_back(std::make_unique<Net::SlowReader>(cluster.loop, Cluster::entryAddress(0)));
        callers.back()->send("GET /a HTTP/1.1\r\nHost: h\r\nx-id: id" + id + "\r\nx-wait: 900\r\n\r\n");
        return *callers.back();
    }

    void stop()
    {
        stoppedAt = cluster.clock.now();
        cluster.entries[0]->stop([this] {
            ++stops;
            took = cluster.clock.now() - stoppedAt;
            for (const auto &it : callers) {
                whole += it->taken() > AnswerBytes ? 1 : 0;
            }
        });
    }

    void runUntilStopped()
    {
        for (Duration passed {}; stops == 0 && passed < 2 * grace; passed += std::chrono::milliseconds(50)) {
            cluster.runFor(std::chrono::milliseconds(50));
        }
    }

    Duration grace;
    Cluster cluster;
    std::vector<std::unique_ptr<Net::SlowReader>> callers;
    Instant stoppedAt {};
    Duration took {};
    int stops = 0;
    /// Callers whose side had taken the whole answer when the entry had stopped.
    std::size_t whole = 0;
};

}

// Guards against a stop that cuts answers which are still being sent, and against one that ends while the system still holds a part of
// them.
TEST_CASE("a stop waits until callers behind slow links have taken their answers")
{
    const auto grace = GENERATE(as<Duration> {}, std::chrono::seconds(6), std::chrono::seconds(10));
    // The answers begin around the stop and take 4 s, which ends within the grace period but after requests are no longer accepted.
    const bool wasSentBefore = GENERATE(false, true);
    Fixture fixture(grace);
    if (!wasSentBefore) {
        fixture.stop();
    }
    for (int n = 0; n < 6; ++n) {
        fixture.addCaller().startReading();
    }
    if (wasSentBefore) {
        fixture.cluster.runFor(std::chrono::milliseconds(300));
        fixture.stop();
    }
    fixture.runUntilStopped();
    CHECK(fixture.stops == 1);
    CHECK(fixture.whole == 6);
    CHECK(fixture.took < grace - StopMargin);
}

// Guards against a process that is killed in the midst of its stop since one caller does not read.
TEST_CASE("a caller that stops reading does not hold a stop beyond the grace period")
{
    const auto grace = GENERATE(as<Duration> {}, std::chrono::seconds(6), std::chrono::seconds(10));
    Fixture fixture(grace);
    fixture.addCaller();
    fixture.addCaller().startReading();
    fixture.cluster.runFor(std::chrono::milliseconds(300));
    fixture.stop();
    fixture.runUntilStopped();
    CHECK(fixture.stops == 1);
    CHECK(fixture.whole == 1);
    CHECK(fixture.took >= grace - StopMargin);
    CHECK(fixture.took <= grace - StopMargin + StopCheckInterval);
}

// Guards against a second signal that starts the time of the stop anew or ends the process twice.
TEST_CASE("a second stop during the first has no effect")
{
    Fixture fixture(std::chrono::seconds(6));
    fixture.addCaller().startReading();
    fixture.addCaller();
    fixture.stop();
    fixture.cluster.runFor(std::chrono::seconds(3));
    int others = 0;
    fixture.cluster.entries[0]->stop([&others] { ++others; });
    fixture.runUntilStopped();
    fixture.cluster.runFor(std::chrono::seconds(6));
    CHECK(others == 0);
    CHECK(fixture.stops == 1);
    CHECK(fixture.whole == 1);
    CHECK(fixture.took <= std::chrono::seconds(6));
}
