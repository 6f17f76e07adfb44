#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "base/clock.h"
#include "base/id.h"

namespace Galenabarrow::Entry
{

/// The wait that an entry tells the other entries.
struct WaitReport {
    ServiceId service;
    /// Moving mean of the time from the submission of a call to the attempt that was answered.
    Duration wait {};
};

/// Compares the waits of calls of one service at this entry with those at other entries.
///
/// Near saturation, each entry finds free slots only by sending attempts. An entry whose call has waited less than the usual
/// wait at all entries pauses longer after a refusal, one whose call has waited longer pauses less. The slots then go to
/// the longest waits, and fewer attempts are refused. The reports are hints: without fresh reports the pauses are as usual.
class WaitExchange
{
public:
    /// Least time between two reports of an entry. Four times as many made the tail of the measurements hardly shorter, and 16
    /// receivers would then cost more than the 5 KB/s of an entry.
    static constexpr Duration ReportInterval = std::chrono::seconds(1);
    /// Reports from others count for this long, so that two of them in a row may be lost.
    static constexpr Duration ReportLifetime = 3 * ReportInterval;
    /// A report goes to at most this many entries, which bounds the messages in a large cluster.
    static constexpr std::size_t MaxReceivers = 64;
    /// Limits of the factor for pauses. A wrong report can change pauses only within these limits.
    static constexpr double MinBackoffFactor = 0.1;
    static constexpr double MaxBackoffFactor = 8;

    /// Notes that an attempt was answered which was sent \p waited after its call was submitted.
    void recordAnswer(Duration waited);
    /// Takes a report of another entry. Duplicates replace each other.
    void receive(const InstanceId &sender, Duration wait, Instant now);

    /// The own wait, when it is to be told to the other entries: while calls wait at this entry or at one that reports.
    /// \p latency is the mean answer time of the service.
    std::optional<Duration> dueReport(Duration latency, Instant now) const;
    /// The median over this and the reporting entries; nothing without fresh reports or when hardly any call waits.
    std::optional<Duration> medianWait(Duration latency, Instant now) const;
    /// The factor for the pause after a refusal at an entry whose oldest call has waited for \p waited.
    static double backoffFactor(Duration medianWait, Duration waited);

private:
    struct Received {
        Duration wait {};
        Instant at {};
    };

    void summarize(Instant now);

    Duration m_localWait {};
    std::map<InstanceId, Received> m_received;
    /// Over the own wait and the fresh reports, when the last report arrived.
    Duration m_median {};
    Duration m_longest {};
    std::optional<Instant> m_lastReceived;
};

}
