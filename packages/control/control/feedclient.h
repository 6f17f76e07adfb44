#pragma once

#include <map>
#include <optional>
#include <vector>

#include "base/random.h"
#include "control/feed.h"
#include "control/outgoing.h"

namespace Galenabarrow::Control
{

/// Times and limits of the feed at an entry.
struct FeedTiming {
    /// Time between two requests.
    Duration interval = std::chrono::milliseconds(500);
    /// The client switches to another control instance when a request is unanswered for this time.
    Duration timeout = std::chrono::milliseconds(1000);
    /// The client switches to another control instance when a stamp is older than this: the instance may have lost its quorum.
    Duration staleAge = std::chrono::seconds(2);
    /// Time after which the client returns to the control instance that it chose at the start. Without it, all entries would stay
    /// with the leader, which is the first instance with a confirmation when a cluster starts.
    Duration returnAfter = std::chrono::seconds(30);
    /// An entry accepts no work when the last confirmation that its table has reached is older than this.
    Duration freshnessLimit = std::chrono::seconds(5);
};

/// The deterministic core of the contract feed at an entry: maintains the table of contracts and decides whether it is fresh
/// enough to be used.
class FeedClient
{
public:
    using Table = std::map<CustomerId, ContractRecord>;

    /// \p controls must not be empty; a request goes to one of them at a time. \p random must outlive the client.
    FeedClient(std::vector<ControlPeer> controls, RandomSource &random, FeedTiming timing = {});

    /// To be called every 10 to 100 ms.
    void tick(Instant now);
    /// Handles a FeedReply; other kinds and replies to other requests than the open one are ignored. Returns whether the table or
    /// the registered entries changed. Fails with FrameMalformed.
    Result<bool> receive(const Wire::Envelope &envelope, Instant now);
    /// The messages queued since the last call.
    std::vector<Outgoing> takeOutgoing();

    /// True unless the table is confirmed to hold every change that was accepted longer ago than the freshness limit. A fenced
    /// entry accepts no work. To be called before each use of the table: an entry that was suspended is fenced when it resumes.
    bool isFenced(Instant now) const;
    /// Age of the newest confirmation whose index the table has reached; absent before the first.
    std::optional<Duration> freshnessAge(Instant now) const;
    /// True when the table has reached the index of the newest stamp received.
    bool hasReachedStamp() const;

    /// All contracts, including withdrawn ones.
    const Table &contracts() const;
    /// The contract in force; null for a customer without one. Valid until the next receive.
    const Contract *find(const CustomerId &customer) const;
    const std::vector<RegisteredEntry> &registeredEntries() const;
    /// The table holds every change up to this index.
    LogIndex tableIndex() const;
    /// The highest term received; it increases with each new leader.
    Term term() const;
    /// The control instance that requests are sent to.
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
    /// The changes after this index are requested next; ahead of the table index while a pass is incomplete.
    LogIndex m_cursor;
    /// A pass is complete when a control instance that has applied at least this index has no more changes.
    LogIndex m_passTarget;
    std::optional<Confirmation> m_newestConfirmation;
    std::optional<Confirmation> m_reachedConfirmation;
    std::vector<Outgoing> m_outgoing;
};

}
