#pragma once

#include <optional>
#include <unordered_map>

#include "base/clock.h"
#include "base/id.h"

namespace Galenabarrow::Entry
{

/// The times before which servers have asked for no more calls. They are retained when a server's record is removed, so that a
/// server that is announced once more is not called too early.
class ResetDeadlines
{
public:
    /// The reset time of an answer: the absolute time if it lies in the future, else \p now plus a positive relative time, else
    /// nullopt.
    static std::optional<Instant> resolve(std::optional<Instant> absolute, std::optional<Duration> relative, Instant now);

    /// Blocks \p server until \p resetAt. Times in the past are ignored, and an earlier time does not replace a later one,
    /// because answers can arrive out of order.
    void block(const ServerId &server, Instant resetAt, Instant now);
    /// The time until which \p server is blocked; a time in the past when it accepts calls.
    Instant blockedUntil(const ServerId &server) const;
    /// Erases the deadlines that have passed.
    void prune(Instant now);

private:
    std::unordered_map<ServerId, Instant> m_deadlines;
};

}
