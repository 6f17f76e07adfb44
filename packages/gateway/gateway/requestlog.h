#pragma once

#include <string>
#include <vector>

#include "base/clock.h"
#include "base/log.h"

namespace Galenabarrow::Gateway
{

/// Bounds of the lines about requests.
struct RequestLogSettings {
    /// Lines in a second about requests that failed, were rejected, late or sent again.
    unsigned linesPerSecond = 40;
    /// One of so many good requests gets a line.
    unsigned sampleEvery = 200;
};

/// Writes one line for each request that did not go well, and for a sample of the others, within a bound.
class RequestLog
{
public:
    explicit RequestLog(RequestLogSettings settings);

    /// Whether a line may be written now; counts it as dropped otherwise.
    bool admit(bool isGood, Instant now);
    void write(const std::vector<LogField> &fields) const;
    /// Lines that were dropped since the start.
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
