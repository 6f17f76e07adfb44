#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/log.h"
#include "coordination/feed.h"

namespace Galenabarrow::Gateway
{

/// The data centres whose servers receive nothing by an operator's order, as this entry knows them. Uses no sockets.
class Evacuations
{
public:
    Evacuations();

    /// Applies the evacuations of a feed update. Returns the data centres whose evacuation has ended since the last update.
    std::vector<DataCentreId> apply(const Coordination::FeedUpdate &update);
    bool contains(const DataCentreId &dataCentre) const;
    /// Number of evacuations in force.
    std::size_t count() const;

private:
    void set(const DataCentreId &dataCentre, bool isActive, LogIndex index);

    Log m_log;
    /// The last change of each evacuation, so that an update from a lagging core instance restores no earlier state.
    std::map<DataCentreId, LogIndex> m_changedAt;
    std::set<DataCentreId> m_active;
};

}
