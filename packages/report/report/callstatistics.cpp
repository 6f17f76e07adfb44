#include "report/callstatistics.h"

#include <algorithm>

namespace Galenabarrow::Report
{

namespace
{

constexpr std::array<std::string_view, 3> OutcomeNames = { "answered", "not-run", "unknown" };

std::size_t resultCodeIndex(ResultCode code)
{
    const auto table = resultCodeTable();
    const auto it =
        std::lower_bound(table.begin(), table.end(), code, [](const ResultCodeRow &row, ResultCode value) { return row.code < value; });
    return static_cast<std::size_t>(it - table.begin());
}

bool missesObjective(const CallSample &sample, const Objective &objective)
{
    return sample.outcome != Outcome::Answered || sample.latency > objective.latency;
}

}

CallStatistics::CallStatistics(const Clock &clock)
    : m_clock(clock)
    , m_codes(resultCodeTable().size())
{
}

void CallStatistics::setContract(const Contract &contract)
{
    const std::lock_guard lock(m_mutex);
    const bool isKnown = m_customers.contains(contract.customer.value());
    if (!isKnown && m_customers.size() == MaxSeries) {
        return;
    }
    Customer &customer = m_customers[contract.customer.value()];
    customer.version = contract.version;
    customer.objective = Objective { contract.objectivePermille, contract.objectiveLatency };
    for (const ServiceTerms &it : contract.services) {
        if (m_seriesCount < MaxSeries && customer.services.try_emplace(it.service.value()).second) {
            ++m_seriesCount;
        }
    }
}

void CallStatistics::removeContract(const CustomerId &customer)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_customers.find(customer.value());
    if (it != m_customers.end()) {
        m_seriesCount -= it->second.services.size();
        m_customers.erase(it);
    }
}

void CallStatistics::record(const CustomerId &customer, const ServiceId &service, const CallSample &sample)
{
    const Instant now = m_clock.now();
    const std::lock_guard lock(m_mutex);
    const std::size_t row = resultCodeIndex(sample.code);
    if (row < m_codes.size() && resultCodeTable()[row].code == sample.code) {
        ++m_codes[row];
    }
    const auto it = m_customers.find(customer.value());
    if (it == m_customers.end()) {
        record(m_other, sample);
        return;
    }
    it->second.windows.record(missesObjective(sample, it->second.objective), now);
    const auto series = it->second.services.find(service.value());
    record(series == it->second.services.end() ? m_other : series->second, sample);
}

void CallStatistics::record(Series &series, const CallSample &sample)
{
    ++series.outcomes[static_cast<std::size_t>(sample.outcome)];
    if (sample.outcome == Outcome::Answered) {
        series.latencies.record(sample.latency);
    }
}

void CallStatistics::writeMetrics(MetricsText &metrics) const
{
    const std::lock_guard lock(m_mutex);
    const auto forEachSeries = [this](const auto &write) {
        for (const auto &[customer, entry] : m_customers) {
            for (const auto &[service, series] : entry.services) {
                write(customer, service, series);
            }
        }
        // Names of customers are never empty, so empty labels cannot be mistaken for a customer.
        write("", "", m_other);
    };

    metrics.family("galenabarrow_calls_total", MetricsText::Kind::Counter, "Finished calls by result code.");
    for (std::size_t n = 0; n < m_codes.size(); ++n) {
        if (m_codes[n] != 0) {
            const ResultCodeRow &row = resultCodeTable()[n];
            metrics.sample({ { "code", std::to_string(static_cast<unsigned>(row.code)) }, { "name", row.name } }, m_codes[n]);
        }
    }
    metrics.family("galenabarrow_call_outcomes_total", MetricsText::Kind::Counter,
                   "Finished calls by outcome; without customer: calls that have no series of their own.");
    forEachSeries([&](std::string_view customer, std::string_view service, const Series &series) {
        for (std::size_t n = 0; n < OutcomeCount; ++n) {
            metrics.sample({ { "customer", customer }, { "service", service }, { "outcome", OutcomeNames[n] } }, series.outcomes[n]);
        }
    });
    metrics.family("galenabarrow_call_latency_seconds", MetricsText::Kind::Histogram, "Latency of answered calls.");
    forEachSeries([&](std::string_view customer, std::string_view service, const Series &series) {
        metrics.histogram({ { "customer", customer }, { "service", service } }, series.latencies);
    });
}

BurnData CallStatistics::burnData(const InstanceId &self) const
{
    const Instant now = m_clock.now();
    const std::lock_guard lock(m_mutex);
    BurnData data;
    data.instances.push_back(self);
    for (auto &[id, customer] : m_customers) {
        data.customers.push_back(CustomerBurn { CustomerId(id), customer.version, customer.objective, customer.windows.counts(now) });
        for (const auto &[service, series] : customer.services) {
            data.series.push_back(LatencySeries { CustomerId(id), ServiceId(service), series.latencies.counts(), series.latencies.sum() });
        }
    }
    return data;
}

}
