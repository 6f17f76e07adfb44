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
    /// Time between two share requests while a customer needs a lease.
    Duration requestInterval = std::chrono::seconds(1);
    /// A customer needs a lease until its demand has been low for this long; hysteresis against a lease that comes and goes.
    Duration leaseRetention = std::chrono::seconds(3);
    /// Requests ahead of the interval per second, and how many of them may follow each other at once.
    std::uint32_t earlyRequestRate = 1;
    std::uint32_t earlyRequestBurst = 4;
    /// How long a call may wait for the reply to a share request. A reply between data centres takes a few milliseconds.
    Duration replyTimeout = std::chrono::milliseconds(20);
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
    /// As admit(), for a call that admit() has refused and counted as demand.
    tl::expected<void, ResultCode> admitWaiting(const CustomerId &customer, Instant now);
    /// Until when the reply to a share request of the customer is worth a wait; nothing when none is on its way.
    std::optional<Instant> shareExpectedUntil(const CustomerId &customer, Instant now) const;

    /// The request to send now, if any; call it every few milliseconds and when isRequestDue() turns true. Asks for nothing
    /// while the demand of every customer is low compared with its baseline, which is valid without a lease.
    std::optional<ShareRequest> takeRequest(Instant now);
    /// True when demand has risen so far that a request ahead of the interval is useful.
    bool isRequestDue() const;
    /// Sends the next request even without demand, until a leader has answered it: a new leader grants concurrency earlier
    /// when every registered entry has reported what it holds.
    void reportToNewLeader();
    /// The demand of the customers that need a lease or still use one. It replaces the requests before: only the reply to the
    /// latest request is accepted. Ends the leases of all other customers. takeRequest() says when to send it.
    ShareRequest makeRequest(Instant now);
    /// Puts a leased share in force. False when the reply was ignored: not to the latest request, or too late.
    bool applyReply(const ShareReply &reply, Instant now);

    /// What the customer may use at \p now; empty without a contract.
    std::optional<Share> effectiveShare(const CustomerId &customer, Instant now);
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
        /// The last request asked for the customer.
        bool isRequested = false;
        /// The customer needs a lease before this time.
        Instant leaseNeededUntil {};
        // in this interval
        std::uint32_t attempts = 0;
        std::uint32_t concurrencyRefusals = 0;
        std::uint32_t peakInFlight = 0;
        // in the interval before
        MilliRate previousRate = 0;
        std::uint32_t previousConcurrency = 0;
        // at the last request; none after an interval without one
        std::uint32_t reportedUse = 0;
        bool wereTokensLow = false;
    };

    void advance(Row &row, Instant now);
    Share shareOf(const Row &row, Instant now) const;
    std::uint32_t heldConcurrency(const Row &row, Instant now) const;
    /// Takes a call into the row; the code of the limit that is used up otherwise.
    static tl::expected<void, ResultCode> tryAdmit(Row &row, const Share &share);
    void observeDemand(Row &row, const Share &share, Instant now);
    bool isDemandHigh(const Row &row, Instant now) const;
    bool mayRequestEarly(Instant now);
    ShareDemand demandOf(const CustomerId &customer, const Row &row, Instant now) const;
    ShareDemand intervalDemand(const Row &row, Instant now) const;
    void recordReport(bool isSent, Instant now);
    void startInterval(Instant now);

    InstanceId m_self;
    Incarnation m_incarnation;
    LimitTimes m_times;
    BaselineShares m_baselines;
    std::unordered_map<CustomerId, Row> m_rows;
    std::uint64_t m_requestNumber = 0;
    std::uint64_t m_installedNumber = 0;
    Instant m_requestedAt;
    Instant m_intervalStart;
    TokenBucket m_earlyRequests;
    bool m_hasDemandRisen = false;
    bool m_isReportDue = false;
};

}
