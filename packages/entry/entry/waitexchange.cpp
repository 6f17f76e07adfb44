#include "entry/waitexchange.h"

#include <algorithm>
#include <vector>

namespace Galenabarrow::Entry
{

namespace
{
constexpr double MeanWeight = 0.1;
/// Waits below this fraction of the mean answer time are ignored: slots are found at once, and the order of calls matters little.
constexpr double MinWaitFraction = 0.5;
/// Longer waits are rejected: they exceed every allowed deadline, so the sender is faulty.
constexpr Duration MaxReportedWait = std::chrono::minutes(1);
/// Reports from further senders are ignored, which bounds the memory that faulty messages can allocate.
constexpr std::size_t MaxSenders = WaitExchange::MaxReceivers;

bool isSignificant(Duration wait, Duration latency)
{
    return latency > Duration::zero() && static_cast<double>(wait.count()) >= static_cast<double>(latency.count()) * MinWaitFraction;
}
}

void WaitExchange::recordAnswer(Duration waited)
{
    const double difference = static_cast<double>((waited - m_localWait).count());
    m_localWait += Duration(static_cast<Duration::rep>(difference * MeanWeight));
}

void WaitExchange::receive(const InstanceId &sender, Duration wait, Instant now)
{
    if (wait < Duration::zero() || wait > MaxReportedWait) {
        return;
    }
    std::erase_if(m_received, [now](const auto &it) { return it.second.at + ReportLifetime <= now; });
    if (m_received.size() >= MaxSenders && !m_received.contains(sender)) {
        return;
    }
    m_received[sender] = Received { wait, now };
    m_lastReceived = now;
    summarize(now);
}

void WaitExchange::summarize(Instant now)
{
    std::vector<Duration> waits { m_localWait };
    waits.reserve(m_received.size() + 1);
    for (const auto &[sender, report] : m_received) {
        if (report.at + ReportLifetime > now) {
            waits.push_back(report.wait);
        }
    }
    m_longest = *std::max_element(waits.begin(), waits.end());
    // The lower of the two middle values, so that a wrong report of the only other entry has no effect.
    const auto middle = waits.begin() + static_cast<std::ptrdiff_t>((waits.size() - 1) / 2);
    std::nth_element(waits.begin(), middle, waits.end());
    m_median = *middle;
}

std::optional<Duration> WaitExchange::dueReport(Duration latency, Instant now) const
{
    const bool hasReports = m_lastReceived && *m_lastReceived + ReportLifetime > now;
    const bool isDue = isSignificant(m_localWait, latency) || (hasReports && isSignificant(m_longest, latency));
    return isDue ? std::optional(m_localWait) : std::nullopt;
}

std::optional<Duration> WaitExchange::medianWait(Duration latency, Instant now) const
{
    if (!m_lastReceived || *m_lastReceived + ReportLifetime <= now || !isSignificant(m_median, latency)) {
        return std::nullopt;
    }
    return m_median;
}

double WaitExchange::backoffFactor(Duration medianWait, Duration waited)
{
    const double ratio = static_cast<double>(medianWait.count()) / static_cast<double>(std::max(waited, Duration(1)).count());
    // The fourth power: with a lower exponent recent calls take too many slots, a higher one causes more refusals.
    return std::clamp(ratio * ratio * ratio * ratio, MinBackoffFactor, MaxBackoffFactor);
}

}
