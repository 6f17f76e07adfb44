#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "report/burndata.h"

namespace Galenabarrow::Report
{

/// An alert is raised when the burn rates of both windows reach the threshold. A burn rate of 1 uses up the error budget,
/// the share of calls that may miss the objective, exactly over the period of the objective.
struct AlertRule {
    std::string_view name;
    double threshold;
    /// Positions in BurnWindows::Lengths.
    std::size_t longWindow;
    std::size_t shortWindow;
};

/// The thresholds of "The Site Reliability Workbook" (Google, 2018), chapter 5, "Alerting on SLOs", for a period of 30
/// days: 14.4 uses 2% of the budget in 1 h, 6 uses 5% in 6 h, and 1 uses 10% in 3 days. The last one is checked over 6 h
/// alone, because entries keep no longer window in memory.
constexpr std::array<AlertRule, 3> AlertRules = { {
    { "page-fast", 14.4, 2, 0 },
    { "page-slow", 6.0, 3, 1 },
    { "ticket", 1.0, 3, 3 },
} };

/// The burn rates of one customer.
struct CustomerReport {
    CustomerId customer;
    Objective objective;
    BurnWindows::Counts windows;
    /// Empty for a window without calls.
    std::array<std::optional<double>, BurnWindows::Lengths.size()> burnRates;
    /// The first rule whose condition is met; the rules are ordered by urgency.
    std::optional<AlertRule> alert;
};

/// Multi-window burn rates of the objectives of all customers.
class BurnReport
{
public:
    explicit BurnReport(BurnData data);

    const std::vector<CustomerReport> &customers() const;
    /// A readable table, with the source of the thresholds.
    std::string table() const;
    std::string json() const;

private:
    std::string latencyTable() const;

    BurnData m_data;
    std::vector<CustomerReport> m_customers;
};

/// The share of bad calls divided by the share that the objective allows; empty without calls.
std::optional<double> burnRate(const WindowCounts &counts, const Objective &objective);

}
