#pragma once

#include <map>
#include <utility>
#include <vector>

#include "testnetwork/linkfaults.h"

namespace Galenabarrow::TestNetwork
{

/// Simulated network between numbered nodes of a test, with the faults of LinkFaults.
template<typename Message>
class LossyNetwork
{
public:
    struct Delivery {
        std::size_t from = 0;
        std::size_t to = 0;
        Message message;
    };

    explicit LossyNetwork(RandomSource &random)
        : m_faults(random)
    {
    }

    LinkFaults &faults()
    {
        return m_faults;
    }

    void send(std::size_t from, std::size_t to, Message message, Instant now)
    {
        if (const std::optional<Duration> delay = m_faults.nextDelay(from, to)) {
            m_inTransit.emplace(now + *delay, Delivery { from, to, std::move(message) });
        }
    }

    /// Removes and returns the messages that have arrived by \p now, in the order of their arrival.
    std::vector<Delivery> takeArrived(Instant now)
    {
        std::vector<Delivery> arrived;
        while (!m_inTransit.empty() && m_inTransit.begin()->first <= now) {
            arrived.push_back(std::move(m_inTransit.begin()->second));
            m_inTransit.erase(m_inTransit.begin());
        }
        return arrived;
    }

private:
    LinkFaults m_faults;
    std::multimap<Instant, Delivery> m_inTransit;
};

}
