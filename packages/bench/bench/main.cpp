#include <algorithm>
#include <atomic>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include <gflags/gflags.h>

#include "bench/fairness.h"
#include "bench/lowerbound.h"
#include "bench/simulation.h"

// NOLINTBEGIN(readability-identifier-naming): the macros of gflags name the variables
DEFINE_uint64(seed, 1, "seed of arrivals, service times and choices");
DEFINE_uint32(seconds, 40, "simulated length of a run in seconds; only calls of the middle half are counted");
DEFINE_string(strategy, "all", "routing strategy, or all");
DEFINE_string(deployment, "all", "abyssinia, odalaigh or all");
DEFINE_string(fault, "all", "none, straggler, fail-fast, cold-start, drain-3, lying or all");
DEFINE_uint32(load, 0, "offered load in percent of the capacity of the slots; 0 for 50, 80 and 95");
DEFINE_uint32(lag, 0, "report lag in ms; 0 for 1, 50 and 1000");
DEFINE_uint32(refusal_price, 500, "price of a refusal in us of waiting time");
DEFINE_uint32(refusal_permille, 0, "refused attempts per 1,000 calls; 0 for the deployment's value");
DEFINE_bool(exchange_waits, true, "entries exchange reports of how long calls wait");
DEFINE_uint32(threads, 4, "number of concurrent runs");
DEFINE_bool(markdown, false, "print the table as Markdown");
DEFINE_bool(chain, false, "measure the retries in a chain of 7 services instead");
DEFINE_bool(fairness, false, "measure how a customer that exceeds its contract affects the others instead");
DEFINE_uint32(customers, 0, "only with --fairness: number of customers; 0 for 5 and 20");
DEFINE_uint32(contract_percent, 120, "only with --fairness: the contract's rate in percent of the usual load of a customer");
DEFINE_uint32(contract_span, 1000,
              "only with --fairness: burst and concurrency, as the number of calls in this many ms at the contract's rate");
// NOLINTEND(readability-identifier-naming)

