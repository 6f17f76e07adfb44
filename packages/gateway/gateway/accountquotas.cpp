#include "gateway/accountquotas.h"

#include <utility>

#include "report/metricstext.h"

namespace Galenabarrow::Gateway
{

AccountQuotas::AccountQuotas(Net::EventLoop &loop, RandomSource &random)
    : m_loop(loop)
    , m_log("entry")
    , m_gate(random)
{
}

void AccountQuotas::setSender(std::function<bool()> isConnected, UsageSender sender)
{
    m_isConnected = std::move(isConnected);
    m_sender = std::move(sender);
}

void AccountQuotas::setConfig(const Routing::RoutingConfig &config)
{
    const Quota::AccountLimits limits = Quota::accountLimits(config);
    m_gate.setAccounts(limits, m_loop.now());
    m_tags = Coordination::accountTags(limits);
}

std::optional<Duration> AccountQuotas::rejection(const AccountId &account)
{
    if (!m_gate.hasLimits()) {
        return std::nullopt;
    }
    const Quota::QuotaGate::Decision decision = m_gate.admit(account, m_loop.now());
    scheduleReport();
    return decision.isAdmitted ? std::nullopt : std::optional(decision.retryAfter);
}

void AccountQuotas::giveBack(const AccountId &account)
{
    m_gate.giveBack(account);
    scheduleReport();
}

void AccountQuotas::recordUpdate(std::optional<Duration> confirmedAge, unsigned entryCount)
{
    if (!m_gate.hasLimits()) {
        return;
    }
    if (confirmedAge && *confirmedAge <= MaxConfirmationAge) {
        m_gate.recordContact(entryCount, m_loop.now());
    }
    logEvents(); // fractions may have expired
    scheduleReport();
}

void AccountQuotas::receiveFractions(std::span<const std::uint8_t> payload)
{
    const Result<Quota::Fractions> fractions = Coordination::decodeQuotaFractions(payload, m_tags);
    if (!fractions) {
        m_log.warn("frame_refused", { { "detail", fractions.error().detail } });
        return;
    }
    m_gate.apply(*fractions, m_loop.now());
    logEvents();
}

void AccountQuotas::scheduleReport()
{
    // Without a connection, the next update schedules the report.
    if (m_isReportScheduled || !m_gate.hasUsage() || !m_isConnected || !m_isConnected()) {
        return;
    }
    m_isReportScheduled = true;
    m_loop.after(ReportDelay, [this, lifetime = std::weak_ptr(m_lifetime)] {
        if (!lifetime.expired()) {
            report();
        }
    });
}

void AccountQuotas::report()
{
    m_isReportScheduled = false;
    if (!m_isConnected()) {
        return;
    }
    const Quota::Usage usage = m_gate.takeUsage(m_loop.now());
    if (!usage.accounts.empty()) {
        m_sender(Coordination::encode(usage));
    }
}

void AccountQuotas::logEvents()
{
    for (const Quota::LimitEvent &it : m_gate.takeEvents(m_loop.now())) {
        m_log.info(it.isLimited ? "account_limited" : "account_limit_ended", { { "account", it.account.value() } });
    }
}

std::string AccountQuotas::metrics() const
{
    if (!m_gate.hasLimits()) {
        return {};
    }
    using Kind = Report::MetricsText::Kind;
    Report::MetricsText text;
    text.family("galenabarrow_gateway_quota_requests_total", Kind::Counter, "Requests of accounts with a limit.");
    text.sample({ { "decision", "admitted" } }, m_gate.counters().admitted);
    text.sample({ { "decision", "rejected" } }, m_gate.counters().rejected);
    text.sample({ { "decision", "given_back" } }, m_gate.counters().givenBack);
    text.family("galenabarrow_gateway_limited_accounts", Kind::Gauge, "Accounts of which the core lets this entry admit only a part.");
    text.sample({}, std::uint64_t { m_gate.limitedCount(m_loop.now()) });
    return text.text();
}

}
