#pragma once

#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "base/id.h"

namespace Galenabarrow::Limits
{

/// Calls per second in thousandths.
using MilliRate = std::uint64_t;

/// A part of a contract's limits.
struct Share {
    MilliRate rate = 0;
    /// Capacity of the token bucket: calls that may be admitted at once.
    std::uint32_t burst = 0;
    /// Calls in flight.
    std::uint32_t concurrency = 0;

    bool operator==(const Share &) const = default;
};

/// Demand of one entry for one customer.
struct ShareDemand {
    CustomerId customer;
    /// Calls per second for which admission was requested, whether admitted or not.
    MilliRate rate = 0;
    /// Maximum number of calls in flight, plus calls refused for concurrency, since the last report.
    std::uint32_t concurrency = 0;
    /// Leased concurrency that the entry still uses: the larger of the lease in force and the calls in flight above the baseline.
    std::uint32_t heldConcurrency = 0;

    bool operator==(const ShareDemand &) const = default;
};

/// Request of an entry for leased shares, sent to the control leader.
struct ShareRequest {
    InstanceId entry;
    Incarnation incarnation;
    /// Rises by one for each request of the incarnation.
    std::uint64_t number = 0;
    /// Number of the request whose reply is in force at the entry; 0 for none. The entry has ignored all other replies.
    std::uint64_t installed = 0;
    std::vector<ShareDemand> demands;

    bool operator==(const ShareRequest &) const = default;
};

/// A leased share of one customer.
struct ShareGrant {
    CustomerId customer;
    /// The contract that the share was divided from.
    Version contractVersion;
    Share share;
    /// Tokens, in calls, that the entry adds to its bucket. Without them a share that is requested at the start of a burst
    /// would come with an empty bucket.
    std::uint32_t tokens = 0;

    bool operator==(const ShareGrant &) const = default;
};

/// Reply to a ShareRequest.
struct ShareReply {
    /// Number of the request.
    std::uint64_t number = 0;
    /// Duration of the leases. The entry counts it from the time at which it sent the request.
    Duration lease {};
    std::vector<ShareGrant> grants;

    bool operator==(const ShareReply &) const = default;
};

}
