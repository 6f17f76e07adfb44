#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>

#include "control/codecs.h"
#include "control/feed.h"
#include "control/rafttypes.h"

namespace Galenabarrow::Control
{

namespace Fb
{
struct StateImage;
}

/// Maximum number of change ids whose first result is stored; the oldest is dropped first. A resend of a change whose result was
/// dropped fails the version check and gets a conflict, so it is never applied twice. At the target of 6,400 changes and 1,200 restarts a
/// day, results are stored for more than a day.
constexpr std::size_t MaxKeptResults = 10000;
/// Maximum number of action key claims that are stored. Claims younger than ClaimLifetime are never dropped: when all are younger, a new
/// claim is rejected with KeyWindowClosed.
constexpr std::size_t MaxKeptClaims = 100000;
constexpr Duration ClaimLifetime = std::chrono::hours(24);

/// The deterministic state machine over committed commands. Contracts, their tombstones and the registered entries are
/// stored without a limit on their number.
class ContractState
{
public:
    /// Applies a committed entry. An entry that is not a proposal only advances the applied index and has an empty result.
    /// A command that cannot be decoded changes nothing and has the result InternalError.
    ProposalResult apply(const LogEntry &entry);

    /// The index of the last applied entry.
    LogIndex appliedIndex() const;
    /// Contracts and tombstones.
    const std::map<CustomerId, ContractRecord> &contracts() const;
    std::vector<RegisteredEntry> registeredEntries() const;
    /// Null when there is no claim of \p key.
    const KeyClaim *findClaim(const std::string &key) const;

    /// The contracts changed after \p after, oldest change first, limited to about \p maxBytes.
    FeedReply changesAfter(LogIndex after, std::size_t maxBytes) const;

    /// The whole state, for a snapshot.
    Bytes encodeImage() const;
    /// Replaces the state. Fails with StoreCorrupt and then leaves the state unchanged.
    Result<void> restoreImage(ByteView image);

private:
    struct StoredResult {
        std::uint64_t fingerprint = 0;
        ProposalResult result;
    };
    struct TimedClaim {
        KeyClaim claim;
        Duration time {};
    };
    struct Applier;
    /// The first result of \p id, if it is stored; ChangeIdReused when the id was used for another change.
    std::optional<ProposalResult> findResult(const ChangeId &id, std::uint64_t fingerprint) const;
    void storeResult(const ChangeId &id, std::uint64_t fingerprint, const ProposalResult &result);
    ProposalResult change(const ContractChange &change);
    ProposalResult claim(const KeyClaim &claim, Duration time);
    ProposalResult registerEntry(const EntryRegistration &registration);
    ProposalResult removeEntry(const EntryRemoval &removal);
    void setRecord(ContractRecord record);
    void restore(const Fb::StateImage &image);

    LogIndex m_applied;
    std::map<CustomerId, ContractRecord> m_contracts;
    std::map<CustomerId, LogIndex> m_changedAt;
    std::map<LogIndex, CustomerId> m_byChange;
    std::unordered_map<ChangeId, StoredResult> m_results;
    std::deque<ChangeId> m_resultOrder;
    std::unordered_map<std::string, TimedClaim> m_claims;
    std::deque<std::string> m_claimOrder;
    std::map<InstanceId, RegisteredEntry> m_entries;
    LogIndex m_entriesChangedAt;
};

}
