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

/// Sums what was spent in the last window, and keeps the highest share of the slots' time.
class Ledger
{
public:
    explicit Ledger(double slotTime)
        : m_slotTime(slotTime)
    {
    }

    void spend(Duration cost, Instant now)
    {
        m_spends.emplace_back(now, cost);
        m_sum += cost;
        while (now - m_spends.front().first >= Window) {
            m_sum -= m_spends.front().second;
            m_spends.pop_front();
        }
        m_highest = std::max(m_highest, std::chrono::duration<double>(m_sum).count() / m_slotTime * 1000);
    }

    /// In thousandths of the slots' time.
    double highest() const
    {
        return m_highest;
    }

    void restart()
    {
        m_highest = 0;
    }

private:
    double m_slotTime;
    std::deque<std::pair<Instant, Duration>> m_spends;
    Duration m_sum {};
    double m_highest = 0;
};

}
