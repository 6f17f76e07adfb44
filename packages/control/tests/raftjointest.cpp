#include "control/raftjoin.h"

#include <set>
#include <string>

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace Galenabarrow::Control;

namespace
{

constexpr Duration Interval = std::chrono::milliseconds(500);

RaftJoin makeJoin(const std::string &name, RandomSource &random, std::uint64_t store = 7, bool bootstrap = true)
{
    const std::vector<InstanceId> peers { InstanceId("c1"), InstanceId("c2"), InstanceId("c3") };
    return { ReplicaId { InstanceId(name), Incarnation(store) }, peers, bootstrap, Interval, random };
}

constexpr RaftJoin::View EmptyView { false, false, false, true, nullptr };
constexpr RaftJoin::View MemberView { true, false, true, false, nullptr };
constexpr RaftJoin::View LeaderView { true, true, true, false, nullptr };

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

namespace
{

Membership membershipOf(const std::vector<std::string> &names)
{
    Membership membership;
    for (const std::string &it : names) {
        membership.members.push_back(Member { ReplicaId { InstanceId(it), Incarnation(1) }, it, true });
    }
    return membership;
}

RaftJoin makeOpenJoin(const std::string &name, const std::string &seed, RandomSource &random)
{
    return { ReplicaId { InstanceId(name), Incarnation(7) }, { InstanceId(seed) }, false, Interval, random, RaftJoin::Admission::Open };
}

std::set<std::string> recipients(const std::vector<RaftMessage> &messages)
{
    std::set<std::string> names;
    for (const RaftMessage &it : messages) {
        names.insert(it.to.instance.value());
    }
    return names;
}

}

// Guards against a replica that waits for ever, because no instance in its settings leads.
TEST_CASE("a replica asks the instances that a member refers it to", "[join]")
{
    SeededRandom random(1);
    Instant now {};
    const Membership membership = membershipOf({ "c1", "c2", "c3" });
    const RaftJoin::View followerView { true, false, true, false, &membership };
    RaftJoin follower = makeOpenJoin("c2", "c1", random);
    RaftJoin joiner = makeOpenJoin("c9", "c2", random);
    const std::vector<RaftMessage> first = joiner.tick(EmptyView, now);
    REQUIRE(recipients(first) == std::set<std::string> { "c2" });
    const RaftMessage reply = follower.receive(first.at(0), followerView, now).at(0);
    CHECK(recipients(joiner.receive(reply, EmptyView, now)) == std::set<std::string> { "c1", "c3" });
    now += Interval;
    CHECK(recipients(joiner.tick(EmptyView, now)) == std::set<std::string> { "c1", "c2", "c3" });

    SECTION("a contact that nobody repeats is dropped")
    {
        now += std::chrono::seconds(6);
        CHECK(recipients(joiner.tick(EmptyView, now)) == std::set<std::string> { "c2" });
    }
    SECTION("a replica that waits passes on what a member has told it, and no more")
    {
        RaftJoin second = makeOpenJoin("c8", "c9", random);
        RaftJoin third = makeOpenJoin("c7", "c8", random);
        const RaftMessage secondReply = joiner.receive(second.tick(EmptyView, now).at(0), EmptyView, now).at(0);
        CHECK(recipients(second.receive(secondReply, EmptyView, now)) == std::set<std::string> { "c1", "c2", "c3" });
        const RaftMessage thirdReply = second.receive(third.tick(EmptyView, now).at(0), EmptyView, now).at(0);
        CHECK(third.receive(thirdReply, EmptyView, now).empty());
    }
    SECTION("an answer to an earlier store of the instance is ignored")
    {
        RaftJoin later {
            ReplicaId { InstanceId("c9"), Incarnation(8) }, { InstanceId("c2") }, false, Interval, random, RaftJoin::Admission::Open
        };
        (void)later.tick(EmptyView, now);
        CHECK(later.receive(reply, EmptyView, now).empty());
    }
    SECTION("the settings list all instances")
    {
        RaftJoin listed = makeJoin("c3", random);
        const RaftMessage request = listed.tick(EmptyView, now).at(1);
        RaftMessage answer = follower.receive(request, followerView, now).at(0);
        answer.contacts.emplace_back("c5");
        CHECK(listed.receive(answer, EmptyView, now).empty());
        now += Interval;
        CHECK(recipients(listed.tick(EmptyView, now)) == std::set<std::string> { "c1", "c2" });
    }
}

// Guards against names of instances that are gone, which two replicas that wait would repeat to each other for ever.
TEST_CASE("replicas that wait do not keep each other's contacts alive", "[join]")
{
    SeededRandom random(1);
    Instant now {};
    const Membership membership = membershipOf({ "c1", "c2" });
    const RaftJoin::View followerView { true, false, true, false, &membership };
    RaftJoin follower = makeOpenJoin("c2", "c1", random);
    RaftJoin first = makeOpenJoin("c8", "c9", random);
    RaftJoin second = makeOpenJoin("c9", "c8", random);
    for (RaftJoin *it : { &first, &second }) {
        RaftMessage request = it->tick(EmptyView, now).at(0);
        request.to.instance = InstanceId("c2");
        (void)it->receive(follower.receive(request, followerView, now).at(0), EmptyView, now);
    }
    for (int n = 0; n < 30; ++n) {
        now += Interval;
        const std::vector<RaftMessage> ofFirst = first.tick(EmptyView, now);
        const std::vector<RaftMessage> ofSecond = second.tick(EmptyView, now);
        (void)first.receive(second.receive(ofFirst.at(0), EmptyView, now).at(0), EmptyView, now);
        (void)second.receive(first.receive(ofSecond.at(0), EmptyView, now).at(0), EmptyView, now);
    }
    CHECK(recipients(first.tick(EmptyView, now + Interval)) == std::set<std::string> { "c9" });
    CHECK(recipients(second.tick(EmptyView, now + Interval)) == std::set<std::string> { "c8" });
}

// Guards against a second cluster: instances that others refer to do not count as the empty seeds that a first start requires.
TEST_CASE("an empty instance that others refer to is not counted for a first start", "[join]")
{
    SeededRandom random(1);
    Instant now {};
    const std::vector<InstanceId> seeds { InstanceId("c1"), InstanceId("c2"), InstanceId("c3") };
    RaftJoin starter { ReplicaId { InstanceId("c1"), Incarnation(7) }, seeds, true, Interval, random, RaftJoin::Admission::Open };
    RaftJoin second = makeOpenJoin("c2", "c1", random);
    RaftJoin other = makeOpenJoin("c4", "c1", random);
    const std::vector<RaftMessage> requests = starter.tick(EmptyView, now);
    RaftMessage reply = second.receive(requests.at(0), EmptyView, now).at(0);
    reply.contacts.emplace_back("c4");
    const std::vector<RaftMessage> further = starter.receive(reply, EmptyView, now);
    REQUIRE(recipients(further) == std::set<std::string> { "c4" });
    (void)starter.receive(other.receive(further.at(0), EmptyView, now).at(0), EmptyView, now);
    CHECK_FALSE(starter.mayBootstrap(EmptyView, now));
}

// Guards against a cluster that never starts because the process of the instance with the lowest id ended during the first start:
// the settings of its next process do not permit a start.
TEST_CASE("the next instance starts the cluster when the lowest one no longer may", "[join]")
{
    struct Row {
        const char *name;
        bool isLowestPermitted;
        bool isThirdPermitted;
        /// An instance that has heard of a started cluster; empty for none.
        std::string informed;
        bool isStarted;
    };
    const Row row =
        GENERATE(Row { "the lowest may not", false, true, "", true }, Row { "the lowest may", true, true, "", false },
                 Row { "no other may", false, false, "", true }, Row { "the lowest has seen a cluster", false, true, "c1", false },
                 Row { "the third has seen a cluster", false, true, "c3", false });
    CAPTURE(row.name);
    SeededRandom random(1);
    const Instant now {};
    RaftJoin lowest = makeJoin("c1", random, 8, row.isLowestPermitted);
    RaftJoin second = makeJoin("c2", random);
    RaftJoin third = makeJoin("c3", random, 9, row.isThirdPermitted);
    RaftJoin member = makeJoin("c2", random, 6);
    for (RaftJoin *it : { &lowest, &third }) {
        const std::vector<RaftMessage> requests = it->tick(EmptyView, now);
        if (requests.at(0).from.instance.value() == row.informed) {
            RaftMessage request = requests.at(row.informed == "c1" ? 0 : 1);
            (void)it->receive(member.receive(request, MemberView, now).at(0), EmptyView, now);
        }
    }
    const std::vector<RaftMessage> requests = second.tick(EmptyView, now);
    (void)second.receive(lowest.receive(requests.at(0), EmptyView, now).at(0), EmptyView, now);
    CHECK_FALSE(second.mayBootstrap(EmptyView, now));
    (void)second.receive(third.receive(requests.at(1), EmptyView, now).at(0), EmptyView, now);
    CHECK(second.mayBootstrap(EmptyView, now) == row.isStarted);
    CHECK_FALSE(third.mayBootstrap(EmptyView, now));
}
