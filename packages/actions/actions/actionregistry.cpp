#include "actions/actionregistry.h"

#include <algorithm>
#include <cassert>

#include <xxhash.h>

namespace Galenabarrow::Actions
{

namespace
{

KeyRefusal refusalOf(KeyState state)
{
    switch (state) {
    case KeyState::InProgress:
        return { Outcome::Unknown, ResultCode::KeyInProgress };
    case KeyState::Answered:
        return { Outcome::Unknown, ResultCode::KeyAlreadyRun };
    case KeyState::NotRun:
        return { Outcome::NotRun, ResultCode::KeyAlreadyRefused };
    case KeyState::Unknown:
        break;
    }
    return { Outcome::Unknown, ResultCode::OutcomeUnknown };
}

KeyState stateOf(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Answered:
        return KeyState::Answered;
    case Outcome::NotRun:
        return KeyState::NotRun;
    case Outcome::Unknown:
        break;
    }
    return KeyState::Unknown;
}

}

ActionRegistry::ActionRegistry(InstanceId self, Incarnation incarnation, const RegistryLimits &limits, Instant now)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_limits(limits)
    , m_openedAt(now)
{
    assert(m_limits.keysPerWindow > 0);
    m_slots.reserve(RetainedWindows);
    for (std::size_t n = 0; n < RetainedWindows; ++n) {
        m_slots.push_back(Slot { KeyWindow(m_limits.keysPerWindow), 0, false });
    }
    Slot &first = m_slots[m_current % RetainedWindows];
    first.number = m_current;
    first.isOpen = true;
}

KeyScope ActionRegistry::currentScope(Instant now)
{
    tick(now);
    return KeyScope { m_self, m_incarnation, m_current };
}

KeyOwnership ActionRegistry::ownership(const ActionKey &key) const
{
    return key.scope ? ownership(key.scope->owner, key.scope->incarnation) : KeyOwnership::Unclaimed;
}

KeyOwnership ActionRegistry::ownership(const InstanceId &owner, Incarnation incarnation) const
{
    if (owner != m_self) {
        return KeyOwnership::OtherInstance;
    }
    return incarnation == m_incarnation ? KeyOwnership::ThisIncarnation : KeyOwnership::EndedIncarnation;
}

tl::expected<void, KeyRefusal> ActionRegistry::begin(const ActionKey &key, Instant now)
{
    if (!key.scope) {
        // "Not run" would not be final, because the key can still be claimed and run.
        return tl::make_unexpected(KeyRefusal { Outcome::Unknown, ResultCode::OutcomeUnknown });
    }
    tick(now);
    if (const std::optional<KeyRefusal> refusal = scopeRefusal(*key.scope)) {
        return tl::make_unexpected(*refusal);
    }
    KeyWindow *window = findWindow(key.scope->window);
    if (window == nullptr) {
        return tl::make_unexpected(KeyRefusal { Outcome::Unknown, ResultCode::KeyWindowForgotten });
    }
    const std::uint64_t hash = hashOf(key);
    if (const std::optional<KeyState> state = window->find(hash)) {
        return tl::make_unexpected(refusalOf(*state));
    }
    if (!window->insert(hash, KeyState::InProgress)) {
        return tl::make_unexpected(KeyRefusal { Outcome::NotRun, ResultCode::KeyWindowClosed });
    }
    return {};
}

tl::expected<void, KeyRefusal> ActionRegistry::beginClaimed(const ActionKey &key, Instant now)
{
    assert(!key.scope);
    tick(now);
    const std::uint64_t hash = hashOf(key);
    if (const KeyWindow *window = findClaimed(hash)) {
        return tl::make_unexpected(refusalOf(*window->find(hash)));
    }
    KeyWindow *window = windowForClaim();
    if (window == nullptr) {
        return tl::make_unexpected(KeyRefusal { Outcome::NotRun, ResultCode::KeyWindowClosed });
    }
    window->insert(hash, KeyState::InProgress);
    return {};
}

bool ActionRegistry::canClaim() const
{
    return m_claimed.empty() || !m_claimed.back().isFull() || m_claimed.size() * m_limits.keysPerWindow < m_limits.maxClaimedKeys;
}

