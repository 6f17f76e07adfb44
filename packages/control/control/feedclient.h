#pragma once

#include <map>
#include <optional>
#include <vector>

#include "base/random.h"
#include "control/feed.h"
#include "control/outgoing.h"

namespace Galenabarrow::Control
{

/// Limits of the feed at an entry.
struct FeedTiming {
    /// Time between two requests.
    Duration interval = std::chrono::milliseconds(500);
    /// A control instance that has not answered after this time is replaced by another.
    Duration timeout = std::chrono::milliseconds(1000);
    /// A control instance whose stamps are older than this is replaced by another: it may have lost its quorum.
    Duration staleAge = std::chrono::seconds(2);
    /// After this time with another control instance, the one chosen at the start is asked again. Without it, all entries stay with the
    /// leader, which is the first with a confirmation when a cluster starts.
    Duration returnAfter = std::chrono::seconds(30);
    /// An entry whose table is not confirmed younger than this accepts no work.
    Duration freshnessLimit = std::chrono::seconds(5);
};

/// The deterministic core of the contract feed at an entry: keeps the contract table in force and says whether the entry
/// may use it.
class FeedClient
{
public:
    using Table = std::map<CustomerId, ContractRecord>;

    /// \p controls must not be empty; a request goes to one of them at a time. \p random must outlive the client.
    FeedClient(std::vector<ControlPeer> controls, RandomSource &random, FeedTiming timing = {});

    /// Call it every 10 to 100 ms.
    void tick(Instant now);
    /// Takes a FeedReply; other kinds and replies to no request of this client are ignored. Returns whether the table or
    /// the registered entries changed. Fails with FrameMalformed.
    Result<bool> receive(const Wire::Envelope &envelope, Instant now);
    /// The messages to send since the last call.
    std::vector<Outgoing> takeOutgoing();

    /// True when the table is not confirmed to hold every change accepted longer ago than the limit. An entry that is
    /// fenced accepts no work. Compare at each use: an entry that was frozen is fenced as soon as it wakes.
    bool isFenced(Instant now) const;
    /// Age of the newest stamp that the table has reached; absent before the first.
    std::optional<Duration> freshnessAge(Instant now) const;
    /// True when the table has reached the index of the newest stamp received.
    bool hasReachedStamp() const;

    /// All contracts, withdrawn ones too.
    const Table &contracts() const;
    /// The contract in force; null for a customer without one. Valid until the next receive.
    const Contract *find(const CustomerId &customer) const;
    const std::vector<RegisteredEntry> &registeredEntries() const;
    /// Every change up to this index is in the table.
    LogIndex tableIndex() const;
    /// The highest term received; a rise tells of a new leader.
    Term term() const;
    /// The control instance that is asked.
    const ControlPeer &control() const;

private:
    struct Request {
        std::uint64_t correlation = 0;
        LogIndex after;
        Instant sentAt {};
    };
    struct Confirmation {
        LogIndex index;
        /// Every change accepted before this time has at most this index.
        Instant madeAt {};
    };
    void sendRequest(Instant now);
    void switchControl(Instant now);
    bool applyChanges(const FeedReply &reply);
    void advanceCursor(const FeedReply &reply);
    void applyStamp(const FreshnessStamp &stamp, Instant sentAt);

    std::vector<ControlPeer> m_controls;
    RandomSource &m_random;
    FeedTiming m_timing;
    std::size_t m_current = 0;
    std::size_t m_preferred = 0;
    Instant m_leftPreferredAt {};
    std::uint64_t m_lastCorrelation = 0;
    std::optional<Request> m_request;
    Instant m_nextRequest {};
    Table m_table;
    std::vector<RegisteredEntry> m_entries;
    LogIndex m_entriesIndex;
    LogIndex m_tableIndex;
    Term m_term;
    /// Start of the next request; before the table index while a pass is incomplete.
    LogIndex m_cursor;
    /// The pass is complete when a control instance that has applied this index has nothing more.
    LogIndex m_passTarget;
    std::optional<Confirmation> m_newestConfirmation;
    std::optional<Confirmation> m_reachedConfirmation;
    std::vector<Outgoing> m_outgoing;
};

}
