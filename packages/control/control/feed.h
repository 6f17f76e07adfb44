#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "control/command.h"

namespace Galenabarrow::Control
{

/// The contract of a customer as of its last change. A withdrawn contract stays as a tombstone with its version.
struct ContractRecord {
    Contract contract;
    bool withdrawn = false;
    /// The change that created this version.
    ChangeId change;

    bool operator==(const ContractRecord &) const = default;
};

/// States that every change accepted before "now - age" has an index of at most \c index.
struct FreshnessStamp {
    LogIndex index;
    /// Time from the confirmation by the quorum to the creation of the reply, including the time in transit between the control
    /// instances.
    Duration age {};
};

/// Asks a control instance for the changes after an index.
struct FeedRequest {
    LogIndex after;
};

/// Contracts whose last change came after \c after. The size of a reply is limited, so they may take several replies (a pass). A
/// contract that changes during a pass moves to the end of the pass; the table is therefore known to hold every change up to
/// \c upTo only after the last reply of the pass.
struct FeedReply {
    LogIndex after;
    /// The last entry that the control instance has applied.
    LogIndex upTo;
    /// The value of \c after for the next request.
    LogIndex cursor;
    /// The reply has reached its size limit; the next request should follow immediately.
    bool more = false;
    std::vector<ContractRecord> contracts;
    /// All registered entries, if they changed after \c after.
    std::optional<std::vector<RegisteredEntry>> entries;
    /// Absent when the control instance has no confirmation by a quorum.
    std::optional<FreshnessStamp> stamp;
    /// The current term of the control instance; increases with each new leader.
    Term term;
};

}
