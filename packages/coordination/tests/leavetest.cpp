#include "coordination/replica.h"

#include <catch2/catch.hpp>

#include "replicacluster.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Coordination;

namespace
{

constexpr std::size_t CoreSize = 5;
/// What a planned stop may take.
constexpr Duration Grace = std::chrono::seconds(6);
constexpr Duration Downtime = std::chrono::seconds(1);
const std::string Successor = "10.0.9.1:7000";
const std::string SecondSuccessor = "10.0.9.2:7000";

bool isMemberOfLeader(const Cluster &cluster, const std::string &name)
{
    const std::string leader = cluster.leader();
    return !leader.empty() && cluster.nodes.at(leader).replica->membership().findInstance(InstanceId(name)) != nullptr;
}

std::size_t voterCount(const Cluster &cluster)
{
    const std::string leader = cluster.leader();
    return leader.empty() ? 0 : cluster.nodes.at(leader).replica->membership().voterCount();
}

/// Starts \p name with an empty disk and waits until the others have added it and it has their state.
void addSuccessor(Cluster &cluster, const std::string &name)
{
    cluster.addEmpty(name);
    REQUIRE(cluster.runUntil([&] { return isMemberOfLeader(cluster, name) && cluster.versionAt(name) == Version(1); }, CatchUp));
    cluster.run(CatchUp);
}

void startCore(Cluster &cluster)
{
    REQUIRE(cluster.runUntil([&] { return cluster.isComplete(CoreSize); }, CatchUp));
    REQUIRE(cluster.proposeConfig(1, 0) == ResultCode::Ok);
}

void end(Cluster &cluster, const std::string &name)
{
    cluster.kill(name);
    cluster.nodes.erase(name);
}

/// A planned stop: the replica leaves and ends, at the latest after the grace period.
void stop(Cluster &cluster, const std::string &name)
{
    Replica &replica = *cluster.nodes[name].replica;
    replica.startLeaving();
    REQUIRE(cluster.runUntil([&] { return replica.hasLeft(); }, Grace));
    end(cluster, name);
}

/// Two of the running replicas, starting at the \p first, lose their disks and come back empty.
void loseTwoDisks(Cluster &cluster, std::size_t first)
{
    std::vector<std::string> names;
    for (const auto &[name, node] : cluster.nodes) {
        names.push_back(name);
    }
    const std::vector<std::string> lost { names[first % names.size()], names[(first + 1) % names.size()] };
    for (const std::string &it : lost) {
        cluster.kill(it);
    }
    cluster.run(Downtime);
    for (const std::string &it : lost) {
        cluster.addEmpty(it);
    }
}

bool isComplete(const Cluster &cluster, Version version)
{
    return cluster.isComplete(CoreSize) && std::all_of(cluster.nodes.begin(), cluster.nodes.end(), [&](const auto &row) {
               return cluster.versionAt(row.first) == version;
           });
}

}

// Guards against the loss of the core: a replica that had been replaced stayed a voter after its planned stop, so two lost disks left three
// of six voters.
TEST_CASE("two disks may be lost as soon as a replaced replica has stopped", "[leave]")
{
    const auto seed = static_cast<std::uint64_t>(GENERATE(range(1, 4)));
    const bool isLeaderStopped = GENERATE(true, false);
    const auto firstLost = static_cast<std::size_t>(GENERATE(range(0, 5)));
    const Duration pause = GENERATE(0, 300, 3000) * std::chrono::milliseconds(1);
    Cluster cluster(seed, CoreSize);
    startCore(cluster);
    addSuccessor(cluster, Successor);
    stop(cluster, isLeaderStopped ? cluster.leader() : followersOf(cluster).front());
    REQUIRE(cluster.proposeConfig(2, 1) == ResultCode::Ok);
    cluster.run(pause);
    loseTwoDisks(cluster, firstLost);
    CHECK(cluster.runUntil([&] { return isComplete(cluster, Version(2)); }, CatchUp));
}

