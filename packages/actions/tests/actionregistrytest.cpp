#include "actions/actionregistry.h"

#include <iostream>
#include <map>
#include <set>

#include <catch2/catch.hpp>

#include "base/random.h"

using namespace Galenabarrow;
using namespace Galenabarrow::Actions;
using namespace std::chrono_literals;

namespace
{

const InstanceId Self("e1");
const Incarnation CurrentIncarnation(7);

ActionKey keyIn(std::uint32_t window, const std::string &text)
{
    return { KeyScope { Self, CurrentIncarnation, window }, text };
}

RegistryLimits smallWindows()
{
    RegistryLimits limits;
    limits.keysPerWindow = 6;
    limits.maxClaimedKeys = 30;
    return limits;
}

/// The state of a key as its callers have observed it.
struct History {
    int begun = 0;
    bool mayHaveRun = false;
    bool reportedNotRun = false;
};

/// Sends random requests to a registry and checks each answer against the history of its key.
class Model
{
public:
    explicit Model(std::uint64_t seed)
        : m_random(seed)
        , m_registry(Self, CurrentIncarnation, smallWindows(), m_now)
    {
    }

    void step()
    {
        m_now += m_random.below(20) == 0 ? Duration(30min) : Duration(m_random.below(60) * 1s);
        const std::uint32_t current = m_registry.currentScope(m_now).window;
        const bool isClaimed = m_random.below(4) == 0;
        const auto window = static_cast<std::uint32_t>(m_random.below(5) + (current > 3 ? current - 3 : 0));
        const std::string text = "k" + std::to_string(m_random.below(isClaimed ? 60 : 12));
        const ActionKey key = isClaimed ? ActionKey { std::nullopt, text } : keyIn(window, text);
        if (m_random.below(8) == 0 && !isClaimed) {
            checkAnswer(key, tl::make_unexpected(m_registry.refuse(key, ResultCode::EntryFenced, m_now)), current);
        } else {
            checkAnswer(key, isClaimed ? m_registry.beginClaimed(key, m_now) : m_registry.begin(key, m_now), current);
        }
        finishRandomKey();
    }

private:
    void checkAnswer(const ActionKey &key, const tl::expected<void, KeyRefusal> &result, std::uint32_t current)
    {
        History &history = m_history[printActionKey(key)];
        const bool isForgotten = key.scope && key.scope->window + 2 < current;
        const bool isNotOpen = key.scope && key.scope->window > current;
        if (result) {
            ++history.begun;
            history.mayHaveRun = true;
            m_running.push_back(key);
            REQUIRE(history.begun == 1);
            REQUIRE_FALSE(history.reportedNotRun);
            REQUIRE_FALSE((isForgotten || isNotOpen));
            return;
        }
        if (result.error().outcome == Outcome::NotRun) {
            REQUIRE_FALSE(history.mayHaveRun);
            REQUIRE_FALSE((isForgotten || isNotOpen));
            history.reportedNotRun = true;
        }
        REQUIRE(result.error().outcome != Outcome::Answered);
    }

    void finishRandomKey()
    {
        if (m_running.empty() || m_random.below(2) == 0) {
            return;
        }
        const std::size_t n = m_random.below(m_running.size());
        const ActionKey key = m_running[n];
        m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(n));
        const auto outcome = static_cast<Outcome>(m_random.below(3));
        History &history = m_history[printActionKey(key)];
        history.mayHaveRun = outcome != Outcome::NotRun;
        history.reportedNotRun = outcome == Outcome::NotRun;
        m_registry.finish(key, outcome, m_now);
        m_registry.finish(key, Outcome::NotRun, m_now); // a second finish must have no effect
    }

    SeededRandom m_random;
    Instant m_now {};
    ActionRegistry m_registry;
    std::map<std::string, History> m_history;
    std::vector<ActionKey> m_running;
};

KeyRefusal refusalOf(const tl::expected<void, KeyRefusal> &result)
{
    REQUIRE_FALSE(result);
    return result.error();
}

}

