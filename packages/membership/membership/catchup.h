#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"

namespace Galenabarrow::Membership
{

/// Asks peers for all that this instance has missed, until each of them has answered or the time is over. A record that an
/// announcer is leaving is repeated for a short time only, so an instance whose links were broken for longer has to ask.
class CatchUp
{
public:
    /// \p resendInterval is the time between two requests to one peer, \p timeout the longest time of a round.
    CatchUp(Duration resendInterval, Duration timeout);

    /// Begins a round that waits for all \p addresses.
    void start(const std::vector<std::string> &addresses, Instant now);
    bool isRunning(Instant now) const;
    /// The peers to ask now.
    std::vector<std::string> collectDue(Instant now);
    /// Identifies the round in requests and answers; never 0.
    std::uint64_t round() const;
    /// Takes an answer; one to an earlier round is ignored.
    void recordAnswer(std::uint64_t round, const std::string &address);

private:
    Duration m_resendInterval;
    Duration m_timeout;
    std::set<std::string> m_waiting;
    std::uint64_t m_round = 0;
    Instant m_deadline {};
    Instant m_nextSend {};
};

}
