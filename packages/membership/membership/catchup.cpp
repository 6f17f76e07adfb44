#include "membership/catchup.h"

namespace Galenabarrow::Membership
{

CatchUp::CatchUp(Duration resendInterval, Duration timeout)
    : m_resendInterval(resendInterval)
    , m_timeout(timeout)
{
}

void CatchUp::start(const std::vector<std::string> &addresses, Instant now)
{
    ++m_round;
    m_unanswered = std::set<std::string>(addresses.begin(), addresses.end());
    m_deadline = now + m_timeout;
    m_nextSend = now;
}

bool CatchUp::isRunning(Instant now) const
{
    return !m_unanswered.empty() && now < m_deadline;
}

std::vector<std::string> CatchUp::collectDue(Instant now)
{
    if (!isRunning(now) || now < m_nextSend) {
        return {};
    }
    m_nextSend = now + m_resendInterval;
    return { m_unanswered.begin(), m_unanswered.end() };
}

std::uint64_t CatchUp::round() const
{
    return m_round;
}

void CatchUp::recordAnswer(std::uint64_t round, const std::string &address)
{
    if (round == m_round) {
        m_unanswered.erase(address);
    }
}

}
