#include "bench/scenario.h"

#include <algorithm>
#include <array>
#include <random>

#include "base/random.h"

namespace Galenabarrow::Bench
{

namespace
{
constexpr std::uint32_t CustomerCount = 20;
constexpr std::uint64_t AddedSeedOffset = 5000;
constexpr std::uint32_t DrainingServers = 3;
constexpr std::array<std::string_view, 6> FaultNames { "none", "straggler", "fail-fast", "cold-start", "drain-3", "lying" };

Duration exponential(RandomSource &random, double meanMicroseconds)
{
    return Duration(static_cast<Duration::rep>(-meanMicroseconds * std::log(1 - random.unit())) + 1);
}

void sortByArrival(std::vector<PlannedCall> &calls)
{
    std::stable_sort(calls.begin(), calls.end(), [](const PlannedCall &a, const PlannedCall &b) { return a.at < b.at; });
}
}

Instant Scenario::windowStart() const
{
    return Instant(length / 4);
}

Instant Scenario::windowEnd() const
{
    return Instant(length * 3 / 4);
}

std::vector<PlannedCall> planCalls(const Scenario &scenario)
{
    std::vector<PlannedCall> calls;
    SeededRandom random(scenario.seed);
    const auto mean = static_cast<double>(scenario.meanService.count());
    const std::size_t services = scenario.isChain ? 1 : scenario.deployment.services.size();
    for (std::uint32_t service = 0; service < services; ++service) {
        const ServicePlan &plan = scenario.deployment.services[service];
        const double slots = plan.servers * plan.slots;
        const double gap = scenario.isChain ? 1e6 / scenario.chainRate : mean * 100 / (slots * scenario.loadPercent);
        for (Instant at {}; at < Instant(scenario.length); at += exponential(random, gap)) {
            PlannedCall call;
            call.at = at;
            call.work = exponential(random, mean);
            call.service = service;
            call.entry = static_cast<std::uint32_t>(random.below(EntryCount));
            call.customer = static_cast<std::uint32_t>(random.below(CustomerCount));
            call.isIdempotent = random.unit() < scenario.idempotentShare;
            calls.push_back(call);
        }
    }
    sortByArrival(calls);
    return calls;
}

void addCalls(const Scenario &scenario, std::uint32_t customer, double perSecond, std::vector<PlannedCall> &calls)
{
    SeededRandom random(scenario.seed + AddedSeedOffset);
    const double gap = 1e6 / perSecond;
    for (Instant at = scenario.windowStart(); at < scenario.windowEnd(); at += exponential(random, gap)) {
        PlannedCall call;
        call.at = at;
        call.work = exponential(random, static_cast<double>(scenario.meanService.count()));
        call.service = static_cast<std::uint32_t>(random.below(scenario.deployment.services.size()));
        call.entry = static_cast<std::uint32_t>(random.below(EntryCount));
        call.customer = customer;
        call.isIdempotent = random.unit() < scenario.idempotentShare;
        calls.push_back(call);
    }
    sortByArrival(calls);
}

std::string_view faultName(Fault fault)
{
    return FaultNames.at(static_cast<std::size_t>(fault));
}

const std::vector<Fault> &allFaults()
{
    static const std::vector<Fault> Faults { Fault::None, Fault::Straggler, Fault::FailFast, Fault::ColdStart, Fault::Drain, Fault::Lying };
    return Faults;
}

const std::vector<Deployment> &allDeployments()
{
    static const std::vector<Deployment> Deployments {
        { "abyssinia", { { 17, 3 }, { 16, 3 } }, 0 },
        { "odalaigh", { { 15, 2 }, { 15, 2 } }, 700 },
    };
    return Deployments;
}

std::uint32_t faultyServers(Fault fault)
{
    if (fault == Fault::None) {
        return 0;
    }
    return fault == Fault::Drain ? DrainingServers : 1;
}

}
