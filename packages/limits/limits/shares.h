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
    /// Calls above the rate at once.
    std::uint32_t burst = 0;
    /// Calls in flight.
    std::uint32_t concurrency = 0;

    bool operator==(const Share &) const = default;
};

/// What one entry wants for one customer.
struct ShareDemand {
    CustomerId customer;
    /// Calls that asked for admission per second, admitted or not.
    MilliRate rate = 0;
    /// Most calls in flight or refused for concurrency since the last report.
    std::uint32_t concurrency = 0;
    /// Leased concurrency that the entry still uses: the lease in force, or the calls in flight above the baseline.
    std::uint32_t heldConcurrency = 0;

    bool operator==(const ShareDemand &) const = default;
};

/// Asks the control leader for leased shares.
struct ShareRequest {
    InstanceId entry;
    Incarnation incarnation;
    /// Rises by one for each request of the incarnation.
    std::uint64_t number = 0;
    /// The request whose reply is in force at the entry; 0 for none. All other replies have been ignored.
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
    /// Calls of the leased burst that the entry may admit at once. A share that is only asked for when a burst has begun
    /// would otherwise come with an empty bucket.
    std::uint32_t tokens = 0;

    bool operator==(const ShareGrant &) const = default;
};

/// Answers a ShareRequest.
struct ShareReply {
    /// The request's number.
    std::uint64_t number = 0;
    /// Counted by the entry from when it sent the request.
    Duration lease {};
    std::vector<ShareGrant> grants;

    bool operator==(const ShareReply &) const = default;
};

}
