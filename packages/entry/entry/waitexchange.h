#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "base/clock.h"
#include "base/id.h"

namespace Galenabarrow::Entry
{

/// The mean wait of the calls of a service, as an entry reports it to the other entries.
struct WaitReport {
    ServiceId service;
    /// Moving mean of the time from the submission of a call to the sending of the attempt that was answered.
    Duration wait {};
};

/// Compares the waits of calls of one service at this entry with those at other entries.
///
/// Near saturation, an entry finds free slots only by sending attempts. An entry whose call has waited for less than the median
/// wait of all entries uses a longer backoff after a refusal, and one whose call has waited for longer uses a shorter one. Slots
/// then go to the calls that have waited longest, and fewer attempts are refused. The reports are only hints: without recent
/// reports the backoff is unchanged.
class WaitExchange
{
public:
    /// Minimum time between two reports of an entry. Reports four times as frequent reduced the measured tail latency very
    /// little, and with 16 receivers would exceed the 5 KB/s allowed per entry.
    static constexpr Duration ReportInterval = std::chrono::seconds(1);
    /// Received reports expire after this time, so that two consecutive ones may be lost without effect.
    static constexpr Duration ReportLifetime = 3 * ReportInterval;
    /// Maximum number of entries that a report is sent to, which bounds the message rate in a large cluster.
    static constexpr std::size_t MaxReceivers = 64;
    /// Limits of the backoff factor, and thereby of the effect of a wrong report.
    static constexpr double MinBackoffFactor = 0.1;
    static constexpr double MaxBackoffFactor = 8;

    /// Records an answered attempt that was sent \p waited after its call was submitted.
    void recordAnswer(Duration waited);
    /// Processes a report of another entry; it replaces the previous one of the same sender.
    void receive(const InstanceId &sender, Duration wait, Instant now);

    /// The local wait if it should be reported to the other entries, nullopt otherwise. It should while the local wait or one
    /// recently reported by another entry is long compared with \p latency, the mean answer time of the service.
    std::optional<Duration> dueReport(Duration latency, Instant now) const;
    /// The median of the local wait and the waits last reported by other entries; nullopt without recent reports or when the
    /// median is short compared with \p latency.
    std::optional<Duration> medianWait(Duration latency, Instant now) const;
    /// The factor of the backoff after a refusal, when the queued call with the earliest deadline has waited for \p waited.
    static double backoffFactor(Duration medianWait, Duration waited);

private:
    struct Received {
        Duration wait {};
        Instant at {};
    };

    void summarize(Instant now);

    Duration m_localWait {};
    std::map<InstanceId, Received> m_received;
    /// Median and maximum of the local wait and the unexpired reports, computed when the last report was received.
    Duration m_median {};
    Duration m_longest {};
    std::optional<Instant> m_lastReceived;
};

}
