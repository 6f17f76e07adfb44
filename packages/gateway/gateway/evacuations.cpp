#include "gateway/evacuations.h"

#include <algorithm>

namespace Galenabarrow::Gateway
{

Evacuations::Evacuations()
    : m_log("evacuations")
{
}

std::vector<DataCentreId> Evacuations::apply(const Coordination::FeedUpdate &update)
{
    std::vector<DataCentreId> ended;
    if (update.isWhole) {
        const std::set<DataCentreId> active = m_active;
        for (const DataCentreId &it : active) {
            const bool isNamed = std::any_of(update.evacuations.begin(), update.evacuations.end(),
                                             [&it](const Routing::Evacuation &other) { return other.dataCentre == it; });
            if (!isNamed && m_changedAt[it] <= update.index) {
                set(it, false, update.index);
                ended.push_back(it);
            }
        }
    }
    for (const Routing::Evacuation &it : update.evacuations) {
        const auto known = m_changedAt.find(it.dataCentre);
        if (known != m_changedAt.end() && known->second >= it.changedAt) {
            continue;
        }
        // A whole state does not tell when an evacuation ended that this entry did not know. As a change, it is recent.
        const bool isRecentEnd = !it.isActive && (!update.isWhole || contains(it.dataCentre));
        set(it.dataCentre, it.isActive, it.changedAt);
        if (isRecentEnd) {
            ended.push_back(it.dataCentre);
        }
    }
    return ended;
}

void Evacuations::set(const DataCentreId &dataCentre, bool isActive, LogIndex index)
{
    m_changedAt[dataCentre] = index;
    const bool isChanged = isActive ? m_active.insert(dataCentre).second : m_active.erase(dataCentre) > 0;
    if (isChanged) {
        m_log.info(isActive ? "evacuation_in_force" : "evacuation_ended",
                   { { "data_centre", dataCentre.value() }, { "index", std::to_string(index.value()) } });
    }
}

bool Evacuations::contains(const DataCentreId &dataCentre) const
{
    return !m_active.empty() && m_active.contains(dataCentre);
}

std::size_t Evacuations::count() const
{
    return m_active.size();
}

}
