#include "quota/quotaledger.h"

#include <algorithm>
#include <utility>

namespace Galenabarrow::Quota
{

namespace
{

/// Counts that cover more than this were made out of contact, when the reachable share had already left a part of the limit to
/// those entries. Charging them as well would reject requests within the quota after the contact is restored.
constexpr Duration MaxPeriod = std::chrono::milliseconds(1500);
/// Time until a lost entry is known to be lost, and until it limits itself.
constexpr Duration LossDelay = std::chrono::milliseconds(1500);
/// A peer sends totals every 100 ms while an account is limited.
constexpr Duration PeerSilence = std::chrono::milliseconds(250);
/// Entries of a peer that has been silent for longer have either connected elsewhere or count as lost.
constexpr Duration MaxAssumedSilence = std::chrono::milliseconds(1800);
/// Requests a second of a peer from which it sends totals with nearly every interval, so that silence has a meaning.
constexpr double MinAssumedRate = 15;
constexpr double RateSmoothing = 0.3;
/// A silent peer may have raised its fractions, since it does not get the counts of this instance either.
constexpr double AssumedFactor = 1.5;
/// Part of the rate that is admitted also while a debt is repaid.
constexpr double MinRateFactor = 0.1;
/// Level at which a limited account is held, in seconds of its rate. Near a full bucket, tokens would be lost when demand varies.
constexpr double TargetDebtSeconds = 0.1;
/// Debt beyond this many seconds of the rate is dropped, so that an account is not blocked for longer.
constexpr double MaxDebtSeconds = 2;
constexpr double MaxDebtRequests = 20;
/// Slots of the half second over which demand is compared with the rate.
constexpr std::int64_t DemandSlots = 5;
/// Slots of the second over which demand must be below the rate before a limitation ends.
constexpr std::int64_t EndSlots = 10;
/// Slots over which the start of a sudden demand is recognized.
constexpr std::int64_t OnsetSlots = 2;
/// Fewer requests say little about the demand; a longer period is used.
constexpr double MinDemandCount = 6;
/// This many requests within half a second are usual for an account with a rate of a few a second.
constexpr double MinExcessCount = 2;

/// Totals are sent modulo 2^32.
std::int64_t difference(std::int64_t a, std::int64_t b)
{
    return static_cast<std::int32_t>(static_cast<std::uint32_t>(a) - static_cast<std::uint32_t>(b));
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

}

void QuotaLedger::setLimits(const AccountLimits &limits, Instant now)
{
    std::erase_if(m_accounts, [&limits](const auto &it) { return !limits.contains(it.first); });
    for (const auto &[name, limit] : limits) {
        const auto [it, isNew] = m_accounts.try_emplace(name);
        Account &account = it->second;
        if (isNew) {
            account.level = limit.burst * m_reachable;
            account.refilledAt = now;
        } else {
            refill(account, now);
        }
        account.limit = limit;
        account.level = std::min(account.level, limit.burst * m_reachable);
    }
}

bool QuotaLedger::hasLimits() const
{
    return !m_accounts.empty();
}

void QuotaLedger::refill(Account &account, Instant now) const
{
    const double filled = account.level + seconds(now - account.refilledAt) * account.limit.perSecond * m_reachable;
    account.level = std::min(filled, account.limit.burst * m_reachable);
    account.refilledAt = now;
}

double QuotaLedger::maxDebt(const Account &account)
{
    return MaxDebtSeconds * account.limit.perSecond + MaxDebtRequests;
}

void QuotaLedger::charge(Account &account, const AccountUsage &usage, Instant now) const
{
    refill(account, now);
    account.level = std::max(-maxDebt(account), account.level - static_cast<double>(usage.admitted));
    const std::int64_t number = now.time_since_epoch() / SlotLength;
    Slot &slot = account.demand.at(static_cast<std::size_t>(number) % SlotCount);
    if (slot.number != number) {
        slot = Slot { number, 0 };
    }
    slot.count += static_cast<double>(usage.admitted + usage.rejected);
}

QuotaLedger::Demand QuotaLedger::demand(const Account &account, std::int64_t slots, Instant now)
{
    const Duration elapsed = now.time_since_epoch() % SlotLength;
    const std::int64_t current = now.time_since_epoch() / SlotLength;
    double count = 0;
    for (const Slot &it : account.demand) {
        count += it.number <= current && it.number >= current - slots ? it.count : 0;
    }
    count = std::max(0.0, count);
    return { count, count / seconds(slots * SlotLength + elapsed) };
}

void QuotaLedger::recordUsage(const Usage &usage, Instant now)
{
    for (const AccountUsage &it : usage.accounts) {
        const auto found = m_accounts.find(it.account);
        if (found == m_accounts.end()) {
            continue;
        }
        m_counters.admitted += it.admitted;
        m_counters.rejected += it.rejected;
        if (usage.period > MaxPeriod) {
            continue;
        }
        Account &account = found->second;
        charge(account, it, now);
        account.admitted += it.admitted;
        account.rejected += it.rejected;
        account.isChanged = true;
    }
}

void QuotaLedger::recordPeer(const InstanceId &instance, Incarnation incarnation, const Totals &totals, Instant now)
{
    Peer &peer = m_peers[instance];
    if (peer.incarnation != incarnation) {
        peer = Peer { incarnation, 0, now, now, {} };
    }
    if (totals.number <= peer.number) {
        return;
    }
    const Duration elapsed = now - peer.receivedAt;
    const bool isGap = totals.number != peer.number + 1 && (peer.number == 0 || elapsed > MaxPeriod);
    peer.number = totals.number;
    peer.receivedAt = now;
    peer.assumedAt = now;
    for (const AccountUsage &it : totals.accounts) {
        PeerAccount &known = peer.accounts[it.account];
        const AccountUsage change { it.account, difference(it.admitted, known.totals.admitted),
                                    difference(it.rejected, known.totals.rejected) };
        known.totals = it;
        const double assumed = std::exchange(known.assumed, 0);
        const auto found = m_accounts.find(it.account);
        if (found == m_accounts.end() || isGap) {
            continue;
        }
        const double rate = static_cast<double>(change.admitted) / std::max(seconds(SlotLength), seconds(now - known.changedAt));
        known.changedAt = now;
        known.rate += RateSmoothing * (rate - known.rate);
        Account &account = found->second;
        charge(account, change, now);
        account.level += assumed;
        account.assumed = std::max(0.0, account.assumed - assumed);
    }
}

void QuotaLedger::setReachable(double share, Instant now)
{
    if (share == m_reachable) {
        return;
    }
    const double lost = std::max(0.0, m_reachable - share);
    for (auto &[name, account] : m_accounts) {
        refill(account, now);
        account.level -= std::max(0.0, lossDebt(account, lost, now) - std::exchange(account.assumed, 0));
        account.level = std::clamp(account.level, -maxDebt(account), account.limit.burst * share);
    }
    m_reachable = share;
}

double QuotaLedger::lossDebt(const Account &account, double lost, Instant now) const
{
    const double rate = account.limit.perSecond;
    if (!account.isLimited || now - account.limitedAt > MaxAssumedSilence) {
        return lost * rate * seconds(LossDelay);
    }
    // The lost entries had no fraction yet, and presumably had the same demand as the others.
    return lost * std::max(rate, demand(account, DemandSlots, now).perSecond / m_reachable) * seconds(LossDelay);
}

void QuotaLedger::assumeSilentPeers(Instant now)
{
    for (auto &[instance, peer] : m_peers) {
        const Duration silence = now - peer.receivedAt;
        if (silence <= PeerSilence || silence > MaxAssumedSilence) {
            continue;
        }
        for (auto &[name, known] : peer.accounts) {
            const auto found = m_accounts.find(name);
            if (found != m_accounts.end() && found->second.isLimited && known.rate >= MinAssumedRate) {
                const double count = AssumedFactor * known.rate * seconds(now - peer.assumedAt);
                known.assumed += count;
                found->second.assumed += count;
                found->second.level -= count;
            }
        }
        peer.assumedAt = now;
    }
}

std::optional<Totals> QuotaLedger::takeTotals()
{
    Totals totals;
    for (auto &[name, account] : m_accounts) {
        if (std::exchange(account.isChanged, false)) {
            totals.accounts.push_back({ name, account.admitted, account.rejected });
        }
    }
    if (totals.accounts.empty()) {
        return std::nullopt;
    }
    totals.number = ++m_lastNumber;
    return totals;
}

double QuotaLedger::recentDemand(const Account &account, std::int64_t slots, Instant now)
{
    const Demand recent = demand(account, slots, now);
    return (recent.count < MinDemandCount ? demand(account, EndSlots, now) : recent).perSecond;
}

double QuotaLedger::targetLevel(const Account &account) const
{
    return -std::max(tolerance(account.limit) / 2, TargetDebtSeconds * account.limit.perSecond) * m_reachable;
}

void QuotaLedger::updateLimited(const AccountId &name, Account &account, Instant now)
{
    const bool wasLimited = account.isLimited;
    const Demand recent = demand(account, wasLimited ? EndSlots : DemandSlots, now);
    const bool isAboveRate = recent.perSecond > account.limit.perSecond * m_reachable && recent.count > MinExcessCount;
    if (wasLimited) {
        account.isLimited = isAboveRate || account.level < targetLevel(account);
    } else {
        account.isLimited = isAboveRate && account.level < -tolerance(account.limit) * m_reachable;
    }
    if (account.isLimited != wasLimited) {
        account.limitedAt = now;
        account.assumed = 0;
        m_events.push_back({ name, account.isLimited });
    }
}

Fractions QuotaLedger::fractions(Instant now)
{
    assumeSilentPeers(now);
    Fractions fractions;
    for (auto &[name, account] : m_accounts) {
        refill(account, now);
        updateLimited(name, account, now);
        if (!account.isLimited) {
            continue;
        }
        // The difference from the target level is repaid, or used up, within a second.
        const double share = account.limit.perSecond * m_reachable;
        const double rate = std::max(share * MinRateFactor, share + account.level - targetLevel(account));
        const double wanted = std::max(recentDemand(account, DemandSlots, now), recentDemand(account, OnsetSlots, now));
        if (wanted > rate) {
            fractions.push_back({ name, rate / wanted });
        }
    }
    return fractions;
}

std::vector<LimitEvent> QuotaLedger::takeEvents()
{
    return std::exchange(m_events, {});
}

std::size_t QuotaLedger::limitedCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_accounts.begin(), m_accounts.end(), [](const auto &it) { return it.second.isLimited; }));
}

const AccountUsage &QuotaLedger::counters() const
{
    return m_counters;
}

}
