#include "gateway/requestlog.h"

namespace Galenabarrow::Gateway
{

RequestLog::RequestLog(RequestLogSettings settings)
    : m_settings(settings)
    , m_log("request")
{
}

bool RequestLog::admit(bool isGood, Instant now)
{
    if (isGood && ++m_goodRequests % m_settings.sampleEvery != 0) {
        return false;
    }
    if (now - m_secondStart >= std::chrono::seconds(1)) {
        m_secondStart = now;
        m_lines = 0;
        if (m_dropped > m_reportedDropped) {
            m_log.warn("lines_dropped", { { "count", std::to_string(m_dropped - m_reportedDropped) } });
            m_reportedDropped = m_dropped;
        }
    }
    if (m_lines >= m_settings.linesPerSecond) {
        ++m_dropped;
        return false;
    }
    ++m_lines;
    return true;
}

void RequestLog::write(const std::vector<LogField> &fields) const
{
    m_log.info("request_finished", fields);
}

std::uint64_t RequestLog::dropped() const
{
    return m_dropped;
}

}
