#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <vector>

#include "base/clock.h"
#include "base/id.h"
#include "base/outcome.h"
#include "base/resultcode.h"
#include "contract/contract.h"
#include "report/burndata.h"
#include "report/burnwindows.h"
#include "report/latencyhistogram.h"
#include "report/metricstext.h"

namespace Galenabarrow::Report
{

/// The result of one call, as the statistics count it.
struct CallSample {
    Outcome outcome = Outcome::NotRun;
    ResultCode code = ResultCode::Ok;
    /// From the arrival of the request to the end of the response.
    Duration latency {};
};

/// Statistics of the calls of one entry: per customer and service a latency histogram and counts of outcomes, per
/// customer the windows of the burn report, and counts per result code.
///
/// Thread-safe. At most MaxSeries pairs of customer and service and MaxSeries customers are stored, at about
/// 1.6 KB and 2.2 KB each, so at most 4 MB. Calls of further pairs are counted together, in series with empty labels.
class CallStatistics
{
public:
    static constexpr std::size_t MaxSeries = 1024;

    /// \p clock must outlive the object.
    explicit CallStatistics(const Clock &clock);

    /// Creates the series of the services of \p contract and applies its objective. The series of a service that the contract
    /// no longer lists remains until the customer is removed.
    void setContract(const Contract &contract);
    /// Removes the customer and its series.
    void removeContract(const CustomerId &customer);

    /// Counts one finished call. Does not allocate. A call that was not run, whose outcome is unknown, or that took longer
    /// than the objective's latency counts against the objective. Only answered calls are added to the latency histogram.
    void record(const CustomerId &customer, const ServiceId &service, const CallSample &sample);

    /// Adds the families galenabarrow_calls_total, galenabarrow_call_outcomes_total and galenabarrow_call_latency_seconds.
    void writeMetrics(MetricsText &metrics) const;
    /// The data of this entry for the burn report.
    BurnData burnData(const InstanceId &self) const;

private:
    static constexpr std::size_t OutcomeCount = 3;
    struct Series {
        LatencyHistogram latencies;
        std::array<std::uint64_t, OutcomeCount> outcomes {};
    };
    struct Customer {
        Version version;
        Objective objective;
        BurnWindows windows;
        std::map<std::string, Series> services;
    };

    static void record(Series &series, const CallSample &sample);

    const Clock &m_clock;
    mutable std::mutex m_mutex;
    /// Mutable because BurnWindows::counts() advances the rings of the windows.
    mutable std::map<std::string, Customer> m_customers;
    std::size_t m_seriesCount = 0;
    Series m_other;
    /// One count for each row of resultCodeTable().
    std::vector<std::uint64_t> m_codes;
};

}
