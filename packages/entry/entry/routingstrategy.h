#pragma once

#include <memory>
#include <span>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "entry/servertable.h"

namespace Galenabarrow::Entry
{

/// What a refused attempt costs, for strategies that weigh it against the chance of a free slot.
struct RoutingCosts {
    /// Round trip to a server in the same data centre.
    Duration localRoundTrip = std::chrono::microseconds(200);
    /// Round trip to a server in another data centre.
    Duration remoteRoundTrip = std::chrono::milliseconds(2);
    /// Price of a refusal in waiting time. A higher price means fewer refused attempts and longer ways.
    Duration refusalPrice = std::chrono::microseconds(500);
};

/// What a strategy decides on.
struct RoutingInput {
    const ServerTable &servers;
    const ServiceId &service;
    /// Rows that can take an attempt; never empty.
    std::span<const RowIndex> candidates;
    RandomSource &random;
    Instant now {};
};

/// Chooses the server for an attempt. One object serves one service.
class RoutingStrategy
{
public:
    virtual ~RoutingStrategy() = default;
    virtual RowIndex choose(const RoutingInput &input) = 0;
};

constexpr std::string_view DefaultRoutingStrategy = "least-expected-delay";

/// The strategy of that name; null when there is none.
std::unique_ptr<RoutingStrategy> makeRoutingStrategy(std::string_view name, const RoutingCosts &costs);
/// The names of all strategies.
std::vector<std::string_view> routingStrategyNames();

}
