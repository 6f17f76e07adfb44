#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"

namespace Galenabarrow::Membership
{

/// Asks every peer for the records that this instance has missed, until each has answered or a timeout has passed.
/// Other instances resend a leaving record for a short time only, so an instance that was disconnected for longer has to request it.
class CatchUp
{
public:
    /// \p resendInterval is the time between two requests to one peer, \p timeout the longest duration of a round.
    CatchUp(Duration resendInterval, Duration timeout);

    /// Starts a round that waits for an answer from each of \p addresses.
    void start(const std::vector<std::string> &addresses, Instant now);
    bool isRunning(Instant now) const;
    /// The addresses to send a request to now: all without an answer, once per resend interval.
    std::vector<std::string> collectDue(Instant now);
    /// Identifies the round in requests and answers; not 0 once a round was started.
    std::uint64_t round() const;
    /// Records the answer of \p address; an answer to an earlier round is ignored.
    void recordAnswer(std::uint64_t round, const std::string &address);

private:
    Duration m_resendInterval;
    Duration m_timeout;
    std::set<std::string> m_unanswered;
    std::uint64_t m_round = 0;
    Instant m_deadline {};
    Instant m_nextSend {};
};

}
