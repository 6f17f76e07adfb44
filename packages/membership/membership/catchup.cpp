#include "membership/catchup.h"

namespace Galenabarrow::Membership
{

CatchUp::CatchUp(Duration resendInterval, Duration limit)
    : m_resendInterval(resendInterval)
    , m_limit(limit)
{
}

void CatchUp::start(const std::vector<std::string> &addresses, Instant now)
{
    ++m_round;
    m_waiting = std::set<std::string>(addresses.begin(), addresses.end());
    m_until = now + m_limit;
    m_nextSend = now;
}

bool CatchUp::isRunning(Instant now) const
{
    return !m_waiting.empty() && now < m_until;
}

std::vector<std::string> CatchUp::takeDue(Instant now)
{
    if (!isRunning(now) || now < m_nextSend) {
        return {};
    }
    m_nextSend = now + m_resendInterval;
    return { m_waiting.begin(), m_waiting.end() };
}

std::uint64_t CatchUp::round() const
{
    return m_round;
}

void CatchUp::answered(std::uint64_t round, const std::string &address)
{
    if (round == m_round) {
        m_waiting.erase(address);
    }
}

}
