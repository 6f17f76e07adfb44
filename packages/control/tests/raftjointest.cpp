#include "control/raftjoin.h"

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace Galenabarrow::Control;

namespace
{

constexpr Duration Interval = std::chrono::milliseconds(500);

RaftJoin makeJoin(const std::string &name, RandomSource &random, std::uint64_t store = 7)
{
    const std::vector<InstanceId> peers { InstanceId("c1"), InstanceId("c2"), InstanceId("c3") };
    return { ReplicaId { InstanceId(name), Incarnation(store) }, peers, true, Interval, random };
}

constexpr RaftJoin::View EmptyView { false, false, false, true };
constexpr RaftJoin::View MemberView { true, false, true, false };
constexpr RaftJoin::View LeaderView { true, true, true, false };

}

// Guards against a late copy of a request from a store that no longer exists: it would remove the replica that replaced it.
TEST_CASE("a replica joins only with the leader's challenge", "[join]")
{
    SeededRandom random(1);
    Instant now {};
    RaftJoin leader = makeJoin("c1", random);
    RaftJoin joiner = makeJoin("c3", random);
    const RaftMessage first = joiner.tick(EmptyView, now).at(0);
    const RaftMessage challenge = leader.receive(first, LeaderView, now).at(0);
    REQUIRE_FALSE(leader.takeJoiner());
    (void)leader.receive(first, LeaderView, now);
    REQUIRE_FALSE(leader.takeJoiner());
    (void)joiner.receive(challenge, EmptyView, now);
    now += Interval;
    const RaftMessage second = joiner.tick(EmptyView, now).at(0);
    (void)leader.receive(second, LeaderView, now);
    REQUIRE(leader.takeJoiner() == ReplicaId { InstanceId("c3"), Incarnation(7) });
    (void)leader.receive(second, LeaderView, now + std::chrono::seconds(3));
    REQUIRE_FALSE(leader.takeJoiner());
}

// Guards against a second cluster after a lost disk. A start requires answers
// from all other instances, in one round and to this store.
TEST_CASE("a cluster is started only when all other stores are empty", "[join]")
{
    SeededRandom random(1);
    Instant now {};
    RaftJoin starter = makeJoin("c1", random);
    RaftJoin second = makeJoin("c2", random);
    RaftJoin third = makeJoin("c3", random);
    const std::vector<RaftMessage> requests = starter.tick(EmptyView, now);
    const RaftMessage answerOfSecond = second.receive(requests.at(0), EmptyView, now).at(0);
    (void)starter.receive(answerOfSecond, EmptyView, now);
    REQUIRE_FALSE(starter.mayBootstrap(EmptyView, now));

    SECTION("all are empty")
    {
        (void)starter.receive(third.receive(requests.at(1), EmptyView, now).at(0), EmptyView, now);
        REQUIRE(starter.mayBootstrap(EmptyView, now));
        REQUIRE_FALSE(starter.mayBootstrap(MemberView, now));
        REQUIRE_FALSE(starter.mayBootstrap(EmptyView, now + Interval + Duration(1)));
    }
    SECTION("one is a member")
    {
        (void)starter.receive(third.receive(requests.at(1), MemberView, now).at(0), EmptyView, now);
        now += Interval;
        for (const RaftMessage &request : starter.tick(EmptyView, now)) {
            RaftJoin &other = request.to.instance == InstanceId("c2") ? second : third;
            (void)starter.receive(other.receive(request, EmptyView, now).at(0), EmptyView, now);
        }
        REQUIRE_FALSE(starter.mayBootstrap(EmptyView, now));
    }
    SECTION("an answer to an earlier round")
    {
        const RaftMessage late = third.receive(requests.at(1), EmptyView, now).at(0);
        now += Interval;
        (void)starter.receive(second.receive(starter.tick(EmptyView, now).at(0), EmptyView, now).at(0), EmptyView, now);
        (void)starter.receive(late, EmptyView, now);
        REQUIRE_FALSE(starter.mayBootstrap(EmptyView, now));
    }
    SECTION("an answer to an earlier store of the instance")
    {
        RaftJoin later = makeJoin("c1", random, 8);
        (void)later.tick(EmptyView, now);
        (void)later.receive(answerOfSecond, EmptyView, now);
        (void)later.receive(third.receive(requests.at(1), EmptyView, now).at(0), EmptyView, now);
        REQUIRE_FALSE(later.mayBootstrap(EmptyView, now));
    }
    SECTION("not the lowest instance")
    {
        for (const RaftMessage &request : second.tick(EmptyView, now)) {
            RaftJoin &other = request.to.instance == InstanceId("c1") ? starter : third;
            (void)second.receive(other.receive(request, EmptyView, now).at(0), EmptyView, now);
        }
        REQUIRE_FALSE(second.mayBootstrap(EmptyView, now));
    }
}
