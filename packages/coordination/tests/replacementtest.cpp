#include "coordination/replica.h"

#include <catch2/catch.hpp>

#include "replicacluster.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Coordination;

namespace
{

constexpr std::size_t CoreSize = 5;
constexpr std::size_t SeedCount = 3;

std::string successorName(std::size_t n)
{
    return "10.0.9." + std::to_string(n + 1) + ":7000";
}

std::vector<std::string> runningNodes(const Cluster &cluster)
{
    std::vector<std::string> names;
    for (const auto &[name, node] : cluster.nodes) {
        if (node.replica != nullptr) {
            names.push_back(name);
        }
    }
    return names;
}

bool isVoterOfLeader(const Cluster &cluster, const std::string &name)
{
    const std::string leader = cluster.leader();
    if (leader.empty()) {
        return false;
    }
    const Control::Member *member = cluster.nodes.at(leader).replica->membership().findInstance(InstanceId(name));
    return member != nullptr && member->isVoter;
}

/// The gone replica is no longer a member, and its successor votes.
bool isReplaced(const Cluster &cluster, const std::string &successor)
{
    return cluster.isComplete(CoreSize) && isVoterOfLeader(cluster, successor);
}

/// Removes \p gone for good and starts \p successor with an empty disk, one second later.
void replace(Cluster &cluster, const std::string &gone, const std::string &successor, const std::vector<std::string> &seeds)
{
    cluster.kill(gone);
    cluster.nodes.erase(gone);
    cluster.run(std::chrono::seconds(1));
    cluster.ownSeeds[successor].clear();
    for (const std::string &it : seeds) {
        cluster.ownSeeds[successor].emplace_back(it);
    }
    cluster.addEmpty(successor);
}

/// The running replicas other than the leader, at most \p limit, starting at the \p first of them.
std::vector<std::string> seedsWithoutLeader(const Cluster &cluster, std::size_t first, std::size_t limit)
{
    std::vector<std::string> names = runningNodes(cluster);
    std::erase(names, cluster.leader());
    std::rotate(names.begin(), names.begin() + static_cast<std::ptrdiff_t>(first % names.size()), names.end());
    names.resize(std::min(names.size(), limit));
    return names;
}

}

// Guards against a replacement that is never admitted: only the leader responded to its join requests in a way that helped, and
// it never asked an instance that was not among its seeds.
TEST_CASE("a replacement whose seeds do not name the leader votes within the catch-up time", "[replacement]")
{
    const auto seed = static_cast<std::uint64_t>(GENERATE(range(1, 6)));
    const auto first = static_cast<std::size_t>(GENERATE(range(0, 3)));
    const auto seedCount = static_cast<std::size_t>(GENERATE(1, 2, 3));
    const bool isLeaderLost = GENERATE(true, false);
    Cluster cluster(seed, CoreSize);
    REQUIRE(cluster.runUntil([&] { return cluster.isComplete(CoreSize); }, CatchUp));
    REQUIRE(cluster.proposeConfig(1, 0) == ResultCode::Ok);
    const std::string gone = isLeaderLost ? cluster.leader() : followersOf(cluster).front();
    cluster.kill(gone);
    REQUIRE(cluster.runUntil([&] { return !cluster.leader().empty(); }, Failover));
    replace(cluster, gone, successorName(0), seedsWithoutLeader(cluster, first, seedCount));
    REQUIRE(cluster.runUntil([&] { return isReplaced(cluster, successorName(0)); }, CatchUp));
    CHECK(cluster.proposeConfig(2, 1) == ResultCode::Ok);
    CHECK(cluster.versionAt(successorName(0)) >= Version(1));
}

// Guards against seeds that are out of date: two of the three machines that they name are gone, the third is itself new.
TEST_CASE("a replacement is admitted through another replacement and seeds that are gone", "[replacement]")
{
    const auto seed = static_cast<std::uint64_t>(GENERATE(range(1, 11)));
    Cluster cluster(seed, CoreSize);
    REQUIRE(cluster.runUntil([&] { return cluster.isComplete(CoreSize); }, CatchUp));
    REQUIRE(cluster.proposeConfig(1, 0) == ResultCode::Ok);
    const std::vector<std::string> followers = followersOf(cluster);
    cluster.kill(followers[0]);
    replace(cluster, followers[1], successorName(0), { followers[3] });
    cluster.nodes.erase(followers[0]);
    // The second one starts right after the first and knows of no member.
    cluster.ownSeeds[successorName(1)] = { InstanceId(followers[0]), InstanceId(followers[1]), InstanceId(successorName(0)) };
    cluster.addEmpty(successorName(1));
    REQUIRE(cluster.runUntil([&] { return isReplaced(cluster, successorName(0)) && isReplaced(cluster, successorName(1)); }, CatchUp));
    CHECK(cluster.proposeConfig(2, 1) == ResultCode::Ok);
}

