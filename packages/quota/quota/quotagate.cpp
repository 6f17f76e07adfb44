#include "quota/quotagate.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Galenabarrow::Quota
{

namespace
{

/// The window of the quota, over which the rate before the last contact is averaged.
constexpr Duration Window = std::chrono::seconds(5);
/// Requests in a window that entries without contact to the core may admit beyond their earlier rate, over all entries.
constexpr double StaleAllowance = 10;
/// The random arrival of few requests must not count as a raised demand. Plus a random part of a token, so that of accounts with
/// few requests at each entry a part is admitted.
constexpr double GuardTokens = 0.5;
/// For accounts that were not limited at the last contact: they were below their rate, and demand varies.
constexpr double UnlimitedFactor = 1.5;
constexpr double GuardFactor = 1.5;
/// Requests beyond the burst that one entry admits at once. It exceeds tolerance(), so that random arrivals at a single entry are
/// judged by the core alone, and is below the 20 that the bound of the quota allows.
constexpr double LocalTolerance = 15;
/// The same in seconds of the rate, of the half second that the bound allows.
constexpr double LocalRateTolerance = 0.1;
constexpr double MaxRetrySeconds = 5;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

}

QuotaGate::QuotaGate(RandomSource &random)
    : m_random(random)
{
}

void QuotaGate::setAccounts(const AccountLimits &limits, Instant now)
{
    std::erase_if(m_accounts, [&limits](const auto &it) { return !limits.contains(it.first); });
    for (const auto &[name, limit] : limits) {
        const auto [it, isNew] = m_accounts.try_emplace(name);
        Account &account = it->second;
        account.limit = limit;
        if (isNew) {
            account.level = capacity(limit);
            account.refilledAt = now;
            account.phase = m_random.unit();
        }
        account.level = std::min(account.level, capacity(limit));
    }
}

bool QuotaGate::hasLimits() const
{
    return !m_accounts.empty();
}

double QuotaGate::capacity(const AccountLimit &limit)
{
    return limit.burst + LocalTolerance + LocalRateTolerance * limit.perSecond;
}

Duration QuotaGate::contactAge(Instant now) const
{
    return m_contactAt ? now - *m_contactAt : Duration::zero();
}

bool QuotaGate::hasFractions(Instant now) const
{
    return now - m_appliedAt <= FractionLifetime;
}

QuotaGate::Decision QuotaGate::admit(const AccountId &name, Instant now)
{
    const auto it = m_accounts.find(name);
    if (it == m_accounts.end()) {
        return {};
    }
    Account &account = it->second;
    m_usageSince = m_usageSince.value_or(now);
    account.level = std::min(capacity(account.limit), account.level + seconds(now - account.refilledAt) * account.limit.perSecond);
    account.refilledAt = now;
    // First, so that the other rules do not count a request that this one rejects.
    if (account.level < 1) {
        return reject(account, (1 - account.level) / account.limit.perSecond);
    }
    const Duration age = contactAge(now);
    if (age <= GuardAfter) {
        account.rateBefore.reset();
    } else if (!account.rateBefore) {
        account.rateBefore = rateBeforeContact(account);
        account.guardLevel = GuardTokens + account.phase;
        account.guardedAt = *m_contactAt + GuardAfter;
    }
    if (age > StaleAfter) {
        if (!passesRateBefore(account, now)) {
            return reject(account, 1 / *account.rateBefore);
        }
    } else if (!passesFraction(account, now) || (age > GuardAfter && !passesGuard(account, now))) {
        return reject(account, 1 / std::max(account.fraction, 1 / MaxRetrySeconds));
    }
    account.level -= 1;
    ++account.admitted;
    ++m_counters.admitted;
    const std::int64_t number = now.time_since_epoch() / SlotLength;
    Slot &slot = account.history.at(static_cast<std::size_t>(number) % SlotCount);
    if (slot.number != number) {
        slot = Slot { number, 0 };
    }
    ++slot.admitted;
    return {};
}

bool QuotaGate::passesFraction(Account &account, Instant now)
{
    if (account.fraction >= 1 || !hasFractions(now)) {
        return true;
    }
    account.phase += account.fraction;
    if (account.phase < 1) {
        return false;
    }
    account.phase -= std::floor(account.phase);
    return true;
}

bool QuotaGate::passesGuard(Account &account, Instant now) const
{
    account.guardLevel += seconds(now - account.guardedAt) * *account.rateBefore * GuardFactor;
    account.guardedAt = now;
    if (account.guardLevel < 1) {
        return false;
    }
    account.guardLevel -= 1;
    return true;
}

bool QuotaGate::passesRateBefore(Account &account, Instant now) const
{
    // The random phase from before makes the sum over all entries exact on average, also for rates far below one request.
    const double limit = 1 + *account.rateBefore;
    const Instant since = std::max(account.guardedAt, *m_contactAt + StaleAfter);
    account.phase = std::min(limit, account.phase + seconds(now - since) * *account.rateBefore);
    account.guardedAt = now;
    if (account.phase < 1) {
        return false;
    }
    account.phase -= 1;
    return true;
}

double QuotaGate::rateBeforeContact(const Account &account) const
{
    const std::int64_t last = m_contactAt->time_since_epoch() / SlotLength;
    const std::int64_t slots = Window / SlotLength;
    std::int64_t admitted = 0;
    for (const Slot &it : account.history) {
        admitted += it.number <= last && it.number > last - slots ? it.admitted : 0;
    }
    const double allowance = StaleAllowance / static_cast<double>(m_entryCount);
    const double factor = account.fraction < 1 ? 1 : UnlimitedFactor;
    return factor * (static_cast<double>(admitted) + allowance) / seconds(Window);
}

QuotaGate::Decision QuotaGate::reject(Account &account, double retrySeconds)
{
    ++account.rejected;
    ++m_counters.rejected;
    const double limited = std::min(retrySeconds, MaxRetrySeconds);
    return { false, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(limited)) };
}