namespace
{

using namespace Galenabarrow;
using namespace Galenabarrow::Bench;

struct Row {
    Scenario scenario;
    std::vector<std::string> cells;
};

std::string formatNumber(double value, int digits)
{
    std::vector<char> text(32);
    const int length = std::snprintf(text.data(), text.size(), "%.*f", digits, value);
    return { text.data(), static_cast<std::size_t>(length) };
}

double ratio(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

void measure(Row &row)
{
    const Scenario &scenario = row.scenario;
    const std::vector<PlannedCall> calls = planCalls(scenario);
    Measurement bound = measureLowerBound(scenario, calls);
    Measurement result = Simulation(scenario, calls).run();
    double slots = 0;
    for (const ServicePlan &it : scenario.deployment.services) {
        slots += it.servers * it.slots;
    }
    const Duration cost = RefusalCost * static_cast<std::int64_t>(result.refusals) + ReportCost * static_cast<std::int64_t>(result.reports);
    const double slotTime = slots * static_cast<double>(scenario.length.count());
    const auto total = static_cast<double>(calls.size());
    const double boundP99 = bound.quantile(0.99);
    const double p99 = result.quantile(0.99);
    row.cells = { std::string(scenario.deployment.name),
                  std::to_string(scenario.loadPercent),
                  std::to_string(scenario.reportLag / 1ms),
                  std::string(faultName(scenario.fault)),
                  scenario.strategy,
                  formatNumber(result.quantile(0.5), 1),
                  formatNumber(p99, 1),
                  formatNumber(result.quantile(0.999), 1),
                  std::to_string(result.failures) + "/" + std::to_string(result.calls),
                  formatNumber(100 * ratio(static_cast<double>(result.lostWork.count()), static_cast<double>(result.work.count())), 2),
                  formatNumber(100 * ratio(static_cast<double>(cost.count()), slotTime), 3),
                  formatNumber(ratio(static_cast<double>(result.refusals), total), 2),
                  formatNumber(ratio(static_cast<double>(result.hedges), total), 4),
                  formatNumber(ratio(static_cast<double>(result.messages), total), 3),
                  formatNumber(bound.quantile(0.5), 1),
                  formatNumber(boundP99, 1),
                  formatNumber(bound.quantile(0.999), 1),
                  std::to_string(bound.failures),
                  formatNumber(ratio(p99, boundP99), 2) };
}

const std::vector<std::string> Header { "deployment", "load %",       "lag ms",         "fault",         "strategy",
                                        "p50 ms",     "p99 ms",       "p99.9 ms",       "failures",      "lost %",
                                        "cost %",     "refused/call", "hedges/call",    "messages/call", "bound p50",
                                        "bound p99",  "bound p99.9",  "bound failures", "p99/bound" };

void print(const std::vector<std::string> &cells)
{
    for (std::size_t n = 0; n < cells.size(); ++n) {
        if (FLAGS_markdown) {
            std::printf("| %s ", cells[n].c_str());
        } else {
            std::printf("%-*s ", static_cast<int>(std::max<std::size_t>(Header[n].size(), n < 5 ? 12 : 6)), cells[n].c_str());
        }
    }
    std::printf(FLAGS_markdown ? "|\n" : "\n");
}

std::vector<Row> selectedRows()
{
    std::vector<Row> rows;
    const std::vector<std::uint32_t> loads = FLAGS_load > 0 ? std::vector { FLAGS_load } : std::vector { 50U, 80U, 95U };
    const std::vector<std::uint32_t> lags = FLAGS_lag > 0 ? std::vector { FLAGS_lag } : std::vector { 1U, 50U, 1000U };
    for (const Deployment &deployment : allDeployments()) {
        for (const std::uint32_t load : loads) {
            for (const std::uint32_t lag : lags) {
                for (const Fault fault : allFaults()) {
                    for (const std::string_view strategy : Entry::routingStrategyNames()) {
                        if ((FLAGS_deployment != "all" && FLAGS_deployment != deployment.name)
                            || (FLAGS_fault != "all" && FLAGS_fault != faultName(fault))
                            || (FLAGS_strategy != "all" && FLAGS_strategy != strategy)) {
                            continue;
                        }
                        Row row;
                        row.scenario.deployment = deployment;
                        row.scenario.strategy = strategy;
                        row.scenario.loadPercent = load;
                        row.scenario.reportLag = std::chrono::milliseconds(lag);
                        row.scenario.fault = fault;
                        row.scenario.seed = FLAGS_seed;
                        row.scenario.length = std::chrono::seconds(FLAGS_seconds);
                        row.scenario.refusalPrice = std::chrono::microseconds(FLAGS_refusal_price);
                        row.scenario.refusalPermille = FLAGS_refusal_permille > 0 ? FLAGS_refusal_permille : deployment.refusalPermille;
                        row.scenario.exchangesWaits = FLAGS_exchange_waits;
                        rows.push_back(std::move(row));
                    }
                }
            }
        }
    }
    return rows;
}

void measureAll(std::vector<Row> &rows)
{
    std::atomic<std::size_t> nextRow { 0 };
    std::vector<std::thread> threads;
    for (std::uint32_t n = 0; n < FLAGS_threads; ++n) {
        threads.emplace_back([&rows, &nextRow] {
            for (std::size_t row = nextRow++; row < rows.size(); row = nextRow++) {
                measure(rows[row]);
            }
        });
    }
    for (std::thread &it : threads) {
        it.join();
    }
}

void measureChain(const char *label, double failingServers, double failingCalls)
{
    constexpr std::uint32_t Depth = 7;
    Scenario scenario;
    scenario.deployment = { "chain", std::vector<ServicePlan>(Depth, ServicePlan { 15, 64 }), 0 };
    scenario.strategy = FLAGS_strategy == "all" ? std::string(Entry::DefaultRoutingStrategy) : FLAGS_strategy;
    scenario.reportLag = 50ms;
    scenario.seed = FLAGS_seed;
    scenario.length = std::chrono::seconds(FLAGS_seconds);
    scenario.meanService = 2ms;
    scenario.idempotentShare = 1;
    scenario.isChain = true;
    scenario.failingServers = failingServers;
    scenario.failingCalls = failingCalls;
    scenario.chainRate = 2000;
    const std::vector<PlannedCall> calls = planCalls(scenario);
    const Measurement result = Simulation(scenario, calls).run();
    double attempts = 0;
    double firsts = 0;
    std::printf("%-32s attempts per outside call at hop 1 to %u:", label, Depth);
    for (std::uint32_t n = 0; n < Depth; ++n) {
        attempts += static_cast<double>(result.attemptsAt[n]);
        firsts += static_cast<double>(result.callsAt[n]);
        std::printf(" %.3f", static_cast<double>(result.attemptsAt[n]) / static_cast<double>(calls.size()));
    }
    std::printf("; attempts / first attempts over all hops %.3f; failed calls %.4f\n", attempts / firsts,
                ratio(static_cast<double>(result.failures), static_cast<double>(result.calls)));
}

void measureFairnessTable()
{
    constexpr std::uint32_t DefaultLoad = 70;
    std::printf("%s", fairnessHeader().c_str());
    const std::vector<std::uint32_t> counts = FLAGS_customers > 0 ? std::vector { FLAGS_customers } : std::vector { 5U, 20U };
    for (const Deployment &deployment : allDeployments()) {
        if (FLAGS_deployment != "all" && FLAGS_deployment != deployment.name) {
            continue;
        }
        for (const std::uint32_t customers : counts) {
            FairnessPlan plan;
            plan.customers = customers;
            plan.contractPercent = FLAGS_contract_percent;
            plan.contractSpan = std::chrono::milliseconds(FLAGS_contract_span);
            plan.scenario.deployment = deployment;
            plan.scenario.strategy = FLAGS_strategy == "all" ? std::string(Entry::DefaultRoutingStrategy) : FLAGS_strategy;
            plan.scenario.loadPercent = FLAGS_load > 0 ? FLAGS_load : DefaultLoad;
            plan.scenario.reportLag = FLAGS_lag > 0 ? std::chrono::milliseconds(FLAGS_lag) : 50ms;
            plan.scenario.seed = FLAGS_seed;
            plan.scenario.length = std::chrono::seconds(FLAGS_seconds);
            plan.scenario.refusalPrice = std::chrono::microseconds(FLAGS_refusal_price);
            plan.scenario.refusalPermille = FLAGS_refusal_permille > 0 ? FLAGS_refusal_permille : deployment.refusalPermille;
            std::printf("%s", measureFairness(plan).c_str());
        }
    }
}

}

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("measures the routing strategies of entries in a simulation of servers and links");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_chain) {
        measureChain("no failures", 0, 0);
        measureChain("20% of the servers always fail", 0.2, 0);
        measureChain("every server fails 20% of calls", 0, 0.2);
        return 0;
    }
    if (FLAGS_fairness) {
        measureFairnessTable();
        return 0;
    }
    std::vector<Row> rows = selectedRows();
    measureAll(rows);
    print(Header);
    if (FLAGS_markdown) {
        print(std::vector<std::string>(Header.size(), "---"));
    }
    for (const Row &it : rows) {
        print(it.cells);
    }
    return 0;
}
