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

/// Entries with their registries, a replicated log of claims, and a server that counts the runs of each key.
class Entries
{
public:
    explicit Entries(std::uint64_t seed)
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
            const std::function<void()> action = event->second;
            m_events.erase(event);
            action();
        }
        for (const auto &[key, runs] : m_runs) {
            INFO("key " << key);
            REQUIRE(runs <= 1);
            REQUIRE((runs == 0 || !m_toldNotRun[key]));
        }
    }

    std::size_t runCount() const
    {
        return m_runs.size();
    }

private:
    struct Entry {
        InstanceId id;
        std::uint64_t life = 0;
        bool isFrozen = false;
        std::unique_ptr<ActionRegistry> registry;
    };

    void at(Duration delay, std::function<void()> action)
    {
        m_events.emplace(m_now + delay, std::move(action));
    }

    Duration anyTime(Duration most)
    {
        return Duration(static_cast<Duration::rep>(m_random.below(static_cast<std::uint64_t>(most.count()))));
    }

    void restart(std::size_t n)
    {
        Entry &entry = m_entries[n];
        entry.life += EntryCount;
        entry.isFrozen = false;
        entry.registry = std::make_unique<ActionRegistry>(entry.id, Incarnation(entry.life + n), RegistryLimits {}, m_now);
    }

    // The same key at two entries, at once or late, and again; the first entry is killed or frozen at any moment.
    void scheduleAction(int n)
    {
        const std::size_t first = m_random.below(EntryCount);
        const std::size_t second = m_random.below(EntryCount);
        const auto offset = Duration(5s) + anyTime(1min);
        at(offset, [=, this] {
            ActionKey key { std::nullopt, "k" + std::to_string(n) };
            if (m_random.below(2) == 0) {
                key.scope = m_entries[first].registry->currentScope(m_now);
            }
            request(first, key);
            at(m_random.below(2) == 0 ? Duration::zero() : anyTime(45min), [=, this] { request(second, key); });
            at(anyTime(10ms), [=, this] { request(m_random.below(EntryCount), key); });
            if (m_random.below(2) == 0) {
                at(anyTime(10ms), [=, this] { restart(first); });
            } else {
                at(anyTime(10ms), [=, this] { m_entries[first].isFrozen = true; });
                at(10ms + anyTime(40min), [=, this] { wake(first); });
            }
        });
    }

    void request(std::size_t n, const ActionKey &key)
    {
        Entry &entry = m_entries[n];
        if (entry.isFrozen) {
            m_waiting.emplace(n, [=, this] { request(n, key); });
            return;
        }
        switch (entry.registry->ownership(key)) {
        case KeyOwnership::Own:
            start(n, key, entry.registry->begin(key, m_now));
            break;
        case KeyOwnership::OtherInstance:
            forward(indexOf(key.scope->owner), key);
            break;
        case KeyOwnership::Unclaimed:
            claim(n, key);
            break;
        case KeyOwnership::EndedIncarnation:
            break; // told unknown
        }
    }

    void forward(std::size_t owner, const ActionKey &key)
    {
        if (!m_entries[owner].isFrozen) {
            at(1ms, [=, this] { request(owner, key); });
        }
    }

    // The log keeps the first claimant; the answer takes a few ms, in which anything can happen to the entry.
    void claim(std::size_t n, const ActionKey &key)
    {
        const std::uint64_t life = m_entries[n].life;
        const auto [it, isNew] = m_claims.try_emplace(key.text, std::pair(n, life));
        const auto [owner, ownerLife] = it->second;
        at(3ms, [=, this] { claimed(n, life, key, owner, ownerLife); });
    }

    void claimed(std::size_t n, std::uint64_t life, const ActionKey &key, std::size_t owner, std::uint64_t ownerLife)
    {
        if (m_entries[n].life != life) {
            return;
        }
        if (m_entries[n].isFrozen) {
            m_waiting.emplace(n, [=, this] { claimed(n, life, key, owner, ownerLife); });
            return;
        }
        const InstanceId ownerId = m_entries[owner].id;
        switch (m_entries[n].registry->ownership(ownerId, Incarnation(ownerLife + owner))) {
        case KeyOwnership::Own:
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
            m_toldNotRun[name] = m_toldNotRun[name] || begun.error().outcome == Outcome::NotRun;
            return;
        }
        const std::uint64_t life = m_entries[n].life;
        at(anyTime(6ms), [=, this] { dispatch(n, life, key); });
    }

    void dispatch(std::size_t n, std::uint64_t life, const ActionKey &key)
    {
        if (m_entries[n].life != life) {
            return;
        }
        if (m_entries[n].isFrozen) {
            m_waiting.emplace(n, [=, this] { dispatch(n, life, key); });
            return;
        }
        const auto outcome = static_cast<Outcome>(m_random.below(3));
        const bool runs = outcome == Outcome::Answered || (outcome == Outcome::Unknown && m_random.below(2) == 0);
        m_runs[printActionKey(key)] += runs ? 1 : 0;
        at(anyTime(6ms), [=, this] { finish(n, life, key, outcome); });
    }

    void finish(std::size_t n, std::uint64_t life, const ActionKey &key, Outcome outcome)
    {
        if (m_entries[n].life == life) {
            m_entries[n].registry->finish(key, outcome, m_now);
            m_toldNotRun[printActionKey(key)] |= outcome == Outcome::NotRun;
        }
    }

    void wake(std::size_t n)
    {
        m_entries[n].isFrozen = false;
        const auto [begin, end] = m_waiting.equal_range(n);
        for (auto it = begin; it != end; ++it) {
            at(Duration::zero(), it->second);
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
    std::map<std::string, bool> m_toldNotRun;
};

}

// Guards against a second run through another entry, a restarted one or one that wakes, and against a false "not run".
TEST_CASE("17 entries run each key at most once", "[actions]")
{
    std::size_t runs = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        INFO("seed " << seed);
        Entries entries(seed);
        entries.runScenario();
        runs += entries.runCount();
    }
    REQUIRE(runs > 1000);
}