void QuotaGate::giveBack(const AccountId &name)
{
    const auto it = m_accounts.find(name);
    if (it == m_accounts.end()) {
        return;
    }
    Account &account = it->second;
    account.level = std::min(capacity(account.limit), account.level + 1);
    --account.admitted;
    ++m_counters.givenBack;
    m_usageSince = m_usageSince.value_or(account.refilledAt);
}

bool QuotaGate::hasUsage() const
{
    return m_usageSince.has_value();
}

Usage QuotaGate::takeUsage(Instant now)
{
    Usage usage;
    if (!m_usageSince) {
        return usage;
    }
    usage.period = now - *m_usageSince;
    m_usageSince.reset();
    for (auto &[name, account] : m_accounts) {
        if (account.admitted != 0 || account.rejected != 0) {
            usage.accounts.push_back({ name, std::exchange(account.admitted, 0), std::exchange(account.rejected, 0) });
        }
    }
    return usage;
}

void QuotaGate::recordContact(std::size_t entryCount, Instant now)
{
    m_contactAt = now;
    m_entryCount = std::max<std::size_t>(1, entryCount);
}

void QuotaGate::apply(const Fractions &fractions, Instant now)
{
    m_appliedAt = now;
    for (auto &[name, account] : m_accounts) {
        account.fraction = 1;
    }
    for (const AccountFraction &it : fractions) {
        if (const auto found = m_accounts.find(it.account); found != m_accounts.end()) {
            found->second.fraction = std::clamp(it.fraction, 0.0, 1.0);
        }
    }
}

std::size_t QuotaGate::limitedCount(Instant now) const
{
    const auto isLimited = [](const auto &it) { return it.second.fraction < 1; };
    return hasFractions(now) ? static_cast<std::size_t>(std::count_if(m_accounts.begin(), m_accounts.end(), isLimited)) : 0;
}

const QuotaGate::Counters &QuotaGate::counters() const
{
    return m_counters;
}

std::vector<LimitEvent> QuotaGate::takeEvents(Instant now)
{
    std::vector<LimitEvent> events;
    for (auto &[name, account] : m_accounts) {
        const bool isLimited = account.fraction < 1 && hasFractions(now);
        if (std::exchange(account.wasLimited, isLimited) != isLimited) {
            events.push_back({ name, isLimited });
        }
    }
    return events;
}

}
