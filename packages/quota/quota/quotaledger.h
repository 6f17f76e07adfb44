#pragma once

#include <array>
#include <optional>

#include "quota/quota.h"

namespace Galenabarrow::Quota
{

/// Tracks at a core instance what all entries together admit, and derives the fractions that entries admit of accounts over
/// their quota. It has one token bucket for each account. Reports arrive late, so the level may become negative; this debt is
/// repaid within a second.
class QuotaLedger
{
public:
    void setLimits(const AccountLimits &limits, Instant now);
    bool hasLimits() const;
    /// Counts of an entry that reports to this instance.
    void recordUsage(const Usage &usage, Instant now);
    /// Counts of the entries of another core instance.
    void recordPeer(const InstanceId &instance, Incarnation incarnation, const Totals &totals, Instant now);
    /// Sets the part of the known entries that reports to core instances in reach of this one; above 0, at most 1. The others
    /// keep their part of each limit.
    void setReachable(double share, Instant now);
    /// The totals of this instance when they have changed since the last call.
    std::optional<Totals> takeTotals();
    /// The accounts with a fraction below 1.
    Fractions fractions(Instant now);
    /// Accounts that have become limited, or whose limitation has ended, since the last call.
    std::vector<LimitEvent> takeEvents();
    std::size_t limitedCount() const;
    /// Requests that were admitted and rejected at the entries of this instance.
    const AccountUsage &counters() const;

private:
    /// Demand is counted in periods of this length, the interval of the reports.
    static constexpr Duration SlotLength = std::chrono::milliseconds(100);
    static constexpr std::size_t SlotCount = 12;

    struct Slot {
        std::int64_t number = 0;
        double count = 0;
    };
    struct Account {
        AccountLimit limit;
        double level = 0;
        Instant refilledAt {};
        std::array<Slot, SlotCount> demand;
        std::int64_t admitted = 0;
        std::int64_t rejected = 0;
        bool isChanged = false;
        bool isLimited = false;
        Instant limitedAt {};
        /// Charged for silent peers since the account became limited, and not yet covered by their counts.
        double assumed = 0;
    };
    struct PeerAccount {
        AccountUsage totals;
        Instant changedAt {};
        /// Smoothed admitted requests a second.
        double rate = 0;
        /// Charged for the time since the last message.
        double assumed = 0;
    };
    struct Peer {
        Incarnation incarnation;
        std::uint64_t number = 0;
        Instant receivedAt {};
        /// Up to when requests were assumed while no message arrived.
        Instant assumedAt {};
        std::map<AccountId, PeerAccount> accounts;
    };

    static double maxDebt(const Account &account);
    void refill(Account &account, Instant now) const;
    void charge(Account &account, const AccountUsage &usage, Instant now) const;
    /// Requests over the last \p slots complete slots and the current one.
    struct Demand {
        double count = 0;
        double perSecond = 0;
    };
    static Demand demand(const Account &account, std::int64_t slots, Instant now);
    /// Charges limited accounts for what the entries of silent peers presumably admit: they continue with the last fractions.
    void assumeSilentPeers(Instant now);
    /// What the lost part of the entries has admitted beyond its part of the limit until the loss was known.
    double lossDebt(const Account &account, double lost, Instant now) const;
    /// Requests a second over \p slots, or over a second when there were too few.
    static double recentDemand(const Account &account, std::int64_t slots, Instant now);
    /// The level at which a limited account is held. The tolerance above it is left for random arrivals.
    double targetLevel(const Account &account) const;
    void updateLimited(const AccountId &name, Account &account, Instant now);

    std::map<AccountId, Account> m_accounts;
    std::map<InstanceId, Peer> m_peers;
    double m_reachable = 1;
    std::uint64_t m_lastNumber = 0;
    std::vector<LimitEvent> m_events;
    AccountUsage m_counters;
};

}
