#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/clock.h"
#include "base/id.h"
#include "routing/model.h"

namespace Galenabarrow::Quota
{

/// The limit of a client account over all entries together.
struct AccountLimit {
    /// Requests a second; above 0.
    double perSecond = 0;
    /// Requests that may be sent at once after a time without requests.
    double burst = 0;

    bool operator==(const AccountLimit &) const = default;
};

using AccountLimits = std::map<AccountId, AccountLimit>;

/// The limits of the accounts of \p config that have one.
AccountLimits accountLimits(const Routing::RoutingConfig &config);

/// Requests beyond burst that are admitted before an account counts as over its quota. Without them, the random arrival of
/// requests would exceed a small burst although the average rate is below the limit. They are part of what the bound of 1.1 x
/// (rate x 5 s + burst) + 20 allows beyond the limit.
double tolerance(const AccountLimit &limit);

/// Requests of an account within a period. Negative counts occur when requests of an earlier period were given back.
struct AccountUsage {
    AccountId account;
    std::int64_t admitted = 0;
    std::int64_t rejected = 0;

    bool operator==(const AccountUsage &) const = default;
};

/// What an entry has counted since its previous report; contains only accounts with counts.
struct Usage {
    /// Time since the first of the counts.
    Duration period {};
    std::vector<AccountUsage> accounts;
};

/// Counts of a core instance since its start, of the entries that report to it.
struct Totals {
    /// Rises by one with each message of an incarnation, from 1.
    std::uint64_t number = 0;
    /// The accounts whose counts have changed since the previous message.
    std::vector<AccountUsage> accounts;
};

/// The part of an account's requests that entries admit; from 0 to 1.
struct AccountFraction {
    AccountId account;
    double fraction = 1;

    bool operator==(const AccountFraction &) const = default;
};

/// The complete set of accounts with a fraction below 1.
using Fractions = std::vector<AccountFraction>;

/// Whether \p b differs from \p a by more than a twentieth for an account, or in the accounts it contains.
bool differs(const Fractions &a, const Fractions &b);

/// An account that has become limited, or whose limitation has ended.
struct LimitEvent {
    AccountId account;
    bool isLimited = false;

    bool operator==(const LimitEvent &) const = default;
};

}