// The same for two replicas that stop at the same time.
TEST_CASE("two disks may be lost as soon as two replaced replicas have stopped", "[leave]")
{
    const auto seed = static_cast<std::uint64_t>(GENERATE(range(1, 4)));
    const auto firstLost = static_cast<std::size_t>(GENERATE(range(0, 5)));
    const bool isLeaderStopped = GENERATE(true, false);
    Cluster cluster(seed, CoreSize);
    startCore(cluster);
    addSuccessor(cluster, Successor);
    addSuccessor(cluster, SecondSuccessor);
    const std::vector<std::string> followers = followersOf(cluster);
    const std::vector<std::string> stopped { isLeaderStopped ? cluster.leader() : followers[0], followers[1] };
    for (const std::string &it : stopped) {
        cluster.nodes[it].replica->startLeaving();
    }
    const auto haveLeft = [&] {
        return std::all_of(stopped.begin(), stopped.end(), [&](const std::string &it) { return cluster.nodes[it].replica->hasLeft(); });
    };
    REQUIRE(cluster.runUntil(haveLeft, Grace));
    for (const std::string &it : stopped) {
        end(cluster, it);
    }
    REQUIRE(cluster.proposeConfig(2, 1) == ResultCode::Ok);
    loseTwoDisks(cluster, firstLost);
    CHECK(cluster.runUntil([&] { return isComplete(cluster, Version(2)); }, CatchUp));
}

// Guards against a replaced replica that is killed, before or in the middle of its planned stop, and stays a voter.
TEST_CASE("two disks may be lost a second after a replaced replica was killed", "[leave]")
{
    const auto seed = static_cast<std::uint64_t>(GENERATE(range(1, 4)));
    const bool isLeaderKilled = GENERATE(true, false);
    const auto firstLost = static_cast<std::size_t>(GENERATE(range(0, 5)));
    const std::optional<Duration> killedAfter =
        GENERATE(std::optional<Duration>(), std::chrono::milliseconds(5), std::chrono::milliseconds(20), std::chrono::milliseconds(45));
    Cluster cluster(seed, CoreSize);
    startCore(cluster);
    addSuccessor(cluster, Successor);
    const std::string killed = isLeaderKilled ? cluster.leader() : followersOf(cluster).front();
    if (killedAfter) {
        cluster.nodes[killed].replica->startLeaving();
        cluster.run(*killedAfter);
    }
    end(cluster, killed);
    // An election after the loss of a leader, and then the time until the leader counts the killed one as silent.
    REQUIRE(cluster.runUntil([&] { return !cluster.leader().empty(); }, Failover));
    cluster.run(std::chrono::seconds(1));
    REQUIRE(cluster.proposeConfig(2, 1) == ResultCode::Ok);
    loseTwoDisks(cluster, firstLost);
    CHECK(cluster.runUntil([&] { return isComplete(cluster, Version(2)); }, CatchUp));
}

// Guards against a core of six voters, which survives no more losses than one of five and needs one more vote.
TEST_CASE("a replacement does not become a sixth voter while all others respond", "[leave]")
{
    const auto seed = static_cast<std::uint64_t>(GENERATE(range(1, 4)));
    Cluster cluster(seed, CoreSize);
    startCore(cluster);
    addSuccessor(cluster, Successor);
    CHECK(voterCount(cluster) == CoreSize);
    // A seventh member makes an odd number again.
    addSuccessor(cluster, SecondSuccessor);
    CHECK(voterCount(cluster) == CoreSize + 2);
    end(cluster, followersOf(cluster).front());
    cluster.run(CatchUp);
    CHECK(voterCount(cluster) == CoreSize);
}