// Guards against an admission that is lost with the leader, at any moment between the first request and the vote.
TEST_CASE("a replacement votes within the catch-up time after the leader changed while it was admitted", "[replacement]")
{
    const auto seed = static_cast<std::uint64_t>(GENERATE(range(1, 4)));
    const Duration lossAfter = GENERATE(0, 100, 200, 260, 300, 350, 400, 500, 520, 560, 600, 800, 1000) * std::chrono::milliseconds(1);
    const bool isPowerLost = GENERATE(true, false);
    Cluster cluster(seed, CoreSize);
    REQUIRE(cluster.runUntil([&] { return cluster.isComplete(CoreSize); }, CatchUp));
    REQUIRE(cluster.proposeConfig(1, 0) == ResultCode::Ok);
    const std::string gone = followersOf(cluster).back();
    const std::string leader = cluster.leader();
    std::vector<std::string> seeds = seedsWithoutLeader(cluster, 0, CoreSize);
    std::erase(seeds, gone);
    seeds.resize(SeedCount - 1);
    seeds.push_back(gone);
    replace(cluster, gone, successorName(0), seeds);
    cluster.run(lossAfter);
    if (isPowerLost) {
        cluster.losePower(leader);
    } else {
        cluster.isolatedNodes = { leader };
    }
    cluster.run(std::chrono::milliseconds(1500));
    if (isPowerLost) {
        cluster.start(leader);
    }
    cluster.isolatedNodes.clear();
    REQUIRE(cluster.runUntil([&] { return isReplaced(cluster, successorName(0)); }, CatchUp));
    CHECK(cluster.proposeConfig(2, 1) == ResultCode::Ok);
}

// Guards against the loss of accepted changes after a series of replacements: replacements that never voted left fewer than a
// majority of the voters once two disks were lost.
TEST_CASE("replicas are replaced in series and then two disks are lost while the others lose power", "[replacement]")
{
    const auto seed = static_cast<std::uint64_t>(GENERATE(range(1, 16)));
    const bool isLeaderLost = GENERATE(true, false);
    Cluster cluster(seed, CoreSize);
    REQUIRE(cluster.runUntil([&] { return cluster.isComplete(CoreSize); }, CatchUp));
    std::uint64_t version = 1;
    REQUIRE(cluster.proposeConfig(version, 0) == ResultCode::Ok);
    for (std::size_t n = 0; n < CoreSize; ++n) {
        const std::string gone = isLeaderLost ? cluster.leader() : Cluster::nameOf(n);
        cluster.kill(gone);
        REQUIRE(cluster.runUntil([&] { return !cluster.leader().empty(); }, Failover));
        replace(cluster, gone, successorName(n), seedsWithoutLeader(cluster, static_cast<std::size_t>(cluster.random.below(4)), SeedCount));
        REQUIRE(cluster.runUntil([&] { return isReplaced(cluster, successorName(n)); }, CatchUp));
        REQUIRE(cluster.proposeConfig(version + 1, version) == ResultCode::Ok);
        ++version;
    }
    const std::set<std::string> wiped { cluster.leader(), followersOf(cluster)[cluster.random.below(CoreSize - 1)] };
    const std::vector<std::string> names = runningNodes(cluster);
    for (const std::string &it : names) {
        cluster.losePower(it);
    }
    cluster.run(std::chrono::milliseconds(1500));
    for (const std::string &it : names) {
        if (wiped.contains(it)) {
            cluster.addEmpty(it);
        } else {
            cluster.start(it);
        }
    }
    REQUIRE(cluster.runUntil([&] { return cluster.isComplete(CoreSize); }, CatchUp));
    CHECK(cluster.versionAt(cluster.leader()) == Version(version));
    CHECK(cluster.proposeConfig(version + 1, version) == ResultCode::Ok);
}

// Guards against a join that never ends: a challenge was accepted only within the round of its request, so a leader that took
// longer than a round to respond could not admit anybody.
TEST_CASE("a replacement is admitted by a leader that takes longer to respond than a round of join requests", "[replacement]")
{
    const auto seed = static_cast<std::uint64_t>(GENERATE(range(1, 6)));
    Cluster cluster(seed, CoreSize);
    REQUIRE(cluster.runUntil([&] { return cluster.isComplete(CoreSize); }, CatchUp));
    REQUIRE(cluster.proposeConfig(1, 0) == ResultCode::Ok);
    cluster.delay = std::chrono::milliseconds(150); // a round of join requests is 250 ms
    const std::string gone = followersOf(cluster).front();
    replace(cluster, gone, successorName(0), { cluster.leader() });
    REQUIRE(cluster.runUntil([&] { return isReplaced(cluster, successorName(0)); }, CatchUp));
}

