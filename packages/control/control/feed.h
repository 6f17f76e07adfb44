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
    /// The change that made this version.
    ChangeId change;

    bool operator==(const ContractRecord &) const = default;
};

/// Says that every change accepted before "now - age" has an index of at most \c index.
struct FreshnessStamp {
    LogIndex index;
    /// Time since the quorum confirmed the index, on the way here added up.
    Duration age {};
};

/// Asks a control instance for the changes after an index.
struct FeedRequest {
    LogIndex after;
};

/// Contracts whose last change came after \c after. Replies may be cut at their size limit; only after the reply that
/// completes the pass, the table holds every change up to \c upTo, because a contract that changes during the pass moves to
/// its end.
struct FeedReply {
    LogIndex after;
    /// The last entry that the control instance has applied.
    LogIndex upTo;
    /// Where the next request has to continue.
    LogIndex cursor;
    /// The reply was cut; ask again at once.
    bool more = false;
    std::vector<ContractRecord> contracts;
    /// All registered entries, when they changed after \c after.
    std::optional<std::vector<RegisteredEntry>> entries;
    /// Absent when the instance has no confirmation of a quorum.
    std::optional<FreshnessStamp> stamp;
    /// The term of the control instance; rises when there is a new leader.
    Term term;
};

}
