#pragma once

#include <string>
#include <vector>

#include "base/clock.h"
#include "base/log.h"

namespace Galenabarrow::Gateway
{

/// Limits of the log lines about requests.
struct RequestLogSettings {
    /// Limit of all lines in a second. Every request that failed, was rejected, late or retried is a candidate.
    unsigned linesPerSecond = 40;
    /// One in this many good requests is a candidate.
    unsigned sampleEvery = 200;
};

/// Writes a log line for each request that was not served well, and for a sample of the good ones, with a rate limit.
class RequestLog
{
public:
    explicit RequestLog(RequestLogSettings settings);

    /// Whether to write a line for this request. A candidate over the rate limit is counted as dropped.
    bool admit(bool isGood, Instant now);
    void write(const std::vector<LogField> &fields) const;
    /// Lines dropped since the start.
    std::uint64_t dropped() const;

private:
    RequestLogSettings m_settings;
    Log m_log;
    Instant m_secondStart {};
    unsigned m_lines = 0;
    unsigned m_goodRequests = 0;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reportedDropped = 0;
};

}
