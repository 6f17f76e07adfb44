#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <vector>

#include "contract/contract.h"
#include "limits/shares.h"
#include "limits/tokenbucket.h"

namespace Galenabarrow::Limits
{

/// Time constants of the leases.
struct LeaseTimes {
    Duration lease = std::chrono::seconds(3);
    /// An entry that has sent no request for this long is left out of the division.
    Duration demandLifetime = std::chrono::seconds(3);
};

/// Divides the leased halves of all contracts among the entries; used by the control leader. The grants that are still in
/// force never add up to more than the leased half of the contract.
class ShareAllocator
{
public:
    explicit ShareAllocator(const LeaseTimes &times);

    /// Discards all leases. Nothing is granted until the leases of earlier leaders have expired, and no concurrency until
    /// the calls admitted under them have ended as well, or every registered entry has reported the concurrency that it uses.
    void becomeLeader(Instant now);
    void setContract(const Contract &contract);
    void removeContract(const CustomerId &customer);
    void setRegisteredEntries(std::span<const InstanceId> entries);

    /// Replies to a request. \p confirmationAge is the time since a quorum last confirmed this leader, counted from when the
    /// leader asked the quorum. The lease is shortened by it, so that it ends before a successor grants anything. A request
    /// that is not newer than the last one of its sender gets an empty reply.
    ShareReply answer(const ShareRequest &request, Duration confirmationAge, Instant now);

private:
    /// A process of an entry. A restarted entry is a new holder; the grants to its previous process still count.
    struct HolderId {
        InstanceId entry;
        Incarnation incarnation;
        auto operator<=>(const HolderId &) const = default; // NOLINT(modernize-use-nullptr): as in base/id.h
    };

    /// The last request of a holder. Only the grants of the requests with these two numbers can be in force at the holder.
    struct LastRequest {
        std::uint64_t number = 0;
        std::uint64_t installed = 0;
    };

    struct Grant {
        std::uint64_t number = 0;
        Share share;
        Instant expiry;
        /// When all calls admitted under the grant have ended.
        Instant callsEndAt;
    };

    struct Holder {
        ShareDemand demand;
        Instant reportedAt;
        std::vector<Grant> grants;
        /// Until when the heldConcurrency of the demand counts as used.
        Instant heldUntil;
    };

    struct CustomerRow {
        /// Its limits are 0 when the contract was withdrawn; the leases still count.
        Contract contract;
        /// The longest deadline in any version of the contract.
        Duration deadline {};
        /// Tokens of the part of the leased rate and burst that is not granted to any holder; empty when the leader starts.
        /// Together with the tokens of the holders they never exceed the leased burst, so granting them admits no extra call.
        TokenBucket unleased;
        std::map<HolderId, Holder> holders;
    };

    bool acceptRequest(const HolderId &id, const ShareRequest &request, Instant now);
    void recordDemand(const HolderId &id, const ShareDemand &demand, Instant now);
    ShareGrant grant(CustomerRow &row, const HolderId &id, std::uint64_t number, Instant now);
    Share targetShare(const CustomerRow &row, const HolderId &id, Instant now) const;
    void refillUnleased(CustomerRow &row, Instant now) const;
    Share unleasedShare(const CustomerRow &row, Instant now) const;
    Share availableShare(const CustomerRow &row, const HolderId &id, Instant now) const;
    Share outstandingShare(const HolderId &id, const Holder &holder, Instant now) const;
    bool mayGrantConcurrency(const CustomerRow &row, Instant now) const;
    void eraseEnded(CustomerRow &row, Instant now) const;

    LeaseTimes m_times;
    std::map<CustomerId, CustomerRow> m_customers;
    std::map<HolderId, LastRequest> m_requests;
    std::vector<InstanceId> m_registered;
    /// Registered entries that have not sent a request to this leader yet.
    std::set<InstanceId> m_unreported;
    Instant m_leaderSince;
};

}