KeyRefusal ActionRegistry::refuse(const ActionKey &key, ResultCode reason, Instant now)
{
    if (!key.scope) {
        return { Outcome::Unknown, ResultCode::OutcomeUnknown };
    }
    if (const auto begun = begin(key, now); !begun) {
        return begun.error();
    }
    finish(key, Outcome::NotRun, now);
    return { Outcome::NotRun, reason };
}

void ActionRegistry::finish(const ActionKey &key, Outcome outcome, Instant now)
{
    tick(now);
    const std::uint64_t hash = hashOf(key);
    KeyWindow *window = nullptr;
    if (!key.scope) {
        window = findClaimed(hash);
    } else if (!scopeRefusal(*key.scope)) {
        window = findWindow(key.scope->window);
    }
    if (window != nullptr && window->find(hash) == KeyState::InProgress) {
        window->setState(hash, stateOf(outcome));
    }
}

void ActionRegistry::tick(Instant now)
{
    const Duration age = now - m_openedAt;
    const bool isFull = m_slots[m_current % RetainedWindows].keys.isFull();
    if (age < m_limits.windowLength && !(isFull && age >= m_limits.minWindowLength)) {
        return;
    }
    // Advances by one window only, even if the process was suspended for long: retaining windows for too long is always safe.
    ++m_current;
    m_openedAt = now;
    Slot &slot = m_slots[m_current % RetainedWindows];
    slot.keys.clear();
    slot.number = m_current;
    slot.isOpen = true;
}

std::size_t ActionRegistry::keyCount() const
{
    std::size_t count = 0;
    for (const Slot &it : m_slots) {
        count += it.keys.size();
    }
    for (const KeyWindow &it : m_claimed) {
        count += it.size();
    }
    return count;
}

std::size_t ActionRegistry::memoryBytes() const
{
    std::size_t bytes = 0;
    for (const Slot &it : m_slots) {
        bytes += it.keys.memoryBytes();
    }
    for (const KeyWindow &it : m_claimed) {
        bytes += it.memoryBytes();
    }
    return bytes;
}

KeyWindow *ActionRegistry::findWindow(std::uint32_t number)
{
    Slot &slot = m_slots[number % RetainedWindows];
    return slot.isOpen && slot.number == number ? &slot.keys : nullptr;
}

KeyWindow *ActionRegistry::findClaimed(std::uint64_t hash)
{
    const auto it =
        std::find_if(m_claimed.begin(), m_claimed.end(), [hash](const KeyWindow &window) { return window.find(hash).has_value(); });
    return it == m_claimed.end() ? nullptr : &*it;
}

// A window with space for one more claimed key; null when maxClaimedKeys are stored.
KeyWindow *ActionRegistry::windowForClaim()
{
    if (!canClaim()) {
        return nullptr;
    }
    if (m_claimed.empty() || m_claimed.back().isFull()) {
        m_claimed.emplace_back(m_limits.keysPerWindow);
    }
    return &m_claimed.back();
}

std::optional<KeyRefusal> ActionRegistry::scopeRefusal(const KeyScope &scope) const
{
    switch (ownership(scope.owner, scope.incarnation)) {
    case KeyOwnership::ThisIncarnation:
        break;
    case KeyOwnership::EndedIncarnation:
        return KeyRefusal { Outcome::Unknown, ResultCode::KeyOwnerEnded };
    default:
        return KeyRefusal { Outcome::Unknown, ResultCode::KeyOwnerUnreachable };
    }
    if (scope.window > m_current) {
        // No lookup has returned this scope yet. "Not run" would not be final, because the window opens later.
        return KeyRefusal { Outcome::Unknown, ResultCode::OutcomeUnknown };
    }
    return std::nullopt;
}

std::uint64_t ActionRegistry::hashOf(const ActionKey &key) const
{
    // Keys with a scope and claimed keys are different actions even when their texts are equal.
    const std::uint64_t seed = m_limits.hashSeed ^ m_incarnation.value() ^ (key.scope ? 0U : ~std::uint64_t { 0 });
    return XXH3_64bits_withSeed(key.text.data(), key.text.size(), seed);
}

}
