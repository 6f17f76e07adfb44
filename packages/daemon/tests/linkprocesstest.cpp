#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "processfixture.h"

using namespace Galenabarrow::Daemon::Test;
using Galenabarrow::Teststand::Relay;

namespace
{

const std::vector<std::string> FastServer { "--service_time_us=500", "--distribution=fixed" };
constexpr int EntryFenced = 107;
constexpr int NoContract = 100;

/// The faults that stop the refresh of the contract table of the last entry, each in another way.
struct LinkFault {
    const char *name;
    Relay::Fault toLast;
    Relay::Fault toControl;
};

const std::vector<LinkFault> LinkFaults {
    { "replies of control are stalled", Relay::Fault::StallForward, Relay::Fault::None },
    { "requests to control are stalled", Relay::Fault::None, Relay::Fault::StallForward },
    { "both are stalled", Relay::Fault::StallBoth, Relay::Fault::StallBoth },
    { "connections of both are cut", Relay::Fault::Cut, Relay::Fault::Cut },
};

void setFaults(Cluster &cluster, const LinkFault &fault)
{
    cluster.relayToLast().setFault(fault.toLast);
    cluster.relayToControl().setFault(fault.toControl);
}

}

// Guards against an entry that goes on to serve by a withdrawn contract while its link is down, or afterwards, when
// delayed replies arrive (P7).
TEST_CASE("an entry with a broken link to control is fenced and never serves by a withdrawn contract", "[daemon][process][links]")
{
    const LinkFault fault = GENERATE(from_range(LinkFaults));
    CAPTURE(fault.name);
    Cluster cluster(2, { .isRelayed = true });
    cluster.startServer(FastServer);
    // On a busy machine, the table of a new entry can be older than the short limit of these clusters for a moment.
    REQUIRE(waitUntil([&] { return cluster.call(1, "GET", "/stock").outcome == "answered"; }));
    setFaults(cluster, fault);
    REQUIRE(
        cluster.operatorRequest(0, "DELETE", "/v1/contracts/abyssinia", { { "If-Match", "1" }, { "Galenabarrow-Change-Id", "withdraw" } })
            .status
        == 200);
    HttpAnswer answer;
    REQUIRE(waitUntil([&] {
        answer = cluster.call(1, "GET", "/stock");
        return answer.outcome != "answered";
    }));
    REQUIRE(answer.outcome == "not-run");
    REQUIRE(answer.code == EntryFenced);
    const std::uint64_t executions = cluster.totalExecutions();
    for (int n = 0; n < 50; ++n) {
        REQUIRE(cluster.call(1, "GET", "/stock").code == EntryFenced);
    }
    setFaults(cluster, { "none", Relay::Fault::None, Relay::Fault::None });
    // The entry stays fenced until its table is fresh, which then contains the withdrawal.
    REQUIRE(waitUntil([&] {
        answer = cluster.call(1, "GET", "/stock");
        return answer.code != EntryFenced;
    }));
    REQUIRE(answer.code == NoContract);
    REQUIRE(cluster.totalExecutions() == executions);
}

namespace
{

/// Three entries and two servers. Each entry has used the first server, which answers 40 times as fast as the second, so an
/// entry that does not know of its drain prefers it.
struct DrainFixture {
    Cluster cluster { 3, { .isRelayed = true } };
    const Child &draining = cluster.startServer(FastServer);

    DrainFixture()
    {
        for (std::size_t entry = 0; entry < 3; ++entry) {
            REQUIRE(waitUntil([&] { return cluster.call(entry, "GET", "/stock").outcome == "answered"; }));
        }
        cluster.startServer({ "--service_time_us=20000", "--distribution=fixed", "--slots=64" });
    }

    /// The part of the server's counts that contains the number of requests that it ran.
    std::string drainingTotal() const
    {
        const std::string counts = send(draining.value("address"), "GET", "/standin/counts", {}).body;
        return counts.substr(counts.find("\"total\""));
    }

    /// Calls all entries in turn; returns how many calls were answered.
    int callAll(int rounds)
    {
        int answered = 0;
        for (int n = 0; n < rounds; ++n) {
            for (std::size_t entry = 0; entry < 3; ++entry) {
                answered += cluster.call(entry, "GET", "/stock").outcome == "answered" ? 1 : 0;
            }
        }
        return answered;
    }

    /// Drains the server while the last entry cannot receive the update, and waits for longer than the bound of P5 and
    /// the time for which a leaving record is resent.
    void drainDuringFault(const LinkFault &fault)
    {
        setFaults(cluster, fault);
        REQUIRE(cluster.operatorRequest(0, "POST", "/v1/servers/s0/drain").status == 200);
        std::this_thread::sleep_for(std::chrono::seconds(3));
    }
};

}

// Guards against new work for a draining server, more than 2 s after the drain, from an entry that cannot receive the
// update (P5).
TEST_CASE("a draining server gets no new work while the link of an entry is broken", "[daemon][process][links]")
{
    const LinkFault fault = GENERATE(from_range(LinkFaults));
    CAPTURE(fault.name);
    DrainFixture fixture;
    fixture.drainDuringFault(fault);
    const std::string before = fixture.drainingTotal();
    REQUIRE(fixture.callAll(50) >= 100);
    REQUIRE(fixture.drainingTotal() == before);
}

// Guards against new work for a draining server from an entry whose contract table is fresh after its link was restored,
// but that has not yet received the update of the drain (P5).
TEST_CASE("a draining server gets no new work after the link of an entry is restored", "[daemon][process][links]")
{
    const LinkFault fault = GENERATE(from_range(LinkFaults));
    CAPTURE(fault.name);
    DrainFixture fixture;
    fixture.drainDuringFault(fault);
    const std::string before = fixture.drainingTotal();
    setFaults(fixture.cluster, { "none", Relay::Fault::None, Relay::Fault::None });
    REQUIRE(waitUntil([&] { return fixture.cluster.call(2, "GET", "/stock").outcome == "answered"; }));
    REQUIRE(fixture.callAll(50) >= 100);
    REQUIRE(fixture.drainingTotal() == before);
}
