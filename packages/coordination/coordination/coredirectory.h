#pragma once

#include <map>

#include "base/clock.h"
#include "base/id.h"

namespace Galenabarrow::Coordination
{

/// What a core instance knows of the other ones from their reports. Has no sockets.
class CoreDirectory
{
public:
    /// An instance without a report for this time counts as unreachable: it reports every second, and one report may be late.
    static constexpr Duration Lifetime = std::chrono::milliseconds(2200);
    /// An entry without state is referred to the instances of its own data centre for at most this time: long enough to connect to
    /// one of them and to find that it does not answer.
    static constexpr Duration ReferralTime = std::chrono::milliseconds(500);

    void recordReport(const InstanceId &instance, const DataCentreId &dataCentre, Instant now);
    /// Empty when the instance has never reported.
    DataCentreId dataCentreOf(const InstanceId &instance) const;
    bool hasLiveInstanceIn(const DataCentreId &dataCentre, Instant now) const;
    /// Whether an entry in \p dataCentre that has known no state since \p since should get it from an instance of its own data
    /// centre: the first state is large, and bytes between data centres are expensive. \p isForming: instances of any data centre
    /// may be about to join the core.
    bool shouldRefer(const DataCentreId &dataCentre, Instant since, bool isForming, Instant now) const;

private:
    struct Row {
        DataCentreId dataCentre;
        Instant reportedAt {};
    };
    std::map<InstanceId, Row> m_rows;
};

}
