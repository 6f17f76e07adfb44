#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/id.h"
#include "base/resultcode.h"

namespace Galenabarrow
{

/// What a contract grants for one service.
struct ServiceTerms {
    ServiceId service;
    /// Path prefixes whose calls may run more than once; GET and HEAD always may.
    std::vector<std::string> idempotentPaths;
    /// Longest deadline that a call may request.
    Duration maxDeadline {};
    /// Hedged attempts allowed per 1,000 first attempts.
    std::uint32_t hedgePermille = 0;
    /// Retries allowed per 1,000 first attempts.
    std::uint32_t retryPermille = 0;

    bool operator==(const ServiceTerms &) const = default;
};

/// The contract of one customer. All limits apply to the sum over all entries.
struct Contract {
    CustomerId customer;
    /// Set by the state machine, which increments it for each accepted change.
    Version version;
    std::vector<ServiceTerms> services;
    /// Maximum sustained rate, in calls per second.
    std::uint32_t ratePerSecond = 0;
    /// Maximum number of calls at once above the sustained rate.
    std::uint32_t burst = 0;
    /// Maximum number of calls in flight.
    std::uint32_t concurrency = 0;
    /// Share of calls, per 1,000, that have to be answered within objectiveLatency.
    std::uint32_t objectivePermille = 0;
    Duration objectiveLatency {};

    bool operator==(const Contract &) const = default;
};

/// A change of a contract, requested by an operator.
struct ContractChange {
    enum class Kind : std::uint8_t { Put, Withdraw };
    Kind kind = Kind::Put;
    ChangeId id;
    CustomerId customer;
    /// The version that the operator saw; 0 for a customer without a contract.
    Version expected;
    /// Only for Put.
    Contract contract;

    bool operator==(const ContractChange &) const = default;
};

/// The result of a change. A resend of the change returns the same result.
struct ChangeResult {
    ResultCode code = ResultCode::Ok;
    /// The version after the change, or on a conflict the version in force.
    Version version;
    /// On a conflict, the change that made the version in force.
    ChangeId winner;

    bool operator==(const ChangeResult &) const = default;
};

}
