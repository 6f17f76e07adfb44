#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace Galenabarrow::Bench
{

using namespace std::chrono_literals;

constexpr std::uint32_t EntryCount = 17;
constexpr std::uint32_t DataCentreCount = 3;
constexpr Duration LocalOneWay = 100us;
constexpr Duration RemoteOneWay = 1ms;
constexpr Duration CallDeadline = 1s;
/// Server time that a refusal and a load report cost; assumed, about the parsing of one small request.
constexpr Duration RefusalCost = 50us;
constexpr Duration ReportCost = 20us;
/// A leaving or restarted server's record reaches every entry after this time, whatever the lag of load reports.
constexpr Duration RecordDelay = 2ms;
/// A cold server starts this many times slower and gets to its usual speed over the warm-up time.
constexpr double ColdFactor = 5;
constexpr Duration ColdWarmUp = 5s;
constexpr double StragglerFactor = 10;
constexpr Duration FailFastTime = 100us;

enum class Fault : std::uint8_t { None, Straggler, FailFast, ColdStart, Drain, Lying };

/// One service of a deployment.
struct ServicePlan {
    std::uint32_t servers = 0;
    std::uint32_t slots = 0;
};

/// The size of a user's system.
struct Deployment {
    std::string_view name;
    std::vector<ServicePlan> services;
    /// The budget of refused attempts: none where the tail matters most, low where the measuring cost does.
    std::uint32_t refusalPermille = 0;
};

/// One cell of the table.
struct Scenario {
    Deployment deployment;
    std::string strategy;
    std::uint32_t loadPercent = 0;
    Duration reportLag {};
    Fault fault = Fault::None;
    std::uint64_t seed = 1;
    Duration length {};
    Duration meanService = 20ms;
    Duration refusalPrice {};
    std::uint32_t refusalPermille = 0;
    bool exchangesWaits = true;
    /// The share of calls that may run more than once.
    double idempotentShare = 0.9;
    /// Servers of service n call service n + 1, and only service 0 is called from outside.
    bool isChain = false;
    /// Only in a chain: the share of servers that answer with an error, and of calls that any server answers with one.
    double failingServers = 0;
    double failingCalls = 0;
    /// Only in a chain: calls per second from outside.
    double chainRate = 0;

    /// Faults begin here, and calls are counted that arrive from here to windowEnd().
    Instant windowStart() const;
    Instant windowEnd() const;
};

/// A call from outside, the same for every strategy and for the lower bound.
struct PlannedCall {
    Instant at {};
    Duration work {};
    std::uint32_t service = 0;
    std::uint32_t entry = 0;
    std::uint32_t customer = 0;
    bool isIdempotent = true;
};

/// Draws arrivals (Poisson) and service times (exponential) from the seed of the scenario.
std::vector<PlannedCall> planCalls(const Scenario &scenario);
/// Adds calls of \p customer at \p perSecond over all services to \p calls, in the window of the scenario.
void addCalls(const Scenario &scenario, std::uint32_t customer, double perSecond, std::vector<PlannedCall> &calls);

std::string_view faultName(Fault fault);
const std::vector<Fault> &allFaults();
const std::vector<Deployment> &allDeployments();
/// How many servers of each service, from the first one, have the fault.
std::uint32_t faultyServers(Fault fault);

}
