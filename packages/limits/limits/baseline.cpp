#include "limits/baseline.h"

#include <algorithm>

namespace Galenabarrow::Limits
{

namespace
{

constexpr MilliRate MilliPerCall = 1000;

std::uint32_t part(std::uint32_t total, std::size_t entries, std::size_t index)
{
    return static_cast<std::uint32_t>(total / entries + (index < total % entries ? 1 : 0));
}

}

Share baselineTotal(const Contract &contract)
{
    return { MilliRate { contract.ratePerSecond } * MilliPerCall / 2, contract.burst / 2, contract.concurrency / 2 };
}

Share leasedTotal(const Contract &contract)
{
    const Share baseline = baselineTotal(contract);
    return { MilliRate { contract.ratePerSecond } * MilliPerCall - baseline.rate, contract.burst - baseline.burst,
             contract.concurrency - baseline.concurrency };
}

Duration longestDeadline(const Contract &contract)
{
    Duration longest {};
    for (const ServiceTerms &it : contract.services) {
        longest = std::max(longest, it.maxDeadline);
    }
    return longest;
}

BaselineShares::BaselineShares(InstanceId self, Duration freshnessLimit, Instant now)
    : m_self(std::move(self))
    , m_freshnessLimit(freshnessLimit)
    , m_startedAt(now)
{
}

void BaselineShares::setRegisteredEntries(std::span<const InstanceId> entries, Instant now)
{
    std::vector<InstanceId> sorted(entries.begin(), entries.end());
    std::sort(sorted.begin(), sorted.end());
    const auto self = std::lower_bound(sorted.begin(), sorted.end(), m_self);
    const bool isListed = self != sorted.end() && *self == m_self;
    const Position position { sorted.size(), isListed ? static_cast<std::size_t>(self - sorted.begin()) : sorted.size(), {} };
    if (position.entries == m_current.entries && position.index == m_current.index) {
        return;
    }
    if (m_current.entries > 0) {
        m_current.replacedAt = now;
        m_earlierPositions.push_back(m_current);
    }
    m_current = position;
    std::erase_if(m_earlierPositions, [now](const Position &it) { return now - it.replacedAt > PositionRetention; });
}

Share BaselineShares::shareOf(const Contract &contract, Instant now) const
{
    if (now - m_startedAt < m_freshnessLimit || m_current.index >= m_current.entries) {
        return {};
    }
    // Two freshness limits, since an entry may have missed a registration that was reverted within the first one.
    const Duration wait = 2 * m_freshnessLimit + longestDeadline(contract);
    Share share = shareAt(contract, m_current);
    for (const Position &it : m_earlierPositions) {
        if (now - it.replacedAt < wait) {
            const Share earlier = shareAt(contract, it);
            share.rate = std::min(share.rate, earlier.rate);
            share.burst = std::min(share.burst, earlier.burst);
            share.concurrency = std::min(share.concurrency, earlier.concurrency);
        }
    }
    return share;
}

Share BaselineShares::shareAt(const Contract &contract, const Position &position)
{
    if (position.index >= position.entries) {
        return {};
    }
    const Share total = baselineTotal(contract);
    return { total.rate / position.entries, part(total.burst, position.entries, position.index),
             part(total.concurrency, position.entries, position.index) };
}

}
