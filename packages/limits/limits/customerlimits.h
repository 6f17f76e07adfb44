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

/// Time constants of the limits at an entry.
struct LimitTimes {
    /// Age of the contract table at which an entry is fenced: it then admits no calls. Every entry that is not fenced knows all
    /// changes older than this.
    Duration freshnessLimit = std::chrono::seconds(5);
    /// Time between two share requests while a customer needs a lease.
    Duration requestInterval = std::chrono::seconds(1);
    /// A customer keeps its lease until its demand has been low for this long; this hysteresis keeps a fluctuating demand from
    /// returning the lease and requesting it anew each time.
    Duration leaseRetention = std::chrono::seconds(3);
    /// Rate per second and burst of requests that are sent before the interval is over.
    std::uint32_t earlyRequestRate = 1;
    std::uint32_t earlyRequestBurst = 4;
    /// Longest wait of a call for the reply to a share request. A reply from another data centre takes a few milliseconds.
    Duration replyTimeout = std::chrono::milliseconds(20);
};

/// The limits of all customers at one entry. A limit is the entry's baseline, half of the contract divided over the
/// registered entries, plus a leased share of the other half.
class CustomerLimits
{
public:
    /// Starts without tokens, so that a restart cannot admit a second burst.
    CustomerLimits(InstanceId self, Incarnation incarnation, const LimitTimes &times, Instant now);

    /// Puts a contract in force. Ends the customer's lease when one of the limits is lower than before.
    void setContract(const Contract &contract, Instant now);
    void removeContract(const CustomerId &customer, Instant now);
    /// Sets the entries that are registered in the replicated log. A lower baseline takes effect at once, a higher one after
    /// a delay, see BaselineShares.
    void setRegisteredEntries(std::span<const InstanceId> entries, Instant now);

    /// Admits one call, or fails with NoContract, RateLimited or ConcurrencyLimited. Each admitted call must be released
    /// exactly once.
    tl::expected<void, ResultCode> admit(const CustomerId &customer, Instant now);
    void release(const CustomerId &customer, Instant now);
    /// Same as admit(), for a call that admit() has already refused and counted as demand.
    tl::expected<void, ResultCode> admitWaiting(const CustomerId &customer, Instant now);
    /// Until when a refused call of the customer should wait for the reply to a share request; absent when no reply is pending.
    std::optional<Instant> shareExpectedUntil(const CustomerId &customer, Instant now) const;

    /// The request to send now, if any. To be called every few milliseconds and when isRequestDue() becomes true. Returns no
    /// request while the demand of every customer is low compared with its baseline, which is valid without a lease.
    std::optional<ShareRequest> takeRequest(Instant now);
    /// True when demand has risen so far that a request should be sent before the interval is over.
    bool isRequestDue() const;
    /// Makes takeRequest() return requests even without demand, until a leader has replied: a new leader grants concurrency
    /// earlier when every registered entry has reported the leased concurrency that it uses.
    void reportToNewLeader();
    /// Builds a request with the demand of the customers that need a lease or still use one, and ends the leases of all other
    /// customers. It supersedes earlier requests: only the reply to the latest one is accepted. takeRequest() decides when a
    /// request is sent.
    ShareRequest makeRequest(Instant now);
    /// Puts the leased shares of a reply in force. False when the reply is ignored because it does not belong to the latest
    /// request, is a duplicate, or arrives after its lease has ended.
    bool applyReply(const ShareReply &reply, Instant now);

    /// The limits in force for the customer at this entry, baseline and lease; absent without a contract.
    std::optional<Share> effectiveShare(const CustomerId &customer, Instant now);
    /// Number of the customer's calls in flight at this entry.
    std::uint32_t inFlight(const CustomerId &customer) const;

private:
    struct Lease {
        Share share;
        Instant expiry;
    };

    struct Row {
        /// Absent when the contract was withdrawn and calls are still in flight.
        std::optional<Contract> contract;
        TokenBucket bucket;
        std::optional<Lease> lease;
        std::uint32_t inFlight = 0;
        /// Whether the last request contained the customer.
        bool isRequested = false;
        /// The customer needs a lease before this time.
        Instant leaseNeededUntil {};
        // In the current interval:
        std::uint32_t attempts = 0;
        std::uint32_t concurrencyRefusals = 0;
        std::uint32_t peakInFlight = 0;
        // In the previous interval:
        MilliRate previousRate = 0;
        std::uint32_t previousConcurrency = 0;
        // At the last request; reset after an interval without one:
        std::uint32_t reportedUse = 0;
        bool wereTokensLow = false;
    };

    /// Refills the bucket up to \p now and ends the lease if it has expired.
    void advance(Row &row, Instant now);
    Share shareOf(const Row &row, Instant now) const;
    std::uint32_t heldConcurrency(const Row &row, Instant now) const;
    /// Counts an admitted call, or fails with the code of the limit that is reached.
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
