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
/// Demand above 1 / HighDemandDivisor of the limit counts as high. The other half admits the calls that arrive before the reply.
constexpr std::uint64_t HighDemandDivisor = 2;
/// Use that has grown by at most 1 / RiseDivisor since the last request does not cause a request before the interval is over.
constexpr std::uint32_t RiseDivisor = 2;

bool isHigh(std::uint64_t demand, std::uint64_t limit)
{
    return demand > limit / HighDemandDivisor;
}

bool areTokensLow(const TokenBucket &bucket, std::uint32_t burst)
{
    return bucket.level() <= burst / HighDemandDivisor;
}

bool isLowered(const Contract &from, const Contract &to)
{
    return to.ratePerSecond < from.ratePerSecond || to.burst < from.burst || to.concurrency < from.concurrency;
}

}

CustomerLimits::CustomerLimits(InstanceId self, Incarnation incarnation, const LimitTimes &times, Instant now)
    : m_self(self)
    , m_incarnation(incarnation)
    , m_times(times)
    , m_baselines(std::move(self), times.freshnessLimit, now)
    , m_requestedAt(now)
    , m_intervalStart(now)
    , m_earlyRequests(now)
{
}

void CustomerLimits::setContract(const Contract &contract, Instant now)
{
    const auto [it, isNew] = m_rows.try_emplace(contract.customer);
    Row &row = it->second;
    if (isNew) {
        row.bucket = TokenBucket(now);
    }
    advance(row, now);
    if (row.contract && isLowered(*row.contract, contract)) {
        row.lease.reset();
    }
    row.contract = contract;
    advance(row, now);
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
    advance(it->second, now);
}

void CustomerLimits::setRegisteredEntries(std::span<const InstanceId> entries, Instant now)
{
    for (auto &[customer, row] : m_rows) {
        advance(row, now);
    }
    m_baselines.setRegisteredEntries(entries, now);
    for (auto &[customer, row] : m_rows) {
        advance(row, now);
    }
}

tl::expected<void, ResultCode> CustomerLimits::admit(const CustomerId &customer, Instant now)
{
    const auto it = m_rows.find(customer);
    if (it == m_rows.end() || !it->second.contract) {
        return tl::make_unexpected(ResultCode::NoContract);
    }
    Row &row = it->second;
    advance(row, now);
    ++row.attempts;
    const Share share = shareOf(row, now);
    const tl::expected<void, ResultCode> result = tryAdmit(row, share);
    if (!result && result.error() == ResultCode::ConcurrencyLimited) {
        ++row.concurrencyRefusals;
    }
    observeDemand(row, share, now);
    return result;
}

tl::expected<void, ResultCode> CustomerLimits::admitWaiting(const CustomerId &customer, Instant now)
{
    const auto it = m_rows.find(customer);
    if (it == m_rows.end() || !it->second.contract) {
        return tl::make_unexpected(ResultCode::NoContract);
    }
    advance(it->second, now);
    return tryAdmit(it->second, shareOf(it->second, now));
}

std::optional<Instant> CustomerLimits::shareExpectedUntil(const CustomerId &customer, Instant now) const
{
    const Instant until = m_requestedAt + m_times.replyTimeout;
    const auto it = m_rows.find(customer);
    const bool isReplyPending = it != m_rows.end() && it->second.isRequested && m_installedNumber != m_requestNumber && now < until;
    return isReplyPending ? std::optional(until) : std::nullopt;
}

