#include <functional>
#include <map>
#include <memory>

#include <catch2/catch.hpp>

#include "actions/actionregistry.h"
#include "base/random.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Actions;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t EntryCount = 17;

/// Simulates entries with their registries, a replicated log of claims, and a server that counts the runs of each key.
class SimulatedEntries
{
public:
    explicit SimulatedEntries(std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t n = 0; n < EntryCount; ++n) {
            m_entries.emplace_back().id = InstanceId("e" + std::to_string(n));
            restart(n);
        }
    }

    void runScenario()
    {
        for (int n = 0; n < 12; ++n) {
            scheduleAction(n);
        }
        while (!m_events.empty()) {
            const auto event = m_events.begin();
            m_now = event->first;
            const std::function<void()> callback = event->second;
            m_events.erase(event);
            callback();
        }
        for (const auto &[key, runs] : m_runs) {
            INFO("key " << key);
            REQUIRE(runs <= 1);
            REQUIRE((runs == 0 || !m_reportedNotRun[key]));
        }
    }

    std::size_t runCount() const
    {
        return m_runs.size();
    }

private:
    struct Entry {
        InstanceId id;
        std::uint64_t incarnation = 0;
        bool isSuspended = false;
        std::unique_ptr<ActionRegistry> registry;
    };

    void scheduleAfter(Duration delay, std::function<void()> callback)
    {
        m_events.emplace(m_now + delay, std::move(callback));
    }

    Duration randomDelay(Duration max)
    {
        return Duration(static_cast<Duration::rep>(m_random.below(static_cast<std::uint64_t>(max.count()))));
    }

    void restart(std::size_t n)
    {
        Entry &entry = m_entries[n];
        entry.incarnation += EntryCount;
        entry.isSuspended = false;
        entry.registry = std::make_unique<ActionRegistry>(entry.id, Incarnation(entry.incarnation + n), RegistryLimits {}, m_now);
    }

    // Sends the same key to two entries, at the same time or later, and once more to a random one. The first entry is restarted or
    // suspended at a random time.
    void scheduleAction(int n)
    {
        const std::size_t first = m_random.below(EntryCount);
        const std::size_t second = m_random.below(EntryCount);
        const auto offset = Duration(5s) + randomDelay(1min);
        scheduleAfter(offset, [=, this] {
            ActionKey key { std::nullopt, "k" + std::to_string(n) };
            if (m_random.below(2) == 0) {
                key.scope = m_entries[first].registry->currentScope(m_now);
            }
            request(first, key);
            scheduleAfter(m_random.below(2) == 0 ? Duration::zero() : randomDelay(45min), [=, this] { request(second, key); });
            scheduleAfter(randomDelay(10ms), [=, this] { request(m_random.below(EntryCount), key); });
            if (m_random.below(2) == 0) {
                scheduleAfter(randomDelay(10ms), [=, this] { restart(first); });
            } else {
                scheduleAfter(randomDelay(10ms), [=, this] { m_entries[first].isSuspended = true; });
                scheduleAfter(10ms + randomDelay(40min), [=, this] { resume(first); });
            }
        });
    }

    void request(std::size_t n, const ActionKey &key)
    {
        Entry &entry = m_entries[n];
        if (entry.isSuspended) {
            m_waiting.emplace(n, [=, this] { request(n, key); });
            return;
        }
        switch (entry.registry->ownership(key)) {
        case KeyOwnership::ThisIncarnation:
            start(n, key, entry.registry->begin(key, m_now));
            break;
        case KeyOwnership::OtherInstance:
            forward(indexOf(key.scope->owner), key);
            break;
        case KeyOwnership::Unclaimed:
            claim(n, key);
            break;
        case KeyOwnership::EndedIncarnation:
            break; // answered with an unknown outcome
        }
    }

    void forward(std::size_t owner, const ActionKey &key)
    {
        if (!m_entries[owner].isSuspended) {
            scheduleAfter(1ms, [=, this] { request(owner, key); });
        }
    }

    // The log stores the first claimant of a key. Its answer takes 3 ms, during which the entry may be restarted or suspended.
    void claim(std::size_t n, const ActionKey &key)
    {
        const std::uint64_t incarnation = m_entries[n].incarnation;
        const auto [it, isNew] = m_claims.try_emplace(key.text, std::pair(n, incarnation));
        const auto [owner, ownerIncarnation] = it->second;
        scheduleAfter(3ms, [=, this] { claimed(n, incarnation, key, owner, ownerIncarnation); });
    }

    void claimed(std::size_t n, std::uint64_t incarnation, const ActionKey &key, std::size_t owner, std::uint64_t ownerIncarnation)
    {
        if (m_entries[n].incarnation != incarnation) {
            return;
        }
        if (m_entries[n].isSuspended) {
            m_waiting.emplace(n, [=, this] { claimed(n, incarnation, key, owner, ownerIncarnation); });
            return;
        }
        const InstanceId ownerId = m_entries[owner].id;
        switch (m_entries[n].registry->ownership(ownerId, Incarnation(ownerIncarnation + owner))) {
        case KeyOwnership::ThisIncarnation:
            start(n, key, m_entries[n].registry->beginClaimed(key, m_now));
            break;
        case KeyOwnership::OtherInstance:
            forward(owner, key);
            break;
        default:
            break;
        }
    }

    void start(std::size_t n, const ActionKey &key, const tl::expected<void, KeyRefusal> &begun)
    {
        const std::string name = printActionKey(key);
        if (!begun) {
            m_reportedNotRun[name] = m_reportedNotRun[name] || begun.error().outcome == Outcome::NotRun;
            return;
        }
        const std::uint64_t incarnation = m_entries[n].incarnation;
        scheduleAfter(randomDelay(6ms), [=, this] { dispatch(n, incarnation, key); });
    }

    void dispatch(std::size_t n, std::uint64_t incarnation, const ActionKey &key)
    {
        if (m_entries[n].incarnation != incarnation) {
            return;
        }
        if (m_entries[n].isSuspended) {
            m_waiting.emplace(n, [=, this] { dispatch(n, incarnation, key); });
            return;
        }
        const auto outcome = static_cast<Outcome>(m_random.below(3));
        const bool runs = outcome == Outcome::Answered || (outcome == Outcome::Unknown && m_random.below(2) == 0);
        m_runs[printActionKey(key)] += runs ? 1 : 0;
        scheduleAfter(randomDelay(6ms), [=, this] { finish(n, incarnation, key, outcome); });
    }

    void finish(std::size_t n, std::uint64_t incarnation, const ActionKey &key, Outcome outcome)
    {
        if (m_entries[n].incarnation == incarnation) {
            m_entries[n].registry->finish(key, outcome, m_now);
            m_reportedNotRun[printActionKey(key)] |= outcome == Outcome::NotRun;
        }
    }

    void resume(std::size_t n)
    {
        m_entries[n].isSuspended = false;
        const auto [begin, end] = m_waiting.equal_range(n);
        for (auto it = begin; it != end; ++it) {
            scheduleAfter(Duration::zero(), it->second);
        }
        m_waiting.erase(begin, end);
    }

    static std::size_t indexOf(const InstanceId &id)
    {
        return std::stoul(id.value().substr(1));
    }

    SeededRandom m_random;
    Instant m_now {};
    std::vector<Entry> m_entries;
    std::multimap<Instant, std::function<void()>> m_events;
    std::multimap<std::size_t, std::function<void()>> m_waiting;
    std::map<std::string, std::pair<std::size_t, std::uint64_t>> m_claims;
    std::map<std::string, int> m_runs;
    std::map<std::string, bool> m_reportedNotRun;
};

}

// Guards against a second run of a key through another entry, a restarted one or a resumed one, and against a false "not run".
TEST_CASE("17 entries run each key at most once", "[actions]")
{
    std::size_t runs = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        INFO("seed " << seed);
        SimulatedEntries entries(seed);
        entries.runScenario();
        runs += entries.runCount();
    }
    REQUIRE(runs > 1000);
}
