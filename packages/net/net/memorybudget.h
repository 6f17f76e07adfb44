#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "base/clock.h"

namespace Galenabarrow::Net
{

/// What one connection holds in memory for its peer, and how fast that moves on.
struct MemoryUse {
    std::size_t bytes = 0;
    /// Bytes received from or taken by the peer since the connection exists.
    std::uint64_t moved = 0;
    /// The connection waits for this process or for a backend server, not for its peer.
    bool isWaitingForUs = false;
};

/// A connection that holds memory for its peer.
class MemoryHolder
{
public:
    virtual MemoryUse memoryUse() const = 0;
    /// The pressure on memory has ended: reading may continue.
    virtual void onMemoryRelief() = 0;
    /// Ends the connection, and with it what it holds.
    virtual void onMemoryEviction() = 0;

protected:
    ~MemoryHolder() = default;
};

struct MemoryBudgetSettings {
    /// 0 for no bound.
    std::size_t limit = 0;
    /// Fractions of the limit. From \c tight on, connections that hold \c largeHolding or more are not read until \c relief is reached.
    /// From \c exhausted on, new requests are rejected and connections that hold \c minEvicted or more are not read, until the middle
    /// between \c tight and \c exhausted is reached.
    double relief = 0.4;
    double tight = 0.5;
    double exhausted = 0.75;
    std::size_t largeHolding = std::size_t { 64 } * 1024;
    /// Progress that a connection needs to keep its place while memory is tight. A caller with a body of 64 KB that is sent within 5
    /// seconds makes 13 KB per second.
    std::uint64_t minBytesPerSecond = std::uint64_t { 8 } * 1024;
    /// A connection below the minimum rate for this time may be closed while memory is tight.
    Duration progressTimeout = std::chrono::seconds(4);
    /// Connections that hold less are not closed, as that would free little.
    std::size_t minEvicted = std::size_t { 16 } * 1024;
};

struct MemoryBudgetCounters {
    /// Times at which memory became tight.
    std::uint64_t tight = 0;
    /// Requests rejected because memory was exhausted.
    std::uint64_t rejected = 0;
    /// Connections closed because they made no progress.
    std::uint64_t evicted = 0;
};

class MemoryAccount;

/// The memory that a process holds for callers, in both directions, and the decisions at its limits. Without a limit it decides
/// nothing.
class MemoryBudget
{
public:
    enum class Level : std::uint8_t { Normal, Tight, Exhausted };

    /// Time between two calls of sweep() while memory is tight.
    static constexpr Duration SweepInterval = std::chrono::seconds(1);

    explicit MemoryBudget(MemoryBudgetSettings settings = {});
    MemoryBudget(const MemoryBudget &) = delete;
    MemoryBudget &operator=(const MemoryBudget &) = delete;

    bool isLimited() const;
    Level level() const;
    std::size_t used() const;
    std::size_t limit() const;
    const MemoryBudgetCounters &counters() const;
    /// Sets the callback for changes of the level.
    void onLevelChanged(std::function<void(Level)> callback);
    void recordRejection();
    /// Ends connections that made too little progress for the time limit, those that hold most first, until relief is reached. Has no
    /// effect while memory is not tight.
    void sweep(Instant now);

private:
    friend class MemoryAccount;
    void replace(std::size_t before, std::size_t after);
    void updateLevel();
    std::size_t threshold(double fraction) const;

    MemoryBudgetSettings m_settings;
    Level m_level = Level::Normal;
    std::size_t m_used = 0;
    Instant m_lastSweep {};
    std::vector<MemoryAccount *> m_accounts;
    MemoryBudgetCounters m_counters;
    std::function<void(Level)> m_levelCallback;
};

/// The part of a budget that one connection uses.
class MemoryAccount
{
public:
    /// \p budget may be null. Otherwise it must outlive the account, as \p holder must.
    MemoryAccount(MemoryBudget *budget, MemoryHolder &holder);
    ~MemoryAccount();
    MemoryAccount(const MemoryAccount &) = delete;
    MemoryAccount &operator=(const MemoryAccount &) = delete;

    /// Applies what the holder holds now.
    void update();
    /// Whether the connection holds so much that it must not be read now.
    bool mustPause() const;

private:
    friend class MemoryBudget;
    MemoryBudget *m_budget;
    MemoryHolder &m_holder;
    std::size_t m_bytes = 0;
    /// Position in the list of the budget.
    std::size_t m_index = 0;
    std::uint64_t m_movedAtSweep = 0;
    Instant m_progressAt {};
};

}
