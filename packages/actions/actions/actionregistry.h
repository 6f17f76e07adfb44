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

/// Outcome and result code returned to the caller when a key was not begun.
struct KeyRefusal {
    Outcome outcome = Outcome::Unknown;
    ResultCode code = ResultCode::OutcomeUnknown;

    bool operator==(const KeyRefusal &) const = default;
};

/// Who may dispatch a key.
enum class KeyOwnership : std::uint8_t {
    /// This incarnation.
    ThisIncarnation,
    /// Another instance; the call is forwarded to it. Only the owner may answer "not run" for the key.
    OtherInstance,
    /// An ended incarnation of this instance; the outcome is unknown (KeyOwnerEnded).
    EndedIncarnation,
    /// The key has no scope and must be claimed in the replicated log first.
    Unclaimed,
};

/// Size and time limits of a registry.
struct RegistryLimits {
    /// The next window opens this long after the current one opened.
    Duration windowLength = std::chrono::minutes(10);
    /// When the current window is full, the next one opens earlier, but not before the current one has been open for this
    /// long. Limits how fast a flood of keys can evict earlier ones.
    Duration minWindowLength = std::chrono::minutes(1);
    std::size_t keysPerWindow = 20000;
    /// Maximum number of keys without a scope that one incarnation may begin, rounded up to a multiple of keysPerWindow; see
    /// ActionRegistry::beginClaimed().
    std::size_t maxClaimedKeys = 200000;
    /// Seed of the key hashes. Random in each process, so that a caller cannot construct collisions with another caller's keys.
    std::uint64_t hashSeed = 0;
};

/// Stores the action keys of one entry incarnation, so that each key is begun at most once and a "not run" answer stays final.
/// Exists only in the memory of this incarnation; it is never shared or restored.
class ActionRegistry
{
public:
    ActionRegistry(InstanceId self, Incarnation incarnation, const RegistryLimits &limits, Instant now);

    /// The scope that lookups return to callers at \p now.
    KeyScope currentScope(Instant now);
    KeyOwnership ownership(const ActionKey &key) const;
    /// As above, for a key that the replicated log assigned to \p incarnation of \p owner.
    KeyOwnership ownership(const InstanceId &owner, Incarnation incarnation) const;

    /// Permits the only run of a key with a scope, or returns what to answer to its caller instead. A call may be dispatched
    /// only if begin() succeeded for it; finish() must then be called exactly once.
    tl::expected<void, KeyRefusal> begin(const ActionKey &key, Instant now);
    /// As begin(), for a key without a scope that the replicated log assigned to this incarnation. The log answers each resend
    /// with the same owner, so these keys are stored until the incarnation ends. Once maxClaimedKeys are stored, new ones are
    /// refused.
    tl::expected<void, KeyRefusal> beginClaimed(const ActionKey &key, Instant now);
    /// False when no more claimed keys can be begun; no claim should then be proposed to the replicated log.
    bool canClaim() const;
    /// For a call that is refused before begin(), for example by a limit or because the entry is fenced: stores "not run" for a
    /// key with a scope that was not begun yet, and returns what to answer to the caller. Without a scope nothing is stored and
    /// the outcome is unknown, because the key can still be claimed and run.
    KeyRefusal refuse(const ActionKey &key, ResultCode reason, Instant now);

    /// Stores the outcome of a key that was begun, with or without a scope. Repeated calls for the same key are ignored.
    void finish(const ActionKey &key, Outcome outcome, Instant now);

    /// Opens the next window when it is due.
    void tick(Instant now);

    /// Number of keys in all windows.
    std::size_t keyCount() const;
    /// Memory allocated for the keys of all windows, in bytes.
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
