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

/// Times of the leases.
struct LeaseTimes {
    Duration lease = std::chrono::seconds(3);
    /// A holder without a request for this long takes no part in the division.
    Duration demandLifetime = std::chrono::seconds(3);
};

/// Divides the leased halves of all contracts at the control leader. What it has granted in the last leases never adds
/// up to more than the leased half of the contract in force.
class ShareAllocator
{
public:
    explicit ShareAllocator(const LeaseTimes &times);

    /// Forgets all leases. Nothing is granted until the leases of earlier leaders have expired, and no concurrency until
    /// calls admitted under them have ended too or every registered entry has told what it holds.
    void becomeLeader(Instant now);
    void setContract(const Contract &contract);
    void removeContract(const CustomerId &customer);
    void setRegisteredEntries(std::span<const InstanceId> entries);

    /// Answers a request. \p confirmationAge is the time since a quorum last confirmed this leader, counted from when
    /// it asked the quorum; the lease is shorter by it, so that it ends before a successor grants. A request that is not
    /// newer than the last of its sender gets an empty reply.
    ShareReply answer(const ShareRequest &request, Duration confirmationAge, Instant now);

private:
    struct HolderId {
        InstanceId entry;
        Incarnation incarnation;
        auto operator<=>(const HolderId &) const = default; // NOLINT(modernize-use-nullptr): as in base/id.h
    };

    /// The last request of a holder. Only the grants of these two requests can be in force at it.
    struct LastRequest {
        std::uint64_t number = 0;
        std::uint64_t installed = 0;
    };

    struct Grant {
        std::uint64_t number = 0;
        Share share;
        Instant expiry;
        /// When calls admitted under the grant have ended.
        Instant callsEndAt;
    };

    struct Holder {
        ShareDemand demand;
        Instant reportedAt;
        std::vector<Grant> grants;
        /// Until when heldConcurrency of the demand counts.
        Instant heldUntil;
    };

    struct CustomerRow {
        /// Limits of 0 for a withdrawn contract, whose leases still count.
        Contract contract;
        /// The longest deadline of any version.
        Duration deadline {};
        /// Tokens of the part of the leased rate and burst that nobody holds; empty at the start of a leader. Together with
        /// the tokens at the holders they never exceed the leased burst, so handing them out adds no call.
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
    /// Registered entries that have sent no request to this leader.
    std::set<InstanceId> m_unreported;
    Instant m_leaderSince;
};

}
