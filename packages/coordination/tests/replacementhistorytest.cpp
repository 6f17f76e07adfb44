#include <catch2/catch.hpp>

#include "replicacluster.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Coordination;

namespace
{

constexpr std::size_t CoreSize = 5;
constexpr std::size_t ToleratedLosses = 2;
constexpr Duration Grace = std::chrono::seconds(6);
constexpr Duration HistoryLength = std::chrono::seconds(90);
/// A killed replica counts as lost until the leader has replaced it: an election, the election timeout, and the changes of the membership.
constexpr Duration KillDetection = std::chrono::seconds(3);

/// A core whose replicas are replaced, stopped, killed, cut off and wiped at random, at most two of them at a time beyond those that a
/// successor has replaced, while an operator sends changes.
class History
{
public:
    explicit History(std::uint64_t seed)
        : m_random(seed)
        , m_cluster(seed, CoreSize)
    {
        REQUIRE(m_cluster.runUntil([&] { return m_cluster.isComplete(CoreSize); }, CatchUp));
        m_cluster.run(CatchUp);
    }

    void run()
    {
        const Instant end = m_cluster.now + HistoryLength;
        while (m_cluster.now < end) {
            finishStops();
            returnReplicas();
            startFault();
            propose();
            m_cluster.run(std::chrono::milliseconds(m_random.below(700)));
        }
        // All faults end.
        m_cluster.isolatedNodes.clear();
        for (const auto &[name, back] : std::exchange(m_down, {})) {
            bringBack(name, back.isWiped);
        }
        REQUIRE(m_cluster.runUntil([&] { return finishStops(); }, 2 * Grace));
        CHECK(m_cluster.runUntil([&] { return hasRecovered(); }, 2 * CatchUp));
        CHECK(m_accepted > 10);
        CHECK(m_replacements > 2);
    }

private:
    struct Down {
        Instant until {};
        bool isWiped = false;
    };

    bool hasRecovered() const
    {
        const std::string leader = m_cluster.leader();
        return !leader.empty() && m_cluster.versionAt(leader) >= Version(m_accepted)
            && m_cluster.nodes.at(leader).replica->membership().voterCount() % 2 == 1
            && std::all_of(m_cluster.nodes.begin(), m_cluster.nodes.end(),
                           [&](const auto &row) { return m_cluster.versionAt(row.first) >= Version(m_accepted); });
    }

    std::size_t lostCount()
    {
        std::erase_if(m_lostUntil, [this](const auto &row) { return row.second <= m_cluster.now; });
        return m_lostUntil.size();
    }

    /// The running replicas that are not lost and do not stop.
    std::vector<std::string> healthy()
    {
        lostCount();
        std::vector<std::string> names;
        for (const auto &[name, node] : m_cluster.nodes) {
            if (node.replica != nullptr && !m_lostUntil.contains(name) && !m_stopping.contains(name)) {
                names.push_back(name);
            }
        }
        return names;
    }

    /// Writes three running replicas to the settings of \p name.
    void setSeeds(const std::string &name)
    {
        std::vector<InstanceId> &seeds = m_cluster.ownSeeds[name];
        seeds.clear();
        for (const std::string &it : healthy()) {
            if (seeds.size() < 3) {
                seeds.emplace_back(it);
            }
        }
    }

    void startFault()
    {
        const std::vector<std::string> names = healthy();
        const std::size_t members = m_cluster.nodes.size();
        if (lostCount() >= ToleratedLosses || names.size() < CoreSize - 1) {
            return;
        }
        const std::string &name = names[m_random.below(names.size())];
        const auto length = std::chrono::milliseconds(200 + m_random.below(4000));
        switch (m_random.below(5)) {
        case 0: // a successor, which counts as lost until it has had the time to catch up
            if (members < CoreSize + 2) {
                const std::string successor = "10.0.9." + std::to_string(++m_replacements) + ":7000";
                setSeeds(successor);
                m_cluster.addEmpty(successor);
                m_lostUntil[successor] = m_cluster.now + CatchUp;
            }
            break;
        case 1: // a stop for good of a replica that a successor replaces
            if (names.size() > CoreSize) {
                m_cluster.nodes[name].replica->startLeaving();
                m_stopping[name] = m_cluster.now + Grace;
            }
            break;
        case 2: // the same without a stop
            if (names.size() > CoreSize) {
                m_cluster.kill(name);
                m_cluster.nodes.erase(name);
                m_lostUntil[name] = m_cluster.now + KillDetection;
            }
            break;
        case 3: // down, with or without its disk
            m_cluster.kill(name);
            m_down[name] = Down { m_cluster.now + length, m_random.below(2) == 0 };
            m_lostUntil[name] = m_cluster.now + length + CatchUp;
            break;
        default: // cut off
            if (m_cluster.isolatedNodes.empty()) {
                m_cluster.isolatedNodes = { name };
                m_cutUntil = m_cluster.now + length;
                m_lostUntil[name] = m_cluster.now + length + CatchUp;
            }
        }
    }

    void bringBack(const std::string &name, bool isWiped)
    {
        setSeeds(name);
        if (isWiped) {
            m_cluster.addEmpty(name);
        } else {
            m_cluster.start(name);
        }
    }

    void returnReplicas()
    {
        if (m_cluster.now >= m_cutUntil) {
            m_cluster.isolatedNodes.clear();
        }
        for (auto it = m_down.begin(); it != m_down.end();) {
            if (m_cluster.now < it->second.until) {
                ++it;
                continue;
            }
            bringBack(it->first, it->second.isWiped);
            it = m_down.erase(it);
        }
    }

    /// Ends the replicas that have left. Returns true when none is stopping any more.
    bool finishStops()
    {
        std::erase_if(m_stopping, [this](const auto &row) {
            const bool hasEnded = m_cluster.nodes[row.first].replica->hasLeft() || m_cluster.now >= row.second;
            if (hasEnded) {
                m_cluster.kill(row.first);
                m_cluster.nodes.erase(row.first);
            }
            return hasEnded;
        });
        return m_stopping.empty();
    }

    /// Sends the next change once, or the same change again when its outcome was not known.
    void propose()
    {
        const ResultCode code = m_cluster.proposeConfig(m_accepted + 1, m_accepted);
        if (code == ResultCode::Ok) {
            ++m_accepted;
        } else {
            CAPTURE(m_accepted);
            CHECK(code != ResultCode::VersionConflict); // nobody else sends changes, so an accepted one was lost
        }
    }

    SeededRandom m_random;
    Cluster m_cluster;
    std::uint64_t m_accepted = 0;
    unsigned m_replacements = 0;
    std::map<std::string, Instant> m_lostUntil;
    std::map<std::string, Instant> m_stopping;
    std::map<std::string, Down> m_down;
    Instant m_cutUntil {};
};

}

// Guards against accepted changes, or a core, that are lost when replacements meet other faults.
TEST_CASE("random replacements lose no accepted change", "[history]")
{
    // With 144, 237 and 291 the core did not recover while a replica that had been replaced stayed a voter after its stop.
    const auto seed = static_cast<std::uint64_t>(GENERATE(1, 2, 3, 144, 237, 291));
    CAPTURE(seed);
    History(seed).run();
}

// By hand; takes some minutes.
TEST_CASE("many random replacements lose no accepted change", "[.long]")
{
    const auto seed = static_cast<std::uint64_t>(GENERATE(range(100, 400)));
    CAPTURE(seed);
    History(seed).run();
}