tl::expected<void, ResultCode> CustomerLimits::tryAdmit(Row &row, const Share &share)
{
    if (row.inFlight >= share.concurrency) {
        return tl::make_unexpected(ResultCode::ConcurrencyLimited);
    }
    if (!row.bucket.tryConsume()) {
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

std::optional<ShareRequest> CustomerLimits::takeRequest(Instant now)
{
    const bool isIntervalOver = now - m_intervalStart >= m_times.requestInterval;
    if (!isIntervalOver && !mayRequestEarly(now)) {
        return std::nullopt;
    }
    bool isNeeded = m_isReportDue;
    for (auto &[customer, row] : m_rows) {
        advance(row, now);
        if (isDemandHigh(row, now)) {
            row.leaseNeededUntil = now + m_times.leaseRetention;
        }
        isNeeded = isNeeded || now < row.leaseNeededUntil;
    }
    std::optional<ShareRequest> request;
    if (isNeeded) {
        request = makeRequest(now);
    }
    recordReport(request.has_value(), now);
    if (isIntervalOver) {
        startInterval(now);
    }
    return request;
}

bool CustomerLimits::isRequestDue() const
{
    return m_hasDemandRisen;
}

void CustomerLimits::reportToNewLeader()
{
    m_isReportDue = true;
}

ShareRequest CustomerLimits::makeRequest(Instant now)
{
    ShareRequest request { m_self, m_incarnation, ++m_requestNumber, m_installedNumber, {} };
    for (auto &[customer, row] : m_rows) {
        advance(row, now);
        row.isRequested = false;
        if (now >= row.leaseNeededUntil && !isDemandHigh(row, now)) {
            // The reply would end this lease anyway. It must end before the request is sent, because calls that are admitted
            // under it afterwards would not be reported.
            row.lease.reset();
            advance(row, now);
            if (heldConcurrency(row, now) == 0) {
                continue;
            }
        }
        row.isRequested = true;
        request.demands.push_back(demandOf(customer, row, now));
    }
    m_requestedAt = now;
    return request;
}

bool CustomerLimits::applyReply(const ShareReply &reply, Instant now)
{
    const Instant expiry = m_requestedAt + reply.lease;
    if (reply.number == m_requestNumber) {
        m_isReportDue = false;
    }
    if (reply.number != m_requestNumber || reply.number == m_installedNumber || now >= expiry) {
        return false;
    }
    // The leader treats the earlier grants of all customers as returned.
    for (auto &[customer, row] : m_rows) {
        advance(row, now);
        row.lease.reset();
    }
    m_installedNumber = reply.number;
    for (const ShareGrant &it : reply.grants) {
        const auto found = m_rows.find(it.customer);
        if (found != m_rows.end() && found->second.contract && it.contractVersion >= found->second.contract->version) {
            found->second.lease = Lease { it.share, expiry };
            found->second.bucket.add(it.tokens);
        }
    }
    for (auto &[customer, row] : m_rows) {
        advance(row, now);
    }
    return true;
}

std::optional<Share> CustomerLimits::effectiveShare(const CustomerId &customer, Instant now)
{
    const auto it = m_rows.find(customer);
    if (it == m_rows.end() || !it->second.contract) {
        return std::nullopt;
    }
    advance(it->second, now);
    return shareOf(it->second, now);
}

std::uint32_t CustomerLimits::inFlight(const CustomerId &customer) const
{
    const auto it = m_rows.find(customer);
    return it == m_rows.end() ? 0 : it->second.inFlight;
}

// The time since the last refill counts at the baseline rate of its start: a baseline that has risen in between must not
// apply to the time before.
void CustomerLimits::advance(Row &row, Instant now)
{
    if (!row.contract) {
        row.bucket.refill(0, 0, now);
        return;
    }
    const MilliRate rate = m_baselines.shareOf(*row.contract, row.bucket.refilledAt()).rate;
    if (row.lease && row.lease->expiry <= now) {
        const Lease ended = *std::exchange(row.lease, std::nullopt);
        const std::uint32_t burst = m_baselines.shareOf(*row.contract, row.bucket.refilledAt()).burst + ended.share.burst;
        row.bucket.refill(rate + ended.share.rate, burst, ended.expiry);
    }
    const Share leased = row.lease ? row.lease->share : Share {};
    row.bucket.refill(rate + leased.rate, shareOf(row, now).burst, now);
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

// Compares the use with the whole limit in force, including the lease, since a lease that is nearly used up has to grow.
void CustomerLimits::observeDemand(Row &row, const Share &share, Instant now)
{
    const std::uint32_t use = row.inFlight + row.concurrencyRefusals;
    const bool hasUseRisen = isHigh(use, share.concurrency) && use > row.reportedUse + row.reportedUse / RiseDivisor;
    const bool haveTokensBecomeLow = !row.wereTokensLow && areTokensLow(row.bucket, share.burst);
    if (hasUseRisen || haveTokensBecomeLow) {
        row.leaseNeededUntil = now + m_times.leaseRetention;
        m_hasDemandRisen = true;
    }
}

bool CustomerLimits::isDemandHigh(const Row &row, Instant now) const
{
    const std::uint32_t use = row.peakInFlight + row.concurrencyRefusals;
    if (!row.contract || (row.attempts == 0 && use == 0)) {
        return use > 0;
    }
    const Share baseline = m_baselines.shareOf(*row.contract, now);
    return isHigh(use, baseline.concurrency) || isHigh(intervalDemand(row, now).rate, baseline.rate)
        || (row.attempts > 0 && areTokensLow(row.bucket, baseline.burst));
}

bool CustomerLimits::mayRequestEarly(Instant now)
{
    // Only the reply to the latest request is accepted, so another request would make the pending reply useless.
    const bool isAnswered = m_installedNumber == m_requestNumber;
    if (!m_hasDemandRisen || !isAnswered) {
        return false;
    }
    m_earlyRequests.refill(MilliRate { m_times.earlyRequestRate } * MilliPerCall, m_times.earlyRequestBurst, now);
    return m_earlyRequests.tryConsume();
}

ShareDemand CustomerLimits::demandOf(const CustomerId &customer, const Row &row, Instant now) const
{
    ShareDemand demand = intervalDemand(row, now);
    if (now - m_intervalStart < m_times.requestInterval) {
        // An incomplete interval contains only a part of the demand.
        demand.rate = std::max(demand.rate, row.previousRate);
        demand.concurrency = std::max(demand.concurrency, row.previousConcurrency);
    }
    demand.customer = customer;
    demand.heldConcurrency = heldConcurrency(row, now);
    return demand;
}

ShareDemand CustomerLimits::intervalDemand(const Row &row, Instant now) const
{
    // Over less than an interval, a few calls would count as a high rate, and the first of several entries would get the whole
    // remaining share.
    const auto span = static_cast<std::uint64_t>(std::max(now - m_intervalStart, m_times.requestInterval).count());
    const std::uint32_t refused = row.contract ? std::min(row.concurrencyRefusals, row.contract->concurrency) : 0;
    ShareDemand demand;
    demand.rate = row.attempts * MilliPerCall * MicrosPerSecond / span;
    demand.concurrency = row.peakInFlight + refused;
    return demand;
}

void CustomerLimits::recordReport(bool isSent, Instant now)
{
    for (auto &[customer, row] : m_rows) {
        row.reportedUse = isSent ? row.peakInFlight + row.concurrencyRefusals : 0;
        row.wereTokensLow = isSent && row.contract && row.attempts > 0 && areTokensLow(row.bucket, shareOf(row, now).burst);
    }
    m_hasDemandRisen = false;
}

void CustomerLimits::startInterval(Instant now)
{
    for (auto &[customer, row] : m_rows) {
        const ShareDemand demand = intervalDemand(row, now);
        row.previousRate = demand.rate;
        row.previousConcurrency = demand.concurrency;
        row.attempts = 0;
        row.concurrencyRefusals = 0;
        row.peakInFlight = row.inFlight;
    }
    m_intervalStart = now;
}

}
