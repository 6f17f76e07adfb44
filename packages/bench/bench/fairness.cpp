#include "bench/fairness.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

#include "bench/fairnesshooks.h"
#include "bench/simulation.h"

namespace Galenabarrow::Bench
{

namespace
{

constexpr std::uint32_t ExcessFactor = 10;

struct OfferedLoad {
    const char *name;
    /// Multiple of the contract's rate; 0 for the usual rate.
    std::uint32_t factor;
};

constexpr std::array<OfferedLoad, 3> OfferedLoads { OfferedLoad { "usual", 0 }, OfferedLoad { "contract", 1 },
                                                    OfferedLoad { "10 times", ExcessFactor } };

std::string formatNumber(double value, int digits)
{
    std::array<char, 32> text {};
    const int length = std::snprintf(text.data(), text.size(), "%.*f", digits, value);
    return { text.data(), static_cast<std::size_t>(length) };
}

std::string refusalsText(const GroupResult &group)
{
    std::string text;
    for (const auto &[code, count] : group.refusals) {
        text += (text.empty() ? "" : ", ") + std::string(resultCodeName(code)) + " " + std::to_string(count);
    }
    return text.empty() ? "none" : text;
}

}

std::string fairnessHeader()
{
    return "| deployment | customers | seed | offered | p50 others ms | p99 others ms | p99 / usual | first 5 s: p99 / usual | later: p99 "
           "/ usual | others "
           "answered | others refused | "
           "excess: offered/s | excess: answered/s | excess: contract/s | excess: refused |\n"
           "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
}

std::string measureFairness(const FairnessPlan &plan)
{
    const Scenario &scenario = plan.scenario;
    double slots = 0;
    for (const ServicePlan &it : scenario.deployment.services) {
        slots += it.servers * it.slots;
    }
    const double perSlot = 1e6 / static_cast<double>(scenario.meanService.count());
    const double usualRate = slots * perSlot * scenario.loadPercent / 100 / plan.customers;
    Contract contract;
    contract.ratePerSecond = static_cast<std::uint32_t>(std::lround(usualRate * plan.contractPercent / 100));
    const double span = std::chrono::duration<double>(plan.contractSpan).count();
    contract.burst = static_cast<std::uint32_t>(std::lround(contract.ratePerSecond * span));
    contract.concurrency = contract.burst;
    std::vector<PlannedCall> usual = planCalls(scenario);
    for (PlannedCall &it : usual) {
        it.customer %= plan.customers;
    }
    const double seconds = std::chrono::duration<double>(scenario.windowEnd() - scenario.windowStart()).count();
    std::string rows;
    // 99th percentiles of the whole window, of its first 5 s, and of the rest.
    std::array<double, 3> usualP99 {};
    for (const OfferedLoad &offered : OfferedLoads) {
        std::vector<PlannedCall> calls = usual;
        if (offered.factor > 0) {
            addCalls(scenario, FairnessHooks::ExcessCustomer, contract.ratePerSecond * offered.factor - usualRate, calls);
        }
        FairnessHooks hooks(scenario, plan.customers, contract);
        Simulation(scenario, calls, &hooks).run();
        Measurement &others = hooks.others.measurement;
        const std::array<double, 3> p99 { others.quantile(0.99), hooks.firstOthers.quantile(0.99), hooks.laterOthers.quantile(0.99) };
        usualP99 = offered.factor == 0 ? p99 : usualP99;
        std::string ratios;
        for (std::size_t n = 0; n < p99.size(); ++n) {
            ratios += formatNumber(p99.at(n) / usualP99.at(n), 3) + " | ";
        }
        const Measurement &excess = hooks.excess.measurement;
        rows += "| " + std::string(scenario.deployment.name) + " | " + std::to_string(plan.customers) + " | "
            + std::to_string(scenario.seed) + " | " + offered.name + " | " + formatNumber(others.quantile(0.5), 1) + " | "
            + formatNumber(p99[0], 1) + " | " + ratios + std::to_string(others.latencies.size()) + "/" + std::to_string(others.calls)
            + " | " + refusalsText(hooks.others) + " | " + formatNumber(static_cast<double>(excess.calls) / seconds, 0) + " | "
            + formatNumber(static_cast<double>(excess.latencies.size()) / seconds, 0) + " | " + std::to_string(contract.ratePerSecond)
            + " | " + refusalsText(hooks.excess) + " |\n";
    }
    return rows;
}

}
