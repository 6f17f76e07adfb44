#pragma once

#include <optional>
#include <string>
#include <vector>

#include "coordination/entrydirectory.h"
#include "routing/routingstate.h"

namespace Galenabarrow::Coordination
{

/// An instance of the core.
struct CoreInstance {
    /// Its address for frames, as "host:port".
    InstanceId name;
    /// Empty when not known.
    DataCentreId dataCentre;
};

/// What an entry says of itself to the core instance that feeds it.
struct EntryReport {
    EntryInfo entry;
    /// The last change of the state that the entry has applied.
    LogIndex knownIndex;
    /// Bytes of frames that came on this connection so far; tells the core instance what is still on its way.
    std::uint64_t receivedBytes = 0;
};

/// What a core instance tells an entry.
struct FeedUpdate {
    /// The entry knows all changes up to this one when it has applied the update.
    LogIndex index;
    /// The servers are all that there are.
    bool isWhole = false;
    /// Time since the core instance was sure to know every accepted change; absent when it is not sure.
    std::optional<Duration> confirmedAge;
    /// Present when the configuration changed: all of it, or the items that differ from what the entry knows.
    std::optional<Routing::ConfigChange> config;
    LogIndex configAt;
    std::vector<Routing::BackendServer> servers;
    /// Servers that have not announced themselves for longer than they should.
    std::vector<ServerId> silent;
    /// Entries that share the retry budgets.
    unsigned entryCount = 1;
    std::vector<CoreInstance> core;
};

/// What core instances tell each other about what only one of them hears. It crosses data centres every second, so an entry
/// that was described before is only named.
struct CoreReport {
    CoreInstance core;
    /// Servers that announced themselves since the last report.
    std::vector<ServerId> heard;
    struct Entry {
        EntryInfo info;
        /// Time since the entry was heard of.
        Duration age {};
    };
    /// Entries that are new, changed or described again.
    std::vector<Entry> entries;
    struct Alive {
        InstanceId name;
        /// The same in whole milliseconds; 65 s stand for all that is longer.
        Duration age {};
    };
    /// Entries that are as they were described last.
    std::vector<Alive> alive;
};

// All decoders verify the buffer first and fail with FrameMalformed.

std::vector<std::uint8_t> encode(const EntryReport &report);
Result<EntryReport> decodeEntryReport(std::span<const std::uint8_t> bytes);
std::vector<std::uint8_t> encode(const FeedUpdate &update);
Result<FeedUpdate> decodeFeedUpdate(std::span<const std::uint8_t> bytes);
std::vector<std::uint8_t> encode(const CoreReport &report);
Result<CoreReport> decodeCoreReport(std::span<const std::uint8_t> bytes);
/// The result of a proposal that was passed on to the leader.
std::vector<std::uint8_t> encodeResult(const Result<void> &result);
Result<void> decodeResult(std::span<const std::uint8_t> bytes);

}
