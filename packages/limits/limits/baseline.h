#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "base/clock.h"
#include "contract/contract.h"
#include "limits/shares.h"

namespace Galenabarrow::Limits
{

/// The baseline part of a contract, over all entries: half of it, rounded down.
Share baselineTotal(const Contract &contract);
/// The leased part of a contract, over all entries: the rest.
Share leasedTotal(const Contract &contract);
/// The longest time that a call of the contract may be in flight.
Duration longestDeadline(const Contract &contract);

/// The baseline share of one entry. Whole calls that cannot be divided go to the first entries by name.
///
/// Entries learn of a registration or removal at different times, at most one freshness limit apart. So that their
/// baselines never add up to more than the contract, an earlier share of this entry stays an upper bound until every
/// other entry knows the change and calls admitted under their earlier shares have ended.
class BaselineShares
{
public:
    /// An entry that has just started has no baseline for one freshness limit.
    BaselineShares(InstanceId self, Duration freshnessLimit, Instant now);

    void setRegisteredEntries(std::span<const InstanceId> entries, Instant now);
    Share shareOf(const Contract &contract, Instant now) const;

private:
    /// The place of this entry in a list of entries.
    struct Position {
        std::size_t entries = 0;
        /// Equal to \c entries when this entry is not in the list.
        std::size_t index = 0;
        /// When a later list replaced this one.
        Instant replacedAt {};
    };

    /// Longer than any wait: two freshness limits and a deadline.
    static constexpr Duration PositionRetention = std::chrono::hours(1);
    static Share shareAt(const Contract &contract, const Position &position);

    InstanceId m_self;
    Duration m_freshnessLimit;
    Instant m_startedAt;
    Position m_current;
    std::vector<Position> m_earlierPositions;
};

}
