#pragma once

#include <array>
#include <optional>

#include "base/random.h"
#include "quota/quota.h"

namespace Galenabarrow::Quota
{

/// Decides at an entry whether a request is within the quota of its account, and counts requests for the reports to the core.
/// A token bucket with the whole limit of an account always applies. In contact with the core, so does the fraction of the core
/// while the account is over its quota. Without contact for StaleAfter, an account is admitted at its average rate before the
/// last contact, and from GuardAfter until then at 1.5 times that rate, since its demand may have risen with the loss of contact.
class QuotaGate
{
public:
    /// A core instance sends an update every 0.4 s.
    static constexpr Duration GuardAfter = std::chrono::milliseconds(600);
    /// An entry connects to another core instance within 1.2 s.
    static constexpr Duration StaleAfter = std::chrono::milliseconds(1500);
    /// A fraction is repeated every 0.4 s; without a repetition for this time the account is no longer limited.
    static constexpr Duration FractionLifetime = std::chrono::milliseconds(1500);

    struct Decision {
        bool isAdmitted = true;
        /// Time until a request has a chance to be admitted; only for a rejected one.
        Duration retryAfter {};
    };

    struct Counters {
        std::uint64_t admitted = 0;
        std::uint64_t rejected = 0;
        std::uint64_t givenBack = 0;
    };

    /// \p random must outlive the gate.
    explicit QuotaGate(RandomSource &random);

    /// Replaces the limits. Accounts that are not in \p limits are admitted without counting.
    void setAccounts(const AccountLimits &limits, Instant now);
    bool hasLimits() const;
    Decision admit(const AccountId &account, Instant now);
    /// Returns an admitted request that was sent to no server, or that every server refused to run.
    void giveBack(const AccountId &account);
    /// Whether takeUsage() would return counts.
    bool hasUsage() const;
    Usage takeUsage(Instant now);
    /// Records an update of a core instance that a quorum has confirmed. \p entryCount: entries over all, at least 1.
    void recordContact(std::size_t entryCount, Instant now);
    /// Replaces all fractions.
    void apply(const Fractions &fractions, Instant now);
    /// Number of accounts with a fraction below 1.
    std::size_t limitedCount(Instant now) const;
    const Counters &counters() const;
    /// Accounts whose limitation by a fraction has begun or ended since the last call.
    std::vector<LimitEvent> takeEvents(Instant now);

private:
    /// Admitted requests in periods of SlotLength; they cover more than the 5 s before the last contact.
    static constexpr Duration SlotLength = std::chrono::milliseconds(500);
    static constexpr std::size_t SlotCount = 16;

    struct Slot {
        std::int64_t number = 0;
        std::int64_t admitted = 0;
    };
    struct Account {
        AccountLimit limit;
        double level = 0;
        Instant refilledAt {};
        double fraction = 1;
        bool wasLimited = false;
        /// Error of the diffusion, or the tokens while the entry is out of contact; below 1 after each decision.
        double phase = 0;
        std::array<Slot, SlotCount> history;
        /// Average rate before the last contact; set while the entry has no contact.
        std::optional<double> rateBefore;
        /// Tokens for the time from GuardAfter to StaleAfter.
        double guardLevel = 0;
        /// When guardLevel or, later, phase was last refilled.
        Instant guardedAt {};
        std::int64_t admitted = 0;
        std::int64_t rejected = 0;
    };

    static double capacity(const AccountLimit &limit);
    Duration contactAge(Instant now) const;
    /// Whether the fractions are recent enough to apply.
    bool hasFractions(Instant now) const;
    bool passesFraction(Account &account, Instant now);
    bool passesGuard(Account &account, Instant now) const;
    bool passesRateBefore(Account &account, Instant now) const;
    double rateBeforeContact(const Account &account) const;
    Decision reject(Account &account, double seconds);

    RandomSource &m_random;
    std::map<AccountId, Account> m_accounts;
    std::optional<Instant> m_contactAt;
    Instant m_appliedAt {};
    std::size_t m_entryCount = 1;
    std::optional<Instant> m_usageSince;
    Counters m_counters;
};

}
