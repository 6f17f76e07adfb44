#pragma once

#include "base/log.h"
#include "coordination/quotacodec.h"
#include "quota/quotaledger.h"
#include "wire/envelope.h"

namespace Galenabarrow::Coordination
{

/// Quotas at a core instance, for its metrics.
struct QuotaStatus {
    std::uint64_t admitted = 0;
    std::uint64_t rejected = 0;
    std::uint64_t limitedAccounts = 0;
};

/// Decides which messages about account quotas a core instance sends, and when. Has no sockets. Without an account that has a limit
/// nothing is ever due.
class QuotaExchange
{
public:
    /// Shortest time between two messages of a kind.
    static constexpr Duration Interval = std::chrono::milliseconds(100);
    /// Fractions below 1 are repeated after this time, for entries that have just connected.
    static constexpr Duration RepeatInterval = std::chrono::milliseconds(400);

    QuotaExchange();

    /// Takes the limits from \p config; has no effect when \p configAt, the log entry of its last change, is known.
    void setConfig(const Routing::RoutingConfig &config, LogIndex configAt, Instant now);
    void receiveUsage(const Wire::Envelope &envelope, Instant now);
    void receiveTotals(const Wire::Envelope &envelope, Instant now);
    /// Whether takeTotals() and takeFractions() should be called now.
    bool isDue(Instant now) const;
    void setReachable(double share, Instant now);
    /// The payload for the other core instances; absent when nothing has changed.
    std::optional<std::vector<std::uint8_t>> takeTotals();
    /// The frame for the entries of this instance, \p self; absent when nothing is to be sent.
    std::optional<std::vector<std::uint8_t>> takeFractions(const InstanceId &self, Instant now);
    /// Absent without an account that has a limit.
    std::optional<QuotaStatus> status() const;

private:
    Log m_log;
    Quota::QuotaLedger m_ledger;
    AccountTags m_tags;
    LogIndex m_configAt;
    Instant m_takenAt {};
    Quota::Fractions m_sent;
    Instant m_sentAt {};
};

}
