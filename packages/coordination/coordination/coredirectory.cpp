#include "coordination/coredirectory.h"

#include <algorithm>

namespace Galenabarrow::Coordination
{

void CoreDirectory::recordReport(const InstanceId &instance, const DataCentreId &dataCentre, Instant now)
{
    m_rows[instance] = Row { dataCentre, now };
}

DataCentreId CoreDirectory::dataCentreOf(const InstanceId &instance) const
{
    const auto it = m_rows.find(instance);
    return it == m_rows.end() ? DataCentreId() : it->second.dataCentre;
}

bool CoreDirectory::hasLiveInstanceIn(const DataCentreId &dataCentre, Instant now) const
{
    return std::any_of(m_rows.begin(), m_rows.end(),
                       [&](const auto &row) { return row.second.dataCentre == dataCentre && now - row.second.reportedAt <= Lifetime; });
}

bool CoreDirectory::shouldRefer(const DataCentreId &dataCentre, Instant since, bool isForming, Instant now) const
{
    return now - since < ReferralTime && (isForming || hasLiveInstanceIn(dataCentre, now));
}

}
