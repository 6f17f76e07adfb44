#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include <tl/expected.hpp>

#include "contract/contract.h"
#include "limits/baseline.h"
#include "limits/shares.h"
#include "limits/tokenbucket.h"

namespace Galenabarrow::Limits
{

/// Times of the limits at an entry.
struct LimitTimes {
    /// Age of the contract table at which an entry is fenced. Every unfenced entry knows all older changes.
    Duration freshnessLimit = std::chrono::seconds(5);
};

/// The limits of all customers at one entry. A limit is the entry's baseline, half of the contract divided over the
/// registered entries, plus a leased share of the other half.
class CustomerLimits
{
public:
    /// Starts without credit, so that a restart cannot repeat a burst.
    CustomerLimits(InstanceId self, Incarnation incarnation, const LimitTimes &times, Instant now);

    /// Puts a contract in force. A lease that was divided from a version with higher limits is dropped.
    void setContract(const Contract &contract, Instant now);
    void removeContract(const CustomerId &customer, Instant now);
    /// All entries in the replicated log. A baseline falls at once and rises after a wait, see BaselineShares.
    void setRegisteredEntries(std::span<const InstanceId> entries, Instant now);

    /// Admits one call, or fails with NoContract, RateLimited or ConcurrencyLimited. Each admitted call is released once.
    tl::expected<void, ResultCode> admit(const CustomerId &customer, Instant now);
    void release(const CustomerId &customer, Instant now);

    /// The demand of the active customers since the last request; send it about once a second. It replaces the requests
    /// before: only the reply to the latest request is accepted.
    ShareRequest makeRequest(Instant now);
    /// Puts a leased share in force. False when the reply was ignored: not to the latest request, or too late.
    bool applyGrant(const ShareReply &reply, Instant now);

    /// What the customer may use at \p now; empty without a contract.
    std::optional<Share> shareInForce(const CustomerId &customer, Instant now);
    /// Calls of the customer in flight here.
    std::uint32_t inFlight(const CustomerId &customer) const;

private:
    struct Lease {
        Share share;
        Instant expiry;
    };

    struct Row {
        /// Empty for a withdrawn contract with calls in flight.
        std::optional<Contract> contract;
        TokenBucket bucket;
        std::optional<Lease> lease;
        std::uint32_t inFlight = 0;
        // since the last request
        std::uint32_t asked = 0;
        std::uint32_t refusedConcurrency = 0;
        std::uint32_t peakInFlight = 0;
    };

    void settle(Row &row, Instant now);
    Share shareOf(const Row &row, Instant now) const;
    std::uint32_t heldConcurrency(const Row &row, Instant now) const;
    std::optional<ShareDemand> takeDemand(const CustomerId &customer, Row &row, Instant now);

    InstanceId m_self;
    Incarnation m_incarnation;
    BaselineShares m_baselines;
    std::unordered_map<CustomerId, Row> m_rows;
    std::uint64_t m_number = 0;
    std::uint64_t m_installed = 0;
    Instant m_requestedAt;
};

}
