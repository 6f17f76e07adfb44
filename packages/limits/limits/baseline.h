#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "base/clock.h"
#include "contract/contract.h"
#include "limits/shares.h"

namespace Galenabarrow::Limits
{

/// The baseline half of a contract, summed over all entries; rounded down.
Share baselineTotal(const Contract &contract);
/// The leased half of a contract, summed over all entries: what baselineTotal() leaves.
Share leasedTotal(const Contract &contract);
/// The longest deadline of the contract's services, which is the longest time that a call may be in flight.
Duration longestDeadline(const Contract &contract);

/// The baseline share of one entry. The remainder of the division of whole calls goes to the first entries by name.
///
/// Entries learn of a registration or removal at different times, at most one freshness limit apart (see LimitTimes). To keep
/// the sum of their baselines within the contract, an earlier share of this entry remains an upper bound until every other entry
/// knows the change, and the calls that were admitted under earlier shares have ended.
class BaselineShares
{
public:
    /// An entry that has just started has no baseline for one freshness limit.
    BaselineShares(InstanceId self, Duration freshnessLimit, Instant now);

    void setRegisteredEntries(std::span<const InstanceId> entries, Instant now);
    Share shareOf(const Contract &contract, Instant now) const;

private:
    /// The position of this entry in a sorted list of entries.
    struct Position {
        std::size_t entries = 0;
        /// Equal to \c entries when this entry is not in the list.
        std::size_t index = 0;
        /// When a newer list replaced this one.
        Instant replacedAt {};
    };

    /// Time for which earlier positions are stored. Longer than they are used: two freshness limits and the longest deadline.
    static constexpr Duration PositionRetention = std::chrono::hours(1);
    static Share shareAt(const Contract &contract, const Position &position);

    InstanceId m_self;
    Duration m_freshnessLimit;
    Instant m_startedAt;
    Position m_current;
    std::vector<Position> m_earlierPositions;
};

}
