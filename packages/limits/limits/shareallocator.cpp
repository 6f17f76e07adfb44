#include "limits/shareallocator.h"

#include <algorithm>

#include "limits/baseline.h"

namespace Galenabarrow::Limits
{

namespace
{

__extension__ using Wide = unsigned __int128;

std::uint64_t excess(std::uint64_t demand, std::uint64_t baseline)
{
    return demand - std::min(demand, baseline);
}

std::uint64_t proportion(std::uint64_t total, std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : static_cast<std::uint64_t>(Wide { total } * part / whole);
}

/// Demands of the active holders for one limit (rate or concurrency), and the baseline that each entry has of it.
struct Demands {
    std::vector<std::uint64_t> wanted;
    std::uint64_t baseline = 0;
    /// Number of registered entries without demand.
    std::uint64_t idle = 0;
};

struct Division {
    std::vector<std::uint64_t> parts;
    /// Remainder of the division.
    std::uint64_t rest = 0;
};

/// The part of each holder in \p total, rounded down: its excess over the baseline, plus an equal part of the remainder as
/// headroom. When the sum of the excesses reaches the total, the total is divided in proportion to them. Headroom in
/// proportion to demand would leave an idle entry without any, so that the first calls of a burst are refused until the next
/// grant. For the same reason the headroom of idle entries is reserved for them: otherwise the first entry of a burst would
/// get it, and the others nothing before that entry's next request.
Division divide(std::uint64_t total, const Demands &demands)
{
    std::uint64_t allExcess = 0;
    for (const std::uint64_t it : demands.wanted) {
        allExcess += excess(it, demands.baseline);
    }
    const bool isShort = allExcess >= total;
    const std::uint64_t headroom = isShort ? 0 : (total - allExcess) / (demands.wanted.size() + demands.idle);
    Division division { {}, total - headroom * demands.idle };
    for (const std::uint64_t it : demands.wanted) {
        const std::uint64_t ownExcess = excess(it, demands.baseline);
        division.parts.push_back(isShort ? proportion(total, ownExcess, allExcess) : ownExcess + headroom);
        division.rest -= division.parts.back();
    }
    if (!isShort && headroom == 0) {
        // The headroom is less than one call for each entry. A holder gets at most one more call. The others are reserved for
        // entries whose first call is yet to arrive and would be refused until the holders had returned theirs.
        division.rest = std::min<std::uint64_t>(division.rest, division.parts.size());
    }
    return division;
}

/// The part of the holder at \p position in whole calls. The remainder of the division rotates among the holders with
/// \p round, since otherwise one holder would keep it for ever.
std::uint32_t divideWhole(std::uint32_t total, const Demands &demands, std::size_t position, std::uint64_t round)
{
    const Division division = divide(total, demands);
    const std::uint64_t holders = division.parts.size();
    const std::uint64_t turn = (position + round) % holders;
    return static_cast<std::uint32_t>(division.parts[position] + division.rest / holders + (turn < division.rest % holders ? 1 : 0));
}

/// The difference, or 0 when \p b is larger.
template<typename Number>
Number subtractClamped(Number a, Number b)
{
    return a - std::min(a, b);
}

}

ShareAllocator::ShareAllocator(const LeaseTimes &times)
    : m_times(times)
{
}

void ShareAllocator::becomeLeader(Instant now)
{
    m_leaderSince = now;
    m_requests.clear();
    for (auto &[customer, row] : m_customers) {
        row.holders.clear();
        row.unleased = TokenBucket(now + m_times.lease); // until then the rate belongs to leases of earlier leaders
    }
    m_unreported = std::set<InstanceId>(m_registered.begin(), m_registered.end());
}

void ShareAllocator::setContract(const Contract &contract)
{
    const auto [it, isNew] = m_customers.try_emplace(contract.customer);
    CustomerRow &row = it->second;
    if (isNew) {
        row.unleased = TokenBucket(m_leaderSince + m_times.lease);
    }
    row.contract = contract;
    row.deadline = std::max(row.deadline, longestDeadline(contract));
}

void ShareAllocator::removeContract(const CustomerId &customer)
{
    const auto it = m_customers.find(customer);
    if (it != m_customers.end()) {
        it->second.contract.ratePerSecond = 0;
        it->second.contract.burst = 0;
        it->second.contract.concurrency = 0;
    }
}

void ShareAllocator::setRegisteredEntries(std::span<const InstanceId> entries)
{
    for (const InstanceId &it : entries) {
        if (std::find(m_registered.begin(), m_registered.end(), it) == m_registered.end()) {
            m_unreported.insert(it);
        }
    }
    m_registered.assign(entries.begin(), entries.end());
}

ShareReply ShareAllocator::answer(const ShareRequest &request, Duration confirmationAge, Instant now)
{
    const HolderId id { request.entry, request.incarnation };
    ShareReply reply { request.number, Duration::zero(), {} };
    if (!acceptRequest(id, request, now)) {
        return reply;
    }
    for (const ShareDemand &it : request.demands) {
        recordDemand(id, it, now);
    }
    const Duration lease = m_times.lease - confirmationAge;
    if (lease <= Duration::zero() || now - m_leaderSince < m_times.lease) {
        return reply;
    }
    reply.lease = lease;
    for (const ShareDemand &it : request.demands) {
        const auto row = m_customers.find(it.customer);
        if (row != m_customers.end()) {
            reply.grants.push_back(grant(row->second, id, request.number, now));
        }
    }
    return reply;
}

bool ShareAllocator::acceptRequest(const HolderId &id, const ShareRequest &request, Instant now)
{
    LastRequest &last = m_requests[id];
    if (request.number <= last.number) {
        return false;
    }
    // The grants of the preceding request count until now.
    for (auto &[customer, row] : m_customers) {
        if (row.holders.contains(id)) {
            refillUnleased(row, now);
        }
    }
    last = { request.number, request.installed };
    m_unreported.erase(id.entry);
    return true;
}

void ShareAllocator::recordDemand(const HolderId &id, const ShareDemand &demand, Instant now)
{
    const auto it = m_customers.find(demand.customer);
    if (it == m_customers.end()) {
        return;
    }
    CustomerRow &row = it->second;
    eraseEnded(row, now);
    Holder &holder = row.holders[id];
    holder.demand = demand;
    holder.reportedAt = now;
    // Until its lease ends, the holder may admit calls under it, each of which may last for the longest deadline.
    holder.heldUntil = now + m_times.lease + row.deadline;
}

ShareGrant ShareAllocator::grant(CustomerRow &row, const HolderId &id, std::uint64_t number, Instant now)
{
    const Share wanted = targetShare(row, id, now);
    const Share available = availableShare(row, id, now);
    const Share share { std::min(wanted.rate, available.rate), std::min(wanted.burst, available.burst),
                        std::min(wanted.concurrency, available.concurrency) };
    refillUnleased(row, now);
    Holder &holder = row.holders[id];
    const std::uint32_t tokens = row.unleased.consumeUpTo(subtractClamped(share.burst, outstandingShare(id, holder, now).burst));
    const Instant expiry = now + m_times.lease;
    holder.grants.push_back({ number, share, expiry, expiry + row.deadline });
    refillUnleased(row, now);
    return { row.contract.customer, row.contract.version, share, tokens };
}

// Refills in steps, because the unleased part grows whenever a grant expires.
void ShareAllocator::refillUnleased(CustomerRow &row, Instant now) const
{
    std::set<Instant> ends { now };
    for (const auto &[id, holder] : row.holders) {
        for (const Grant &it : holder.grants) {
            if (it.expiry > row.unleased.refilledAt() && it.expiry < now) {
                ends.insert(it.expiry);
            }
        }
    }
    for (const Instant end : ends) {
        const Share share = unleasedShare(row, row.unleased.refilledAt());
        row.unleased.refill(share.rate, share.burst, end);
    }
    row.unleased.refill(0, unleasedShare(row, now).burst, now);
}

Share ShareAllocator::unleasedShare(const CustomerRow &row, Instant now) const
{
    Share share = leasedTotal(row.contract);
    for (const auto &[id, holder] : row.holders) {
        const Share held = outstandingShare(id, holder, now);
        share.rate = subtractClamped(share.rate, held.rate);
        share.burst = subtractClamped(share.burst, held.burst);
    }
    return share;
}

Share ShareAllocator::targetShare(const CustomerRow &row, const HolderId &id, Instant now) const
{
    const Share total = leasedTotal(row.contract);
    const Share baseline = baselineTotal(row.contract);
    const std::uint64_t entries = std::max<std::uint64_t>(m_registered.size(), 1);
    Demands rate { {}, baseline.rate / entries };
    Demands concurrency { {}, baseline.concurrency / entries };
    std::size_t position = 0;
    std::set<InstanceId> idle(m_registered.begin(), m_registered.end());
    for (const auto &[other, holder] : row.holders) {
        if (now - holder.reportedAt >= m_times.demandLifetime) {
            continue;
        }
        idle.erase(other.entry);
        if (other == id) {
            position = rate.wanted.size();
        }
        rate.wanted.push_back(holder.demand.rate);
        concurrency.wanted.push_back(holder.demand.concurrency);
    }
    rate.idle = idle.size();
    concurrency.idle = idle.size();
    const auto round = static_cast<std::uint64_t>(now.time_since_epoch() / m_times.lease);
    return { divide(total.rate, rate).parts[position], divideWhole(total.burst, rate, position, round),
             divideWhole(total.concurrency, concurrency, position, round) };
}

// What other holders may still use is not available.
Share ShareAllocator::availableShare(const CustomerRow &row, const HolderId &id, Instant now) const
{
    Share available = leasedTotal(row.contract);
    for (const auto &[other, holder] : row.holders) {
        if (other != id) {
            const Share used = outstandingShare(other, holder, now);
            available.rate = subtractClamped(available.rate, used.rate);
            available.burst = subtractClamped(available.burst, used.burst);
            available.concurrency = subtractClamped(available.concurrency, used.concurrency);
        }
    }
    if (!mayGrantConcurrency(row, now)) {
        available.concurrency = 0;
    }
    return available;
}

Share ShareAllocator::outstandingShare(const HolderId &id, const Holder &holder, Instant now) const
{
    const LastRequest &last = m_requests.at(id);
    Share used;
    if (now < holder.heldUntil) {
        used.concurrency = holder.demand.heldConcurrency;
    }
    for (const Grant &it : holder.grants) {
        if (it.number != last.number && it.number != last.installed) {
            continue;
        }
        if (now < it.expiry) {
            used.rate = std::max(used.rate, it.share.rate);
            used.burst = std::max(used.burst, it.share.burst);
        }
        if (now < it.callsEndAt) {
            used.concurrency = std::max(used.concurrency, it.share.concurrency);
        }
    }
    return used;
}

bool ShareAllocator::mayGrantConcurrency(const CustomerRow &row, Instant now) const
{
    return m_unreported.empty() || now - m_leaderSince >= m_times.lease + row.deadline;
}

void ShareAllocator::eraseEnded(CustomerRow &row, Instant now) const
{
    for (auto it = row.holders.begin(); it != row.holders.end();) {
        Holder &holder = it->second;
        std::erase_if(holder.grants, [now](const Grant &grant) { return now >= grant.callsEndAt; });
        it = holder.grants.empty() && now >= holder.heldUntil ? row.holders.erase(it) : std::next(it);
    }
}

}
