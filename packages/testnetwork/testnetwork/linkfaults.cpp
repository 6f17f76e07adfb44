#include "testnetwork/linkfaults.h"

namespace Galenabarrow::TestNetwork
{

namespace
{
constexpr std::uint64_t PermilleRange = 1000;
}

LinkFaults::LinkFaults(RandomSource &random)
    : m_random(random)
{
}

void LinkFaults::setLossPermille(std::uint32_t permille)
{
    m_lossPermille = permille;
}

void LinkFaults::setDelay(Duration minDelay, Duration maxDelay)
{
    m_minDelay = minDelay;
    m_maxDelay = maxDelay;
}

void LinkFaults::cutOneWay(std::size_t from, std::size_t to)
{
    m_cut.emplace(from, to);
}

void LinkFaults::cut(std::size_t a, std::size_t b)
{
    cutOneWay(a, b);
    cutOneWay(b, a);
}

void LinkFaults::healAll()
{
    m_cut.clear();
}

std::optional<Duration> LinkFaults::nextDelay(std::size_t from, std::size_t to)
{
    if (m_cut.count({ from, to }) != 0 || m_random.below(PermilleRange) < m_lossPermille) {
        return std::nullopt;
    }
    const auto span = static_cast<std::uint64_t>((m_maxDelay - m_minDelay).count()) + 1;
    return m_minDelay + Duration(static_cast<Duration::rep>(m_random.below(span)));
}

}
