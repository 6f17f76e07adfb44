#include "coordination/membershiplog.h"

#include <catch2/catch.hpp>

#include "replicacluster.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Coordination;

namespace
{

/// The events of one replica of a cluster, as texts like "member_added 10.0.0.1:7000".
class Recorder
{
public:
    Recorder(Cluster &cluster, std::string node)
        : m_cluster(cluster)
        , m_node(std::move(node))
    {
    }

    void run(Duration time)
    {
        const Instant end = m_cluster.now + time;
        while (m_cluster.now < end) {
            m_cluster.step();
            for (const MembershipLog::Event &it : m_log.update(*m_cluster.nodes[m_node].replica, m_cluster.now)) {
                events.push_back(it);
            }
        }
    }

    std::size_t count(const std::string &name) const
    {
        return static_cast<std::size_t>(std::count_if(events.begin(), events.end(), [&](const auto &it) { return it.name == name; }));
    }

    std::string field(const std::string &name, const std::string &key) const
    {
        for (const MembershipLog::Event &event : events) {
            for (const LogField &it : event.fields) {
                if (event.name == name && it.key == key) {
                    return it.value;
                }
            }
        }
        return {};
    }

    std::vector<MembershipLog::Event> events;

private:
    Cluster &m_cluster;
    std::string m_node;
    MembershipLog m_log;
};

}

// Operators could not tell a replica that nobody answers from one that knows no leader, or that a leader does not add.
TEST_CASE("a replica that cannot join logs whom it asked and who responded", "[membershiplog]")
{
    Cluster cluster(1);
    REQUIRE(cluster.runUntil([&] { return cluster.isComplete(3); }, CatchUp));
    const std::string joiner = "10.0.9.1:7000";
    cluster.ownSeeds[joiner] = { InstanceId("10.0.9.8:7000"), InstanceId("10.0.9.9:7000") };
    cluster.addEmpty(joiner);
    Recorder recorder(cluster, joiner);
    recorder.run(std::chrono::seconds(5));
    // The state did not change, so it is logged once.
    REQUIRE(recorder.count("join_waiting") == 1);
    CHECK(recorder.field("join_waiting", "asked") == "10.0.9.8:7000,10.0.9.9:7000");
    CHECK(recorder.field("join_waiting", "responding") == "none");
    CHECK(recorder.field("join_waiting", "leading") == "none");
}

TEST_CASE("each replica logs who was added, promoted and removed", "[membershiplog]")
{
    Cluster cluster(1);
    REQUIRE(cluster.runUntil([&] { return cluster.isComplete(3); }, CatchUp));
    const std::string gone = followersOf(cluster).front();
    const std::string observer = followersOf(cluster).back();
    Recorder recorder(cluster, observer);
    recorder.run(Step);
    CHECK(recorder.count("member_added") == 3);
    recorder.events.clear();
    cluster.kill(gone);
    cluster.nodes.erase(gone);
    cluster.addEmpty("10.0.9.1:7000");
    Recorder joiner(cluster, "10.0.9.1:7000");
    joiner.run(std::chrono::seconds(3));
    recorder.run(std::chrono::seconds(1));
    CHECK(recorder.field("member_removed", "member") == gone);
    CHECK(recorder.field("member_removed", "was_voter") == "yes");
    CHECK(recorder.field("member_added", "member") == "10.0.9.1:7000");
    CHECK(joiner.count("joined") == 1);
    CHECK(joiner.count("join_waiting") <= 1);
    CHECK(joiner.field("member_promoted", "member") == "10.0.9.1:7000");
}

TEST_CASE("a leader logs once why it does not add a replica", "[membershiplog]")
{
    Cluster cluster(1);
    REQUIRE(cluster.runUntil([&] { return cluster.isComplete(3); }, CatchUp));
    Recorder recorder(cluster, cluster.leader());
    // Three members and five joiners exceed the maximum of seven replicas.
    for (std::size_t n = 1; n <= 5; ++n) {
        cluster.addEmpty("10.0.9." + std::to_string(n) + ":7000");
    }
    recorder.run(std::chrono::seconds(4));
    CHECK(recorder.count("join_refused") >= 1);
    CHECK(recorder.count("join_refused") <= 5);
    CHECK(recorder.field("join_refused", "reason") == "the core has the maximum number of replicas");
}
