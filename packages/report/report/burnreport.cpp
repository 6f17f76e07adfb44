#include "report/burnreport.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include "report/latencyhistogram.h"

namespace Galenabarrow::Report
{

namespace
{

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr std::uint32_t PermilleBase = 1'000;
constexpr std::array<const char *, BurnWindows::Lengths.size()> WindowNames = { "5 min", "30 min", "1 h", "6 h" };
constexpr std::array<double, 3> Quantiles = { 0.5, 0.99, 0.999 };
constexpr std::array<const char *, Quantiles.size()> QuantileNames = { "p50", "p99", "p999" };
constexpr int NameWidth = 26;
constexpr int NumberWidth = 12;

bool isTriggered(const AlertRule &rule, const CustomerReport &report)
{
    const auto reaches = [&](std::size_t window) { return report.burnRates[window].value_or(0.0) >= rule.threshold; };
    return reaches(rule.longWindow) && reaches(rule.shortWindow);
}

CustomerReport makeReport(const CustomerBurn &data)
{
    CustomerReport report { data.customer, data.objective, data.windows, {}, std::nullopt };
    for (std::size_t n = 0; n < report.windows.size(); ++n) {
        report.burnRates[n] = burnRate(report.windows[n], report.objective);
    }
    const auto rule = std::find_if(AlertRules.begin(), AlertRules.end(), [&](const AlertRule &it) { return isTriggered(it, report); });
    if (rule != AlertRules.end()) {
        report.alert = *rule;
    }
    return report;
}

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

std::string objectiveText(const Objective &objective)
{
    std::ostringstream text;
    text << objective.permille / 10 << '.' << objective.permille % 10 << "% < " << milliseconds(objective.latency) << " ms";
    return text.str();
}

LatencyHistogram histogramOf(const LatencySeries &series)
{
    LatencyHistogram histogram;
    histogram.add(series.counts, series.sum);
    return histogram;
}

Object::Ptr customerObject(const CustomerReport &report)
{
    Array::Ptr windows = new Array;
    for (std::size_t n = 0; n < report.windows.size(); ++n) {
        Object::Ptr window = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
        window->set("seconds",
                    static_cast<std::int64_t>(std::chrono::duration_cast<std::chrono::seconds>(BurnWindows::Lengths[n]).count()));
        window->set("calls", report.windows[n].calls);
        window->set("bad", report.windows[n].bad);
        window->set("burnRate", report.burnRates[n] ? Poco::Dynamic::Var(*report.burnRates[n]) : Poco::Dynamic::Var());
        windows->add(window);
    }
    Object::Ptr object = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    object->set("customer", report.customer.value());
    object->set("objectivePermille", report.objective.permille);
    object->set("objectiveLatencyMs", milliseconds(report.objective.latency));
    object->set("alert", report.alert ? Poco::Dynamic::Var(std::string(report.alert->name)) : Poco::Dynamic::Var());
    object->set("windows", windows);
    return object;
}

Object::Ptr seriesObject(const LatencySeries &series)
{
    const LatencyHistogram histogram = histogramOf(series);
    Object::Ptr object = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    object->set("customer", series.customer.value());
    object->set("service", series.service.value());
    object->set("answered", histogram.count());
    for (std::size_t n = 0; n < Quantiles.size(); ++n) {
        object->set(std::string(QuantileNames[n]) + "Ms", milliseconds(histogram.quantile(Quantiles[n])));
    }
    return object;
}

}

std::optional<double> burnRate(const WindowCounts &counts, const Objective &objective)
{
    if (counts.calls == 0 || objective.permille >= PermilleBase) {
        return std::nullopt;
    }
    // A single division of whole numbers, so that a rate of exactly a threshold is not rounded to just below the threshold.
    return static_cast<double>(counts.bad) * PermilleBase / (static_cast<double>(counts.calls) * (PermilleBase - objective.permille));
}

BurnReport::BurnReport(BurnData data)
    : m_data(std::move(data))
{
    std::transform(m_data.customers.begin(), m_data.customers.end(), std::back_inserter(m_customers), makeReport);
}

const std::vector<CustomerReport> &BurnReport::customers() const
{
    return m_customers;
}

std::string BurnReport::table() const
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(2) << std::left << std::setw(NameWidth) << "customer" << std::setw(NameWidth) << "objective"
        << std::right;
    for (const char *it : WindowNames) {
        out << std::setw(NumberWidth) << it;
    }
    out << "  alert\n";
    for (const CustomerReport &report : m_customers) {
        out << std::left << std::setw(NameWidth) << report.customer.value() << std::setw(NameWidth) << objectiveText(report.objective)
            << std::right;
        for (const std::optional<double> &it : report.burnRates) {
            out << std::setw(NumberWidth);
            it ? out << *it : out << "-";
        }
        out << "  " << (report.alert ? report.alert->name : "-") << '\n';
    }
    out << "\nBurn rate 1 uses up the error budget in exactly the period of the objective. Calls that were not run, have an\n"
           "unknown outcome or were slow count against it. Data of "
        << m_data.instances.size()
        << " entries, each since its last start.\n"
           "page-fast: 14.4 over 1 h and 5 min; page-slow: 6 over 6 h and 30 min; ticket: 1 over 6 h. Thresholds: Google, The\n"
           "Site Reliability Workbook, chapter 5, for a period of 30 days; its ticket looks at 3 days, which entries do not keep.\n";
    return out.str() + latencyTable();
}

std::string BurnReport::latencyTable() const
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(2) << '\n'
        << std::left << std::setw(NameWidth) << "customer" << std::setw(NameWidth) << "service" << std::right;
    out << std::setw(NumberWidth) << "answered";
    for (const char *it : QuantileNames) {
        out << std::setw(NumberWidth) << it + std::string(" ms");
    }
    out << '\n';
    for (const LatencySeries &series : m_data.series) {
        const LatencyHistogram histogram = histogramOf(series);
        out << std::left << std::setw(NameWidth) << series.customer.value() << std::setw(NameWidth) << series.service.value() << std::right;
        out << std::setw(NumberWidth) << histogram.count();
        for (const double it : Quantiles) {
            out << std::setw(NumberWidth) << milliseconds(histogram.quantile(it));
        }
        out << '\n';
    }
    return out.str();
}

std::string BurnReport::json() const
{
    Array::Ptr instances = new Array;
    for (const InstanceId &it : m_data.instances) {
        instances->add(it.value());
    }
    Array::Ptr customers = new Array;
    for (const CustomerReport &it : m_customers) {
        customers->add(customerObject(it));
    }
    Array::Ptr series = new Array;
    for (const LatencySeries &it : m_data.series) {
        series->add(seriesObject(it));
    }
    Object::Ptr object = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
    object->set("instances", instances);
    object->set("customers", customers);
    object->set("latencies", series);
    std::ostringstream text;
    object->stringify(text, 2);
    return text.str();
}

}
