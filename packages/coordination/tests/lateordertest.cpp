#include <catch2/catch.hpp>

#include "replicacluster.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Coordination;

namespace
{

const DataCentreId North { "north" };
const ServerId Desk { "desk-1" };

Routing::Command makeEvacuation(bool isActive, LogIndex known)
{
    Routing::Command command;
    command.evacuation = Routing::Evacuation { North, isActive, {} };
    command.knownIndex = known;
    return command;
}

Routing::Command makeWithdrawal(std::uint64_t born, LogIndex known)
{
    Routing::Command command;
    command.withdrawal.emplace();
    command.withdrawal->id = Desk;
    command.withdrawal->born = born;
    command.withdrawal->receivedAt = 100'000;
    command.knownIndex = known;
    return command;
}

Routing::Command makeAnnouncement(std::uint64_t born)
{
    Routing::Command command;
    command.update.emplace();
    command.update->id = Desk;
    command.update->address = "10.0.1.1:80";
    command.update->service = ServiceId("desk");
    command.update->dataCentre = North;
    command.update->born = born;
    command.update->sequence = 1;
    return command;
}

struct Fixture {
    Fixture()
        : cluster(3)
    {
        REQUIRE(cluster.runUntil([&] { return cluster.isComplete(3); }, CatchUp));
        cluster.run(std::chrono::milliseconds(500)); // until the membership is committed
    }

    Replica &leader()
    {
        return *cluster.nodes.at(cluster.leader()).replica;
    }

    LogIndex known()
    {
        return leader().commitIndex();
    }

    /// Passes the order to the leader and waits for the result.
    ResultCode order(const Routing::Command &command)
    {
        const std::string name = cluster.leader();
        const Result<ProposalId> proposalId = leader().propose(command, Routing::encode(command), cluster.now);
        if (!proposalId) {
            return proposalId.error().code;
        }
        const auto key = std::pair(name, proposalId->value());
        cluster.runUntil([&] { return cluster.finished.contains(key); }, Failover);
        return cluster.finished.contains(key) ? cluster.finished[key] : ResultCode::ChangeOutcomeUnknown;
    }

    bool isEvacuated()
    {
        return leader().state().activeEvacuations() == 1;
    }

    bool isServerReady()
    {
        const auto &servers = leader().state().servers();
        const auto it = servers.find(Desk);
        return it != servers.end() && it->second.state == Routing::ServerState::Ready;
    }

    Cluster cluster;
};

}

// Guards against an acknowledged evacuation that an older order ends: a copy of it had waited in an instance that did not run, and was sent
// again to another instance, which acknowledged it, before the evacuation was ordered.
TEST_CASE("an order is refused when a later one for the same data centre was accepted", "[lateorder]")
{
    Fixture fixture;
    REQUIRE(fixture.order(makeEvacuation(true, fixture.known())) == ResultCode::Ok);
    const Routing::Command late = makeEvacuation(false, fixture.known());
    REQUIRE(fixture.order(late) == ResultCode::Ok); // the copy that was acknowledged
    REQUIRE(fixture.order(makeEvacuation(true, fixture.known())) == ResultCode::Ok);
    CHECK(fixture.order(late) == ResultCode::VersionConflict);
    CHECK(fixture.isEvacuated());
}

// The same while the later order is not committed yet.
TEST_CASE("an order is refused when a later one for the same data centre was proposed", "[lateorder]")
{
    Fixture fixture;
    const LogIndex before = fixture.known();
    const Routing::Command later = makeEvacuation(true, before);
    REQUIRE(fixture.leader().propose(later, Routing::encode(later), fixture.cluster.now));
    CHECK(fixture.order(makeEvacuation(false, before)) == ResultCode::VersionConflict);
    fixture.cluster.run(Failover);
    CHECK(fixture.isEvacuated());
}

// Guards against a repeated order that gets an error although it is in force, and against orders of earlier builds, which do not state what
// their instance knew.
TEST_CASE("a repeated order and one of an earlier build are accepted", "[lateorder]")
{
    Fixture fixture;
    const LogIndex before = fixture.known();
    CHECK(fixture.order(makeEvacuation(true, before)) == ResultCode::Ok);
    CHECK(fixture.order(makeEvacuation(true, before)) == ResultCode::Ok);
    CHECK(fixture.isEvacuated());
    CHECK(fixture.order(makeEvacuation(false, LogIndex())) == ResultCode::Ok);
    CHECK_FALSE(fixture.isEvacuated());
}

// Guards against an order that a new leader accepts before it has applied the last one of its predecessor.
TEST_CASE("a late order is refused by a new leader", "[lateorder]")
{
    const auto seed = static_cast<std::uint64_t>(GENERATE(range(1, 6)));
    Fixture fixture;
    fixture.cluster.random = SeededRandom(seed);
    const Routing::Command late = makeEvacuation(false, fixture.known());
    REQUIRE(fixture.order(makeEvacuation(true, fixture.known())) == ResultCode::Ok);
    fixture.cluster.kill(fixture.cluster.leader());
    std::optional<Result<ProposalId>> first;
    fixture.cluster.runUntil(
        [&] {
            for (const auto &[name, node] : fixture.cluster.nodes) {
                if (node.replica != nullptr && node.replica->isLeader()) {
                    const Result<ProposalId> result = node.replica->propose(late, Routing::encode(late), fixture.cluster.now);
                    CHECK_FALSE(result);
                    first = result;
                }
            }
            return first && first->error().code == ResultCode::VersionConflict;
        },
        CatchUp);
    REQUIRE(first);
    CHECK(first->error().code == ResultCode::VersionConflict);
    CHECK(fixture.isEvacuated());
}

// Guards against a withdrawal without a start time that takes away a server that has started since, under the same id.
TEST_CASE("a late withdrawal does not apply to a server that has started since", "[lateorder]")
{
    Fixture fixture;
    REQUIRE(fixture.order(makeAnnouncement(5)) == ResultCode::Ok);
    const Routing::Command late = makeWithdrawal(0, fixture.known());
    REQUIRE(fixture.order(makeAnnouncement(6)) == ResultCode::Ok);
    CHECK(fixture.order(late) == ResultCode::VersionConflict);
    CHECK(fixture.isServerReady());
    CHECK(fixture.order(makeWithdrawal(6, late.knownIndex)) == ResultCode::Ok); // names the server that it is for
    CHECK_FALSE(fixture.isServerReady());
}

// Guards against a lost member in the message to the leader.
TEST_CASE("an order keeps what its instance knew on the way to the leader", "[lateorder]")
{
    const Result<Routing::Command> decoded = Routing::decodeCommand(Routing::encode(makeEvacuation(true, LogIndex(7))));
    REQUIRE(decoded);
    CHECK(decoded->knownIndex == LogIndex(7));
}
