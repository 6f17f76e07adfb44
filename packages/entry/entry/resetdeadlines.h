#pragma once

#include <optional>
#include <unordered_map>

#include "base/clock.h"
#include "base/id.h"

namespace Galenabarrow::Entry
{

/// The times until which servers want no more calls, as absolute deadlines. They outlive the servers' records, so that a
/// server that is announced again is not called early.
class ResetDeadlines
{
public:
    /// The deadline that an answer states: a future absolute time first, else a positive relative one, else none.
    static std::optional<Instant> resolve(std::optional<Instant> absolute, std::optional<Duration> relative, Instant now);

    /// Notes that \p server wants no calls until \p resetAt. A time that has passed is ignored, and an earlier time doesn't
    /// shorten a later one, because answers can arrive out of order.
    void record(const ServerId &server, Instant resetAt, Instant now);
    /// Until when \p server wants no calls; an instant that has passed when it takes calls.
    Instant blockedUntil(const ServerId &server) const;
    /// Forgets the deadlines that have passed.
    void prune(Instant now);

private:
    std::unordered_map<ServerId, Instant> m_deadlines;
};

}
