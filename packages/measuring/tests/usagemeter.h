#pragma once

#include <algorithm>
#include <deque>
#include <string>
#include <utility>

#include "base/clock.h"
#include "base/id.h"

namespace Galenabarrow::Measuring::Test
{

constexpr std::size_t EntryCount = 17;
constexpr Duration Window = std::chrono::seconds(10);

struct Deployment {
    std::string name;
    std::uint32_t servers;
    std::uint32_t slotsPerServer;
    double budgetPermille;
};

inline const Deployment Abyssinia { "Abyssinia", 33, 3, 5 };
inline const Deployment ODalaigh { "O Dalaigh", 30, 2, 2.5 };

inline InstanceId entryId(std::size_t n)
{
    return InstanceId("entry-" + std::to_string(n));
}

inline ServerId serverId(std::size_t n)
{
    return ServerId("server-" + std::to_string(n));
}

/// Sums the costs of the last window and records the maximum share of the slots' time that they reached.
class UsageMeter
{
public:
    /// \p slotTime is the time of all slots in one window, in seconds.
    explicit UsageMeter(double slotTime)
        : m_slotTime(slotTime)
    {
    }

    void add(Duration cost, Instant now)
    {
        m_costs.emplace_back(now, cost);
        m_sum += cost;
        while (now - m_costs.front().first >= Window) {
            m_sum -= m_costs.front().second;
            m_costs.pop_front();
        }
        m_maxPermille = std::max(m_maxPermille, std::chrono::duration<double>(m_sum).count() / m_slotTime * 1000);
    }

    /// Maximum since the start or resetMax(), in thousandths of the slots' time.
    double maxPermille() const
    {
        return m_maxPermille;
    }

    void resetMax()
    {
        m_maxPermille = 0;
    }

private:
    double m_slotTime;
    std::deque<std::pair<Instant, Duration>> m_costs;
    Duration m_sum {};
    double m_maxPermille = 0;
};

}
