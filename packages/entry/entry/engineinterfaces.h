#pragma once

#include <cstdint>
#include <optional>

#include <tl/expected.hpp>

#include "actions/actionkey.h"
#include "base/clock.h"
#include "base/id.h"
#include "base/outcome.h"
#include "base/resultcode.h"

namespace Galenabarrow::Entry
{

/// The terms of a contract that apply to one call.
struct CallTerms {
    /// Longest time to the deadline of a call; longer ones are shortened. Zero for no limit.
    Duration maxDeadline {};
    /// Hedged attempts allowed per 1,000 first attempts.
    std::uint32_t hedgePermille = 0;
    /// Retries allowed per 1,000 first attempts.
    std::uint32_t retryPermille = 0;
};

/// The contracts in force at this entry.
class ContractView
{
public:
    virtual ~ContractView() = default;
    /// The terms of \p customer for \p service. Fails with NoContract or ServiceNotInContract.
    virtual tl::expected<CallTerms, ResultCode> terms(const CustomerId &customer, const ServiceId &service) const = 0;
};

/// Enforces the limits of the customers at this entry.
class AdmissionControl
{
public:
    virtual ~AdmissionControl() = default;
    /// Admits one call of \p customer. Fails with RateLimited or ConcurrencyLimited when a limit is reached.
    virtual tl::expected<void, ResultCode> admit(const CustomerId &customer, Instant now) = 0;
    /// The time until which a refused call may wait for a larger share of the limit; nullopt when no share was requested.
    virtual std::optional<Instant> shareExpectedUntil(const CustomerId & /*customer*/, Instant /*now*/) const
    {
        return std::nullopt;
    }
    /// As admit(), for a call that has waited for a share. Its demand was already counted by the refused admit().
    virtual tl::expected<void, ResultCode> admitWaiting(const CustomerId &customer, Instant now)
    {
        return admit(customer, now);
    }
    /// Releases one admitted call.
    virtual void release(const CustomerId &customer, Instant now) = 0;
};

/// Outcome and result code returned to the caller of an action whose key may not be run.
struct KeyRefusal {
    Outcome outcome = Outcome::Unknown;
    ResultCode code = ResultCode::OutcomeUnknown;
};

/// The action keys of this entry incarnation.
class ActionKeys
{
public:
    virtual ~ActionKeys() = default;
    /// Registers \p key as in progress, or returns why it may not run.
    virtual tl::expected<void, KeyRefusal> begin(const Actions::ActionKey &key, Instant now) = 0;
    /// Stores the final outcome of a key that begin() has registered.
    virtual void finish(const Actions::ActionKey &key, Outcome outcome, Instant now) = 0;
};

/// The freshness of the contract table.
class FreshnessView
{
public:
    virtual ~FreshnessView() = default;
    /// True when the table is too old, so that the entry must not dispatch calls.
    virtual bool isFenced(Instant now) const = 0;
};

}