// Guards against a replica that keeps to the seeds of its start, all of which may be gone.
TEST_CASE("a replacement joins through seeds that it is given later", "[replacement]")
{
    Cluster cluster(1, CoreSize);
    REQUIRE(cluster.runUntil([&] { return cluster.isComplete(CoreSize); }, CatchUp));
    REQUIRE(cluster.proposeConfig(1, 0) == ResultCode::Ok);
    replace(cluster, followersOf(cluster).front(), successorName(0), { "10.0.8.1:7000", "10.0.8.2:7000" });
    cluster.run(CatchUp);
    REQUIRE_FALSE(isReplaced(cluster, successorName(0)));
    cluster.nodes[successorName(0)].replica->setSeeds({ InstanceId("10.0.8.1:7000"), InstanceId(followersOf(cluster).front()) });
    REQUIRE(cluster.runUntil([&] { return isReplaced(cluster, successorName(0)); }, CatchUp));
}

// Guards against a second cluster: an empty seed could be given other seeds, all of them empty, before it reached its first ones.
TEST_CASE("new seeds do not replace those that a first start requires", "[replacement]")
{
    Cluster cluster(1);
    cluster.isNetworkDown = true;
    cluster.run(std::chrono::milliseconds(100));
    const std::string other = "10.0.8.1:7000";
    cluster.ownSeeds[other] = { InstanceId(other) };
    cluster.addEmpty(other);
    cluster.kill(Cluster::nameOf(1));
    cluster.kill(Cluster::nameOf(2));
    cluster.nodes[Cluster::nameOf(0)].replica->setSeeds({ InstanceId(Cluster::nameOf(0)), InstanceId(other) });
    cluster.isNetworkDown = false;
    cluster.run(CatchUp);
    CHECK(cluster.leader().empty());
    cluster.start(Cluster::nameOf(1), true);
    cluster.start(Cluster::nameOf(2), true);
    CHECK(cluster.runUntil([&] { return !cluster.leader().empty(); }, CatchUp));
}

// Guards against a replica that was removed while it was cut off and keeps to its old membership, or that stays as a seventh voter.
TEST_CASE("a replica that was removed while it was cut off votes again", "[replacement]")
{
    const auto seed = static_cast<std::uint64_t>(GENERATE(range(1, 6)));
    const bool isLeaderCutOff = GENERATE(true, false);
    const bool isGoneFirst = GENERATE(true, false);
    const auto replacements = static_cast<std::size_t>(GENERATE(1, 2, 3));
    Cluster cluster(seed, CoreSize);
    REQUIRE(cluster.runUntil([&] { return cluster.isComplete(CoreSize); }, CatchUp));
    REQUIRE(cluster.proposeConfig(1, 0) == ResultCode::Ok);
    const std::string cutOff = isLeaderCutOff ? cluster.leader() : isGoneFirst ? followersOf(cluster).back() : followersOf(cluster).front();
    cluster.isolatedNodes = { cutOff };
    cluster.run(std::chrono::seconds(3));
    for (std::size_t n = 0; n < replacements; ++n) {
        std::vector<std::string> running = runningNodes(cluster);
        std::erase(running, cutOff);
        std::erase(running, cluster.leader());
        const std::string gone = running.front();
        std::vector<std::string> seeds { running.back() };
        replace(cluster, gone, successorName(n), seeds);
        REQUIRE(cluster.runUntil([&] { return isVoterOfLeader(cluster, successorName(n)); }, CatchUp));
    }
    REQUIRE(cluster.proposeConfig(2, 1) == ResultCode::Ok);
    cluster.isolatedNodes.clear();
    REQUIRE(cluster.runUntil([&] { return isReplaced(cluster, cutOff) && cluster.versionAt(cutOff) == Version(2); }, CatchUp));
    CHECK(cluster.proposeConfig(3, 2) == ResultCode::Ok);
}

