#include "report/processmetrics.h"

#include "base/errorguard.h"
#include "base/log.h"
#include "report/metricstext.h"

namespace Galenabarrow::Report
{

std::string processMetrics()
{
    using Kind = MetricsText::Kind;
    MetricsText text;
    text.family("galenabarrow_log_lines_lost_total", Kind::Counter, "Log lines dropped because the log reader was too slow.");
    text.sample({}, Log::lostLines());
    text.family("galenabarrow_unexpected_errors_total", Kind::Counter, "Errors that ended one request, connection or the like, by kind.");
    for (const auto &[kind, count] : unexpectedErrors()) {
        text.sample({ { "kind", kind } }, count);
    }
    return text.text();
}

}