// Guards against a replacement that never votes because another replica was down when it joined, and against one that is down when a
// replica leaves.
TEST_CASE("a replacement that joins while another replica is down takes its place", "[leave]")
{
    const auto seed = static_cast<std::uint64_t>(GENERATE(range(1, 4)));
    const bool isLeaderDown = GENERATE(true, false);
    const auto firstLost = static_cast<std::size_t>(GENERATE(range(0, 5)));
    Cluster cluster(seed, CoreSize);
    startCore(cluster);
    const std::string down = isLeaderDown ? cluster.leader() : followersOf(cluster).back();
    cluster.kill(down);
    REQUIRE(cluster.runUntil([&] { return !cluster.leader().empty(); }, Failover));
    cluster.addEmpty(Successor);
    REQUIRE(cluster.runUntil([&] { return cluster.isComplete(CoreSize) && isMemberOfLeader(cluster, Successor); }, CatchUp));
    cluster.start(down);
    REQUIRE(cluster.runUntil([&] { return isMemberOfLeader(cluster, down); }, CatchUp));
    cluster.run(CatchUp);
    CHECK(voterCount(cluster) == CoreSize);
    stop(cluster, followersOf(cluster).front());
    REQUIRE(cluster.proposeConfig(2, 1) == ResultCode::Ok);
    loseTwoDisks(cluster, firstLost);
    CHECK(cluster.runUntil([&] { return isComplete(cluster, Version(2)); }, CatchUp));
}

// Guards against a restart that shrinks the cluster: without a successor, a replica that stops stays a voter.
TEST_CASE("a replica that stops without a successor stays a member", "[leave]")
{
    const bool isLeaderStopped = GENERATE(true, false);
    Cluster cluster(1, CoreSize);
    startCore(cluster);
    const std::string stopped = isLeaderStopped ? cluster.leader() : followersOf(cluster).front();
    Replica &replica = *cluster.nodes[stopped].replica;
    replica.startLeaving();
    CHECK(replica.hasLeft()); // nothing to wait for
    cluster.run(std::chrono::milliseconds(300));
    cluster.kill(stopped);
    cluster.run(Downtime);
    CHECK(isMemberOfLeader(cluster, stopped));
    cluster.start(stopped);
    CHECK(cluster.runUntil([&] { return isComplete(cluster, Version(1)); }, CatchUp));
}

// Guards against a replica that has left by its planned stop and cannot come back.
TEST_CASE("a replica that has left joins again after a restart", "[leave]")
{
    const bool isLeaderStopped = GENERATE(true, false);
    Cluster cluster(1, CoreSize);
    startCore(cluster);
    addSuccessor(cluster, Successor);
    const std::string stopped = isLeaderStopped ? cluster.leader() : followersOf(cluster).front();
    Replica &replica = *cluster.nodes[stopped].replica;
    replica.startLeaving();
    REQUIRE(cluster.runUntil([&] { return replica.hasLeft(); }, Grace));
    CHECK_FALSE(isMemberOfLeader(cluster, stopped));
    cluster.kill(stopped);
    cluster.run(Downtime);
    cluster.start(stopped);
    CHECK(cluster.runUntil([&] { return isMemberOfLeader(cluster, stopped) && voterCount(cluster) == CoreSize; }, CatchUp));
}

// Guards against an acknowledgement that the loss of two disks at the same moment takes back, because a voter was just being replaced.
TEST_CASE("no change is acknowledged while the number of voters is even", "[leave]")
{
    const auto seed = static_cast<std::uint64_t>(GENERATE(range(1, 6)));
    const bool isKilled = GENERATE(true, false);
    Cluster cluster(seed, CoreSize);
    startCore(cluster);
    addSuccessor(cluster, Successor);
    const std::string leader = cluster.leader();
    const std::string leaving = followersOf(cluster).front();
    if (isKilled) {
        end(cluster, leaving);
    } else {
        cluster.nodes[leaving].replica->startLeaving();
    }
    std::uint64_t version = 1;
    std::size_t acknowledged = 0;
    bool wasEven = false;
    const Instant until = cluster.now + std::chrono::milliseconds(1500);
    while (cluster.now < until) {
        cluster.nodes[leader].replica->propose(Cluster::encodeChange(version + 1, version), cluster.now);
        ++version;
        cluster.step();
        const bool isEven = voterCount(cluster) % 2 == 0;
        wasEven = wasEven || isEven;
        if (cluster.finished.size() > acknowledged) {
            CHECK_FALSE(isEven);
        }
        acknowledged = cluster.finished.size();
    }
    CHECK(wasEven);
    CHECK(acknowledged + 20 > version);
}
