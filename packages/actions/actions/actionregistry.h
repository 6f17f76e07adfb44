#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include <tl/expected.hpp>

#include "actions/actionkey.h"
#include "actions/keywindow.h"
#include "base/clock.h"
#include "base/outcome.h"

namespace Galenabarrow::Actions
{

/// Why a key was not begun, and what its caller is told.
struct KeyRefusal {
    Outcome outcome = Outcome::Unknown;
    ResultCode code = ResultCode::OutcomeUnknown;

    bool operator==(const KeyRefusal &) const = default;
};

/// Who may dispatch a key.
enum class KeyOwnership : std::uint8_t {
    /// This incarnation.
    ThisIncarnation,
    /// Another instance; the call is forwarded to it. Only the owner may tell "not run" for the key.
    OtherInstance,
    /// An ended incarnation of this instance; the outcome is unknown (KeyOwnerEnded).
    EndedIncarnation,
    /// The key has no scope and has to be claimed in the replicated log first.
    Unclaimed,
};

/// Sizes and times of a registry.
struct RegistryLimits {
    /// A window is followed by the next one after this time.
    Duration windowLength = std::chrono::minutes(10);
    /// A full window is followed by the next one at once, but no sooner than this after it opened. Bounds how fast
    /// a flood of keys can push out the memory of earlier ones.
    Duration minWindowLength = std::chrono::minutes(1);
    std::size_t keysPerWindow = 20000;
    /// Keys without a scope that one incarnation may begin; see ActionRegistry::beginClaimed().
    std::size_t maxClaimedKeys = 200000;
    /// Mixed into the hashes of keys; random in a process, so that callers cannot aim at each other's keys.
    std::uint64_t hashSeed = 0;
};

/// Remembers the action keys of one entry incarnation, so that each key is begun at most once and a "not run" stays
/// final. Lives in memory of one incarnation and is never shared or restored.
class ActionRegistry
{
public:
    ActionRegistry(InstanceId self, Incarnation incarnation, const RegistryLimits &limits, Instant now);

    /// The scope that lookups hand out at \p now.
    KeyScope currentScope(Instant now);
    KeyOwnership ownership(const ActionKey &key) const;
    /// As above, for a key that the replicated log gave to \p incarnation of \p owner.
    KeyOwnership ownership(const InstanceId &owner, Incarnation incarnation) const;

    /// Allows the one run of a key with a scope, or tells what its caller is told instead. Only the call whose begin
    /// succeeded may be dispatched, and it calls finish() exactly once.
    tl::expected<void, KeyRefusal> begin(const ActionKey &key, Instant now);
    /// As begin(), for a key without a scope that the replicated log gave to this incarnation. The log answers each
    /// resend with the same owner, so these keys are kept until the incarnation ends; when maxClaimedKeys are held, unseen
    /// ones are refused from then on.
    tl::expected<void, KeyRefusal> beginClaimed(const ActionKey &key, Instant now);
    /// False when no more claimed keys can be begun; a claim is then not proposed.
    bool canClaim() const;
    /// For a call that is refused before begin(), such as by a limit or the fence: records "not run" for an unseen key
    /// and returns what the caller may be told.
    KeyRefusal refuse(const ActionKey &key, ResultCode reason, Instant now);

    /// Ends a key that was begun, with or without a scope. Later finishes of a key are ignored.
    void finish(const ActionKey &key, Outcome outcome, Instant now);

    /// Opens the next window when it is time.
    void tick(Instant now);

    /// Keys held over all windows.
    std::size_t keyCount() const;
    /// Bytes held for keys over all windows.
    std::size_t memoryBytes() const;

private:
    static constexpr std::size_t RetainedWindows = 3;

    struct Slot {
        KeyWindow keys;
        std::uint32_t number = 0;
        bool isOpen = false;
    };

    KeyWindow *findWindow(std::uint32_t number);
    KeyWindow *findClaimed(std::uint64_t hash);
    KeyWindow *windowForClaim();
    std::optional<KeyRefusal> scopeRefusal(const KeyScope &scope) const;
    std::uint64_t hashOf(const ActionKey &key) const;

    InstanceId m_self;
    Incarnation m_incarnation;
    RegistryLimits m_limits;
    std::vector<Slot> m_slots;
    std::vector<KeyWindow> m_claimed;
    std::uint32_t m_current = 1;
    Instant m_openedAt;
};

}
