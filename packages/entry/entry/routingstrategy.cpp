#include "entry/routingstrategy.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>

namespace Galenabarrow::Entry
{

namespace
{

/// Assumed answer time before the first answer.
constexpr Duration AssumedLatency = std::chrono::milliseconds(20);

/// Time constant of the exponential decay of a load sample's weight, as a multiple of the mean answer time.
constexpr double SampleTimeConstant = 2;

double slotCount(const ServerRow &row)
{
    return std::max<std::uint32_t>(row.record.slots, 1);
}

/// The expected number of calls in flight at the server, from all entries. A load sample is outdated after about one service
/// time, because calls end and others arrive; the estimate then approaches the average of the service.
double expectedInFlight(const RoutingInput &input, RowIndex index)
{
    const ServerRow &row = input.servers.row(index);
    const ServiceAverages &averages = input.servers.averages(input.service);
    const double average = averages.utilization * slotCount(row);
    if (!row.load.isKnown) {
        return std::max(average, static_cast<double>(row.inFlight));
    }
    const Duration latency = averages.latency == Duration::zero() ? AssumedLatency : averages.latency;
    const double age = std::chrono::duration<double>(input.now - row.load.at) / std::chrono::duration<double>(latency);
    const double weight = std::exp(-std::max(age, 0.0) / SampleTimeConstant) * row.reportTrust;
    const double sampled = row.load.inFlight + row.sentSinceSample;
    return std::max(average + (sampled - average) * weight, static_cast<double>(row.inFlight));
}

/// The estimated probability that the server has a free slot. Never zero, so that every candidate has a finite cost.
double freeSlotProbability(const RoutingInput &input, RowIndex index)
{
    constexpr double MinProbability = 0.02;
    const double slots = slotCount(input.servers.row(index));
    const double used = std::min(1.0, expectedInFlight(input, index) / slots);
    return std::max(MinProbability, 1 - std::pow(used, slots));
}

/// Selects the candidates in turn. Serves as the baseline of benchmarks.
class RoundRobin final : public RoutingStrategy
{
public:
    RowIndex choose(const RoutingInput &input) override
    {
        const auto it = std::upper_bound(input.candidates.begin(), input.candidates.end(), m_last);
        m_last = it == input.candidates.end() ? input.candidates.front() : *it;
        return m_last;
    }

private:
    RowIndex m_last = 0;
};

/// Returns the candidate with the lowest cost; ties are broken at random.
template<typename Cost>
RowIndex cheapest(const RoutingInput &input, Cost cost)
{
    RowIndex best = input.candidates.front();
    double bestCost = cost(best);
    std::uint64_t equals = 1;
    for (const RowIndex it : input.candidates.subspan(1)) {
        const double itCost = cost(it);
        if (itCost < bestCost) {
            best = it;
            bestCost = itCost;
            equals = 1;
        } else if (itCost == bestCost && input.random.below(++equals) == 0) {
            best = it;
        }
    }
    return best;
}

/// Selects the server with the least expected delay until a server accepts the call: the cost of one attempt divided by its
/// probability of success. Trying servers in this order is optimal when the probabilities are independent.
class LeastExpectedDelay final : public RoutingStrategy
{
public:
    explicit LeastExpectedDelay(const RoutingCosts &costs)
        : m_costs(costs)
    {
    }

    RowIndex choose(const RoutingInput &input) override
    {
        return cheapest(input, [this, &input](RowIndex it) {
            const Duration roundTrip = input.servers.row(it).isLocal ? m_costs.localRoundTrip : m_costs.remoteRoundTrip;
            return static_cast<double>((roundTrip + m_costs.refusalPrice).count()) / freeSlotProbability(input, it);
        });
    }

private:
    RoutingCosts m_costs;
};

template<typename Strategy>
std::unique_ptr<RoutingStrategy> make(const RoutingCosts &costs)
{
    if constexpr (std::is_constructible_v<Strategy, const RoutingCosts &>) {
        return std::make_unique<Strategy>(costs);
    } else {
        return std::make_unique<Strategy>();
    }
}

struct StrategyEntry {
    std::string_view name;
    std::unique_ptr<RoutingStrategy> (*make)(const RoutingCosts &);
};

constexpr auto Strategies = std::to_array<StrategyEntry>({
    { "round-robin", &make<RoundRobin> },
    { "least-expected-delay", &make<LeastExpectedDelay> },
});

}

std::unique_ptr<RoutingStrategy> makeRoutingStrategy(std::string_view name, const RoutingCosts &costs)
{
    const auto it = std::find_if(Strategies.begin(), Strategies.end(), [name](const StrategyEntry &entry) { return entry.name == name; });
    return it == Strategies.end() ? nullptr : it->make(costs);
}

std::vector<std::string_view> routingStrategyNames()
{
    std::vector<std::string_view> names;
    names.reserve(Strategies.size());
    for (const StrategyEntry &it : Strategies) {
        names.push_back(it.name);
    }
    return names;
}

}
