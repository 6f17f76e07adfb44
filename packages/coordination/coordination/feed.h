#pragma once

#include <optional>
#include <string>
#include <vector>

#include "coordination/coldservers.h"
#include "coordination/crashledger.h"
#include "coordination/entrydirectory.h"
#include "coordination/serverlimit.h"
#include "routing/routingstate.h"

namespace Galenabarrow::Coordination
{

/// An instance of the core.
struct CoreInstance {
    /// The address at which it accepts frames, as "host:port".
    InstanceId name;
    /// Empty when not known.
    DataCentreId dataCentre;
};

/// Report of an entry to the core instance that sends it updates.
struct EntryReport {
    EntryInfo entry;
    /// The last change of the state that the entry has applied.
    LogIndex knownIndex;
    /// Bytes of frames received on this connection so far. The core instance derives from it how many are in flight.
    std::uint64_t receivedBytes = 0;
    /// Limits of servers that the core instance does not know from this entry yet.
    std::vector<ServerLimit> limits;
    /// What this entry has seen of requests that were running when servers crashed, since the last report or, in the first one, ever.
    std::vector<CrashFact> crashes;
};

/// Update of the routing state that a core instance sends to an entry.
struct FeedUpdate {
    /// The last change that the update covers: after applying it, the entry knows all changes up to this one.
    LogIndex index;
    /// Whether \c servers and \c evacuations are the complete lists rather than what has changed.
    bool isWhole = false;
    /// Time since a quorum confirmed that the core instance knew every accepted change; absent without such a confirmation.
    std::optional<Duration> confirmedAge;
    /// Present when the configuration has changed: the complete one, or the items that differ from what the entry knows.
    std::optional<Routing::ConfigChange> config;
    LogIndex configAt;
    std::vector<Routing::BackendServer> servers;
    /// Including ended ones.
    std::vector<Routing::Evacuation> evacuations;
    /// Ready servers whose announcements are overdue.
    std::vector<ServerId> silent;
    /// Entries that share the retry budgets.
    unsigned entryCount = 1;
    std::vector<CoreInstance> core;
    /// Limits of servers that have changed, and this entry's shares of them. A core instance repeats all when an entry connects.
    std::vector<LimitShare> limits;
    /// The shares in cold servers take all log entries up to this one into account.
    LogIndex coldIndex;
    /// All shares of this entry in cold servers; absent when they are as this core instance sent them last.
    std::optional<std::vector<ColdShare>> coldShares;
    /// What is known of requests that were running when servers crashed, as far as the core instance has not sent it to this entry yet.
    std::vector<CrashFact> crashes;
};

/// Report of a core instance to the others about the servers and entries that contact only this instance. It crosses data
/// centres every second, so an entry that has been described before is listed by its name only.
struct CoreReport {
    CoreInstance core;
    /// Servers that announced themselves since the last report.
    std::vector<ServerId> heard;
    struct Entry {
        EntryInfo info;
        /// Time since the last report of the entry.
        Duration age {};
        /// Whether the entry has fallen silent.
        bool isLost = false;
    };
    /// Entries with their data; empty when the report is not a full one and no entry was lost.
    std::vector<Entry> entries;
    struct Alive {
        InstanceId name;
        /// Time since the last report of the entry, in whole milliseconds; saturates at about 65 s.
        Duration age {};
    };
    /// Entries that are unchanged since their last description.
    std::vector<Alive> alive;
    /// Limits of servers: those that have changed, or all in a full report.
    std::vector<ServerLimit> limits;
    /// As in EntryReport; all in a full report.
    std::vector<CrashFact> crashes;
};

// All decoders verify the buffer first and fail with FrameMalformed.

std::vector<std::uint8_t> encode(const EntryReport &report);
Result<EntryReport> decodeEntryReport(std::span<const std::uint8_t> bytes);
std::vector<std::uint8_t> encode(const FeedUpdate &update);
Result<FeedUpdate> decodeFeedUpdate(std::span<const std::uint8_t> bytes);
std::vector<std::uint8_t> encode(const CoreReport &report);
Result<CoreReport> decodeCoreReport(std::span<const std::uint8_t> bytes);
/// The result of a proposal that was forwarded to the leader.
std::vector<std::uint8_t> encodeResult(const Result<void> &result);
Result<void> decodeResult(std::span<const std::uint8_t> bytes);

}