// Guards against a core that is full of replicas that joined and were removed at once.
TEST_CASE("replicas that join and stop at once do not keep a replacement out", "[replacement]")
{
    const auto seed = static_cast<std::uint64_t>(GENERATE(range(1, 6)));
    const auto lifetime = GENERATE(200, 300, 500, 1000, 2000) * std::chrono::milliseconds(1);
    Cluster cluster(seed, CoreSize);
    REQUIRE(cluster.runUntil([&] { return cluster.isComplete(CoreSize); }, CatchUp));
    REQUIRE(cluster.proposeConfig(1, 0) == ResultCode::Ok);
    const std::vector<std::string> seeds = seedsWithoutLeader(cluster, 0, SeedCount);
    const std::string gone = followersOf(cluster).front();
    constexpr std::size_t Passing = 6;
    for (std::size_t n = 0; n < Passing; ++n) {
        cluster.ownSeeds[successorName(n)] = { InstanceId(seeds[1]) };
        cluster.addEmpty(successorName(n));
        if (n % 2 == 1) {
            cluster.run(lifetime);
            for (const std::size_t it : { n - 1, n }) {
                cluster.kill(successorName(it));
                cluster.nodes.erase(successorName(it));
            }
        }
    }
    replace(cluster, gone, successorName(Passing), { seeds[1] });
    REQUIRE(cluster.runUntil([&] { return isReplaced(cluster, successorName(Passing)); }, CatchUp));
    CHECK(cluster.proposeConfig(2, 1) == ResultCode::Ok);
}

// Guards against an admission that takes too many round trips for a slow link or a slow disk of the replacement.
TEST_CASE("a replacement whose messages are slow votes within the catch-up time", "[replacement]")
{
    const auto seed = static_cast<std::uint64_t>(GENERATE(range(1, 6)));
    const auto delay = GENERATE(20, 60, 120, 250) * std::chrono::milliseconds(1);
    Cluster cluster(seed, CoreSize);
    REQUIRE(cluster.runUntil([&] { return cluster.isComplete(CoreSize); }, CatchUp));
    REQUIRE(cluster.proposeConfig(1, 0) == ResultCode::Ok);
    cluster.nodeDelays[successorName(0)] = delay;
    replace(cluster, followersOf(cluster).front(), successorName(0), { seedsWithoutLeader(cluster, 0, CoreSize).back() });
    CHECK(cluster.runUntil([&] { return isReplaced(cluster, successorName(0)); }, CatchUp));
}

// Guards against a join that late copies of its messages disturb: the challenge of an earlier leader or round replaces the current one.
TEST_CASE("late copies of messages do not keep a replacement out", "[replacement]")
{
    const auto seed = static_cast<std::uint64_t>(GENERATE(range(1, 6)));
    const auto copyDelay = GENERATE(200, 400, 1000, 1900, 3000) * std::chrono::milliseconds(1);
    const bool isLeaderLost = GENERATE(true, false);
    Cluster cluster(seed, CoreSize);
    REQUIRE(cluster.runUntil([&] { return cluster.isComplete(CoreSize); }, CatchUp));
    REQUIRE(cluster.proposeConfig(1, 0) == ResultCode::Ok);
    cluster.copyDelay = copyDelay;
    const std::string gone = isLeaderLost ? cluster.leader() : followersOf(cluster).front();
    const std::vector<std::string> seeds = seedsWithoutLeader(cluster, 1, 2);
    replace(cluster, gone, successorName(0), seeds);
    REQUIRE(cluster.runUntil([&] { return isReplaced(cluster, successorName(0)); }, CatchUp));
    // The replacement loses its disk while copies of its messages are still on their way.
    cluster.kill(successorName(0));
    cluster.run(std::chrono::milliseconds(300));
    cluster.addEmpty(successorName(0));
    REQUIRE(cluster.runUntil([&] { return isReplaced(cluster, successorName(0)) && cluster.versionAt(successorName(0)) == Version(1); },
                             CatchUp));
    CHECK(cluster.proposeConfig(2, 1) == ResultCode::Ok);
}

// Guards against a wiped replica that is never admitted: its seeds are gone, and it ignored the messages that the leader sends to its
// previous store, which name a member.
TEST_CASE("a wiped replica whose seeds are gone is admitted at its old address", "[replacement]")
{
    const auto seed = static_cast<std::uint64_t>(GENERATE(range(1, 6)));
    Cluster cluster(seed, CoreSize);
    REQUIRE(cluster.runUntil([&] { return cluster.isComplete(CoreSize); }, CatchUp));
    REQUIRE(cluster.proposeConfig(1, 0) == ResultCode::Ok);
    const std::string wiped = followersOf(cluster).front();
    cluster.ownSeeds[wiped] = { InstanceId("10.0.8.1:7000"), InstanceId("10.0.8.2:7000"), InstanceId("10.0.8.3:7000") };
    cluster.kill(wiped);
    cluster.run(std::chrono::seconds(1));
    cluster.addEmpty(wiped);
    CHECK(cluster.runUntil([&] { return isReplaced(cluster, wiped) && cluster.versionAt(wiped) == Version(1); }, CatchUp));
}

