#pragma once

#include <memory>
#include <span>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "entry/servertable.h"

namespace Galenabarrow::Entry
{

/// The cost of a refused attempt, for strategies that weigh it against the probability of a free slot.
struct RoutingCosts {
    /// Round trip to a server in the same data centre.
    Duration localRoundTrip = std::chrono::microseconds(200);
    /// Round trip to a server in another data centre.
    Duration remoteRoundTrip = std::chrono::milliseconds(2);
    /// Cost of a refusal, expressed as waiting time. A higher cost means fewer refused attempts but more remote round trips.
    Duration refusalPrice = std::chrono::microseconds(500);
};

/// The input of one routing decision.
struct RoutingInput {
    const ServerTable &servers;
    const ServiceId &service;
    /// Rows that accept an attempt, never empty.
    std::span<const RowIndex> candidates;
    RandomSource &random;
    Instant now {};
};

/// Selects the server for an attempt. Each service has its own instance.
class RoutingStrategy
{
public:
    virtual ~RoutingStrategy() = default;
    virtual RowIndex choose(const RoutingInput &input) = 0;
};

constexpr std::string_view DefaultRoutingStrategy = "least-expected-delay";

/// Creates the strategy called \p name; null when there is none.
std::unique_ptr<RoutingStrategy> makeRoutingStrategy(std::string_view name, const RoutingCosts &costs);
/// The names of all strategies.
std::vector<std::string_view> routingStrategyNames();

}
