#include "bench/lowerbound.h"

#include <functional>
#include <queue>
#include <utility>

namespace Galenabarrow::Bench
{

namespace
{

using Slot = std::pair<Instant, std::uint32_t>; // time from which the slot is free, index of its server
using Slots = std::priority_queue<Slot, std::vector<Slot>, std::greater<>>;

Instant unusableUntil(const Scenario &scenario)
{
    switch (scenario.fault) {
    case Fault::None:
    case Fault::Lying:
        return scenario.windowStart();
    case Fault::ColdStart:
        return scenario.windowStart() + ColdWarmUp;
    case Fault::Drain:
        return scenario.windowEnd();
    case Fault::Straggler:
    case Fault::FailFast:
        return Instant::max();
    }
    return Instant::max();
}

Slot popEarliestSlot(Slots &slots, const Scenario &scenario, Instant at)
{
    while (true) {
        const Slot slot = slots.top();
        const Instant start = std::max(slot.first, at);
        slots.pop();
        const bool isFaulty = slot.second < faultyServers(scenario.fault);
        if (!isFaulty || start < scenario.windowStart() || start >= unusableUntil(scenario)) {
            return { start, slot.second };
        }
        slots.emplace(unusableUntil(scenario), slot.second);
    }
}

}

Measurement measureLowerBound(const Scenario &scenario, const std::vector<PlannedCall> &calls)
{
    Measurement result;
    std::vector<Slots> services(scenario.deployment.services.size());
    for (std::size_t service = 0; service < services.size(); ++service) {
        const ServicePlan &plan = scenario.deployment.services[service];
        for (std::uint32_t n = 0; n < plan.servers * plan.slots; ++n) {
            services[service].emplace(Instant {}, n / plan.slots);
        }
    }
    for (const PlannedCall &call : calls) {
        const bool isCounted = call.at >= scenario.windowStart() && call.at < scenario.windowEnd();
        result.calls += isCounted ? 1 : 0;
        Slots &slots = services[call.service];
        const Slot slot = popEarliestSlot(slots, scenario, call.at);
        const Duration latency = slot.first + call.work - call.at + 2 * LocalOneWay;
        if (latency > CallDeadline) {
            slots.push(slot);
            result.failures += isCounted ? 1 : 0;
            continue;
        }
        slots.emplace(slot.first + call.work, slot.second);
        if (isCounted) {
            result.latencies.push_back(latency);
        }
    }
    return result;
}

}