// Guards against a key that runs twice, a "not run" that is false or not final, and a definite answer about a key whose window
// is no longer retained.
TEST_CASE("random requests keep the invariants of the registry", "[actions]")
{
    const std::uint64_t seed = GENERATE(range<std::uint64_t>(1, 101));
    INFO("seed " << seed);
    Model model(seed);
    for (int n = 0; n < 600; ++n) {
        model.step();
    }
}

// Guards against a flood of keys that evicts earlier ones within moments.
TEST_CASE("a full window refuses keys, and is followed by the next one no sooner than a minute after it opened", "[actions]")
{
    Instant now {};
    ActionRegistry registry(Self, CurrentIncarnation, smallWindows(), now);
    for (int n = 0; n < 6; ++n) {
        REQUIRE(registry.begin(keyIn(1, std::to_string(n)), now));
    }
    const KeyRefusal closed { Outcome::NotRun, ResultCode::KeyWindowClosed };
    REQUIRE(refusalOf(registry.begin(keyIn(1, "late"), now + 59s)) == closed);
    REQUIRE(registry.currentScope(now + 59s).window == 1);
    REQUIRE(registry.currentScope(now + 60s).window == 2);
    REQUIRE(refusalOf(registry.begin(keyIn(1, "late"), now + 60s)) == closed);
    REQUIRE(refusalOf(registry.begin(keyIn(1, "0"), now + 60s)) == KeyRefusal { Outcome::Unknown, ResultCode::KeyInProgress });

    REQUIRE(registry.currentScope(now + 11min).window == 3);
    REQUIRE(registry.currentScope(now + 21min).window == 4);
    REQUIRE(refusalOf(registry.begin(keyIn(1, "late"), now + 21min)) == KeyRefusal { Outcome::Unknown, ResultCode::KeyWindowForgotten });
    REQUIRE(registry.begin(keyIn(2, "early"), now + 21min));
}

// Guards against a resend that is answered with a wrong outcome.
TEST_CASE("a resend is answered with the stored state of its key", "[actions]")
{
    const auto [outcome, expected] = GENERATE(table<Outcome, KeyRefusal>({
        { Outcome::Answered, { Outcome::Unknown, ResultCode::KeyAlreadyRun } },
        { Outcome::NotRun, { Outcome::NotRun, ResultCode::KeyAlreadyRefused } },
        { Outcome::Unknown, { Outcome::Unknown, ResultCode::OutcomeUnknown } },
    }));
    ActionRegistry registry(Self, CurrentIncarnation, {}, Instant {});
    for (const ActionKey &key : { keyIn(1, "a"), ActionKey { std::nullopt, "a" } }) {
        REQUIRE((key.scope ? registry.begin(key, Instant {}) : registry.beginClaimed(key, Instant {})));
        registry.finish(key, outcome, Instant {});
        REQUIRE(refusalOf(key.scope ? registry.begin(key, Instant {}) : registry.beginClaimed(key, Instant {})) == expected);
    }
    REQUIRE(refusalOf(registry.begin({ KeyScope { Self, Incarnation(6), 1 }, "b" }, Instant {})).code == ResultCode::KeyOwnerEnded);
    REQUIRE(refusalOf(registry.begin({ KeyScope { InstanceId("e2"), CurrentIncarnation, 1 }, "b" }, Instant {})).outcome
            == Outcome::Unknown);
}

// Guards against more memory than documented for three windows of 20,000 keys.
TEST_CASE("full windows use about 13 bytes per key", "[actions]")
{
    Instant now {};
    ActionRegistry registry(Self, CurrentIncarnation, {}, now);
    for (std::uint32_t window = 1; window <= 3; ++window) {
        REQUIRE(registry.currentScope(now).window == window);
        for (int n = 0; n < 20000; ++n) {
            REQUIRE(registry.begin(keyIn(window, "order-" + std::to_string(n)), now));
        }
        now += 10min;
    }
    REQUIRE(registry.keyCount() == 60000);
    std::cout << "action registry: " << registry.memoryBytes() << " bytes for " << registry.keyCount() << " keys, "
              << static_cast<double>(registry.memoryBytes()) / static_cast<double>(registry.keyCount()) << " bytes a key\n";
    REQUIRE(registry.memoryBytes() < 60000 * 14);
}
