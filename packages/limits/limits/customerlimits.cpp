#include "limits/customerlimits.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Galenabarrow::Limits
{

namespace
{

constexpr std::uint64_t MilliPerCall = 1000;
constexpr std::uint64_t MicrosPerSecond = 1'000'000;

bool isLowered(const Contract &from, const Contract &to)
{
    return to.ratePerSecond < from.ratePerSecond || to.burst < from.burst || to.concurrency < from.concurrency;
}

}

CustomerLimits::CustomerLimits(InstanceId self, Incarnation incarnation, const LimitTimes &times, Instant now)
    : m_self(self)
    , m_incarnation(incarnation)
    , m_baselines(std::move(self), times.freshnessLimit, now)
    , m_requestedAt(now)
{
}

void CustomerLimits::setContract(const Contract &contract, Instant now)
{
    const auto [it, isNew] = m_rows.try_emplace(contract.customer);
    Row &row = it->second;
    if (isNew) {
        row.bucket = TokenBucket(now);
    }
    settle(row, now);
    if (row.contract && isLowered(*row.contract, contract)) {
        row.lease.reset();
    }
    row.contract = contract;
    settle(row, now);
}

void CustomerLimits::removeContract(const CustomerId &customer, Instant now)
{
    const auto it = m_rows.find(customer);
    if (it == m_rows.end()) {
        return;
    }
    if (it->second.inFlight == 0) {
        m_rows.erase(it);
        return;
    }
    it->second.contract.reset();
    it->second.lease.reset();
    settle(it->second, now);
}

void CustomerLimits::setRegisteredEntries(std::span<const InstanceId> entries, Instant now)
{
    for (auto &[customer, row] : m_rows) {
        settle(row, now);
    }
    m_baselines.setRegisteredEntries(entries, now);
    for (auto &[customer, row] : m_rows) {
        settle(row, now);
    }
}

tl::expected<void, ResultCode> CustomerLimits::admit(const CustomerId &customer, Instant now)
{
    const auto it = m_rows.find(customer);
    if (it == m_rows.end() || !it->second.contract) {
        return tl::make_unexpected(ResultCode::NoContract);
    }
    Row &row = it->second;
    settle(row, now);
    ++row.asked;
    if (row.inFlight >= shareOf(row, now).concurrency) {
        ++row.refusedConcurrency;
        return tl::make_unexpected(ResultCode::ConcurrencyLimited);
    }
    if (!row.bucket.take()) {
        return tl::make_unexpected(ResultCode::RateLimited);
    }
    ++row.inFlight;
    row.peakInFlight = std::max(row.peakInFlight, row.inFlight);
    return {};
}

void CustomerLimits::release(const CustomerId &customer, Instant)
{
    const auto it = m_rows.find(customer);
    assert(it != m_rows.end() && it->second.inFlight > 0);
    Row &row = it->second;
    --row.inFlight;
    if (!row.contract && row.inFlight == 0) {
        m_rows.erase(it);
    }
}

ShareRequest CustomerLimits::makeRequest(Instant now)
{
    ShareRequest request { m_self, m_incarnation, ++m_number, m_installed, {} };
    for (auto &[customer, row] : m_rows) {
        settle(row, now);
        if (std::optional<ShareDemand> demand = takeDemand(customer, row, now)) {
            request.demands.push_back(std::move(*demand));
        }
    }
    m_requestedAt = now;
    return request;
}

bool CustomerLimits::applyGrant(const ShareReply &reply, Instant now)
{
    const Instant expiry = m_requestedAt + reply.lease;
    if (reply.number != m_number || reply.number == m_installed || now >= expiry) {
        return false;
    }
    // The leader counts the earlier grants of all customers as given back.
    for (auto &[customer, row] : m_rows) {
        settle(row, now);
        row.lease.reset();
    }
    m_installed = reply.number;
    for (const ShareGrant &it : reply.grants) {
        const auto found = m_rows.find(it.customer);
        if (found != m_rows.end() && found->second.contract && it.contractVersion >= found->second.contract->version) {
            found->second.lease = Lease { it.share, expiry };
        }
    }
    for (auto &[customer, row] : m_rows) {
        settle(row, now);
    }
    return true;
}

std::optional<Share> CustomerLimits::shareInForce(const CustomerId &customer, Instant now)
{
    const auto it = m_rows.find(customer);
    if (it == m_rows.end() || !it->second.contract) {
        return std::nullopt;
    }
    settle(it->second, now);
    return shareOf(it->second, now);
}

std::uint32_t CustomerLimits::inFlight(const CustomerId &customer) const
{
    const auto it = m_rows.find(customer);
    return it == m_rows.end() ? 0 : it->second.inFlight;
}

// Brings the bucket up to date and ends a lease at its expiry. The time since the last call counts with the baseline at
// its start: a baseline that rose in between must not count from before it rose.
void CustomerLimits::settle(Row &row, Instant now)
{
    if (!row.contract) {
        row.bucket.settle(0, 0, now);
        return;
    }
    const MilliRate rate = m_baselines.shareOf(*row.contract, row.bucket.settledAt()).rate;
    if (row.lease && row.lease->expiry <= now) {
        const Lease ended = *std::exchange(row.lease, std::nullopt);
        const std::uint32_t burst = m_baselines.shareOf(*row.contract, row.bucket.settledAt()).burst + ended.share.burst;
        row.bucket.settle(rate + ended.share.rate, burst, ended.expiry);
    }
    const Share leased = row.lease ? row.lease->share : Share {};
    row.bucket.settle(rate + leased.rate, shareOf(row, now).burst, now);
}

Share CustomerLimits::shareOf(const Row &row, Instant now) const
{
    Share share = m_baselines.shareOf(*row.contract, now);
    if (row.lease && now < row.lease->expiry) {
        share.rate += row.lease->share.rate;
        share.burst += row.lease->share.burst;
        share.concurrency += row.lease->share.concurrency;
    }
    return share;
}

std::uint32_t CustomerLimits::heldConcurrency(const Row &row, Instant now) const
{
    const std::uint32_t baseline = row.contract ? m_baselines.shareOf(*row.contract, now).concurrency : 0;
    const std::uint32_t leased = row.lease ? row.lease->share.concurrency : 0;
    return std::max(leased, row.inFlight - std::min(row.inFlight, baseline));
}

std::optional<ShareDemand> CustomerLimits::takeDemand(const CustomerId &customer, Row &row, Instant now)
{
    const auto span = static_cast<std::uint64_t>(std::max<Duration::rep>((now - m_requestedAt).count(), 1));
    const std::uint32_t refused = row.contract ? std::min(row.refusedConcurrency, row.contract->concurrency) : 0;
    ShareDemand demand { customer, row.asked * MilliPerCall * MicrosPerSecond / span, row.peakInFlight + refused,
                         heldConcurrency(row, now) };
    row.asked = 0;
    row.refusedConcurrency = 0;
    row.peakInFlight = row.inFlight;
    if (demand.rate == 0 && demand.concurrency == 0 && demand.heldConcurrency == 0) {
        return std::nullopt;
    }
    return demand;
}

}
