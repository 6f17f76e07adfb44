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
/// Server time that a refusal and a load report cost; assumed values, about the time to parse one small request.
constexpr Duration RefusalCost = 50us;
constexpr Duration ReportCost = 20us;
/// Time until the record of a draining or restarted server reaches every entry. It does not depend on the lag of load reports.
constexpr Duration RecordDelay = 2ms;
/// A cold server is slower by this factor at its start, and reaches its usual speed linearly over the warm-up time.
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

/// The services of a deployment and its budget of refused attempts.
struct Deployment {
    std::string_view name;
    std::vector<ServicePlan> services;
    /// Budget of refused attempts per 1,000 calls; 0: unlimited. Unlimited where tail latency matters most, low where the
    /// cost of measuring does.
    std::uint32_t refusalPermille = 0;
};

/// The parameters of one run.
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
    /// The fraction of calls that may run more than once.
    double idempotentShare = 0.9;
    /// Servers of service n call service n + 1; external calls go to service 0 only.
    bool isChain = false;
    /// Only in a chain: the fraction of servers that answer every call with an error, and the fraction of calls that the servers
    /// answer with an error at random.
    double failingServers = 0;
    double failingCalls = 0;
    /// Only in a chain: external calls per second.
    double chainRate = 0;

    /// Time at which faults begin. Calls that arrive from here until windowEnd() are counted.
    Instant windowStart() const;
    Instant windowEnd() const;
};

/// An external call; the planned calls are the same for every strategy and for the lower bound.
struct PlannedCall {
    Instant at {};
    Duration work {};
    std::uint32_t service = 0;
    std::uint32_t entry = 0;
    std::uint32_t customer = 0;
    bool isIdempotent = true;
};

/// Generates the external calls: Poisson arrivals and exponential service times, drawn with the seed of the scenario.
std::vector<PlannedCall> planCalls(const Scenario &scenario);
/// Adds calls of \p customer to \p calls: on average \p perSecond in all, during the window of the scenario, to random services.
void addCalls(const Scenario &scenario, std::uint32_t customer, double perSecond, std::vector<PlannedCall> &calls);

std::string_view faultName(Fault fault);
const std::vector<Fault> &allFaults();
const std::vector<Deployment> &allDeployments();
/// The number of servers of each service that have the fault; these are the first ones.
std::uint32_t faultyServers(Fault fault);

}