// Guards against wiped replicas that do not return after a series of replacements: the seeds of the early replacements are all gone by
// then, and a replica that lost its disk knows nobody else.
TEST_CASE("replicas that are wiped after all seeds were replaced vote again", "[replacement]")
{
    const auto seed = static_cast<std::uint64_t>(GENERATE(range(1, 11)));
    Cluster cluster(seed, CoreSize);
    REQUIRE(cluster.runUntil([&] { return cluster.isComplete(CoreSize); }, CatchUp));
    REQUIRE(cluster.proposeConfig(1, 0) == ResultCode::Ok);
    for (std::size_t n = 0; n < CoreSize; ++n) {
        const std::string gone = Cluster::nameOf(n);
        cluster.kill(gone);
        REQUIRE(cluster.runUntil([&] { return !cluster.leader().empty(); }, Failover));
        replace(cluster, gone, successorName(n), seedsWithoutLeader(cluster, 0, SeedCount));
        REQUIRE(cluster.runUntil([&] { return isReplaced(cluster, successorName(n)); }, CatchUp));
    }
    cluster.run(CatchUp); // until then, the last replacement counts as lost
    const std::set<std::string> wiped { successorName(0), successorName(1) };
    const std::vector<std::string> names = runningNodes(cluster);
    for (const std::string &it : names) {
        cluster.losePower(it);
    }
    cluster.run(std::chrono::milliseconds(1500));
    for (const std::string &it : names) {
        if (wiped.contains(it)) {
            cluster.addEmpty(it);
        } else {
            cluster.start(it);
        }
    }
    const auto isBack = [&] {
        return std::all_of(wiped.begin(), wiped.end(),
                           [&](const std::string &it) { return isReplaced(cluster, it) && cluster.versionAt(it) == Version(1); });
    };
    CHECK(cluster.runUntil(isBack, CatchUp));
}

// Guards against a replacement that never votes: the leader promoted a learner only at a moment at which it had every committed entry,
// and with changes in quick succession there is none when its messages take longer than those of the voters.
TEST_CASE("a replacement votes while changes are accepted in quick succession", "[replacement]")
{
    // The time between two changes, and the time that a message from or to the replacement takes longer than another one.
    const auto [interval, delay] = GENERATE(std::pair(20, 5), std::pair(20, 20), std::pair(50, 20), std::pair(50, 50), std::pair(100, 20),
                                            std::pair(100, 100), std::pair(200, 100), std::pair(200, 200));
    Cluster cluster(1, CoreSize);
    REQUIRE(cluster.runUntil([&] { return cluster.isComplete(CoreSize); }, CatchUp));
    REQUIRE(cluster.proposeConfig(1, 0) == ResultCode::Ok);
    cluster.nodeDelays[successorName(0)] = delay * std::chrono::milliseconds(1);
    replace(cluster, followersOf(cluster).front(), successorName(0), seedsWithoutLeader(cluster, 0, SeedCount));
    std::uint64_t version = 1;
    Instant nextChangeAt = cluster.now;
    const bool isVoter = cluster.runUntil(
        [&] {
            const std::string leader = cluster.leader();
            if (!leader.empty() && cluster.now >= nextChangeAt) {
                nextChangeAt = cluster.now + interval * std::chrono::milliseconds(1);
                cluster.nodes[leader].replica->propose(Cluster::encodeChange(version + 1, version), cluster.now);
                ++version;
            }
            return isReplaced(cluster, successorName(0));
        },
        CatchUp);
    CAPTURE(interval, delay, version);
    CHECK(isVoter);
}

// Guards against a first start that waits for ever for a seed that was written to the settings later and is gone.
TEST_CASE("a first start does not wait for seeds that are given later", "[replacement]")
{
    Cluster cluster(1);
    cluster.isNetworkDown = true;
    cluster.run(std::chrono::milliseconds(1100));
    const std::vector<InstanceId> later { InstanceId(Cluster::nameOf(0)), InstanceId(Cluster::nameOf(1)), InstanceId("10.0.8.1:7000") };
    for (auto &[name, node] : cluster.nodes) {
        node.replica->setSeeds(later);
    }
    cluster.isNetworkDown = false;
    CHECK(cluster.runUntil([&] { return cluster.isComplete(3); }, CatchUp));
}
