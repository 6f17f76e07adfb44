#include "coordination/quotaexchange.h"

#include <algorithm>

namespace Galenabarrow::Coordination
{

QuotaExchange::QuotaExchange()
    : m_log("core")
{
}

void QuotaExchange::setConfig(const Routing::RoutingConfig &config, LogIndex configAt, Instant now)
{
    if (configAt == m_configAt) {
        return;
    }
    m_configAt = configAt;
    const Quota::AccountLimits limits = Quota::accountLimits(config);
    m_ledger.setLimits(limits, now);
    m_tags = accountTags(limits);
}

void QuotaExchange::receiveUsage(const Wire::Envelope &envelope, Instant now)
{
    const Result<Quota::Usage> usage = decodeQuotaUsage(envelope.payload, m_tags);
    if (!usage) {
        m_log.warn("frame_refused", { { "detail", usage.error().detail } });
        return;
    }
    m_ledger.recordUsage(*usage, now);
}

void QuotaExchange::receiveTotals(const Wire::Envelope &envelope, Instant now)
{
    const Result<Quota::Totals> totals = decodeQuotaTotals(envelope.payload, m_tags);
    if (!totals) {
        m_log.warn("frame_refused", { { "detail", totals.error().detail } });
        return;
    }
    m_ledger.recordPeer(envelope.sender, envelope.incarnation, *totals, now);
}

bool QuotaExchange::isDue(Instant now) const
{
    return (m_ledger.hasLimits() || !m_sent.empty()) && now - m_takenAt >= Interval;
}

void QuotaExchange::setReachable(double share, Instant now)
{
    m_ledger.setReachable(share, now);
}

std::optional<std::vector<std::uint8_t>> QuotaExchange::takeTotals()
{
    const std::optional<Quota::Totals> totals = m_ledger.takeTotals();
    return totals ? std::optional(encode(*totals)) : std::nullopt;
}

std::optional<std::vector<std::uint8_t>> QuotaExchange::takeFractions(const InstanceId &self, Instant now)
{
    m_takenAt = now;
    Quota::Fractions fractions = m_ledger.fractions(now);
    for (const Quota::LimitEvent &it : m_ledger.takeEvents()) {
        m_log.info(it.isLimited ? "account_limited" : "account_limit_ended", { { "account", it.account.value() } });
    }
    const bool isRepetitionDue = !fractions.empty() && now - m_sentAt >= RepeatInterval;
    if (!Quota::differs(m_sent, fractions) && !isRepetitionDue) {
        return std::nullopt;
    }
    m_sent = std::move(fractions);
    m_sentAt = now;
    Wire::Envelope envelope;
    envelope.sender = self;
    envelope.senderAddress = self.value();
    envelope.kind = Wire::MessageKind::QuotaFractions;
    envelope.payload = encode(m_sent);
    return Wire::encode(envelope);
}

std::optional<QuotaStatus> QuotaExchange::status() const
{
    if (!m_ledger.hasLimits()) {
        return std::nullopt;
    }
    const Quota::AccountUsage &counters = m_ledger.counters();
    return QuotaStatus { static_cast<std::uint64_t>(std::max<std::int64_t>(0, counters.admitted)),
                         static_cast<std::uint64_t>(std::max<std::int64_t>(0, counters.rejected)), m_ledger.limitedCount() };
}

}
