#pragma once

#include <map>
#include <string>

#include "base/id.h"

namespace Galenabarrow::Gateway
{

/// Usual durations of requests by service and route on undisturbed servers, and whether the last slot of a server is slower
/// than the others.
class WorkTimes
{
public:
    /// Records a request that an undisturbed server served in \p seconds. \p fillsServer: it took the last free slot.
    void record(const ServiceId &service, const std::string &route, bool fillsServer, double seconds);
    /// Usual duration in seconds while another slot is free; a default before the first sample.
    double usualSeconds(const ServiceId &service) const;
    /// Ratio of the duration in the last slot to the usual one of the same route. Assumed to be slow until samples show otherwise:
    /// looking for another server costs a probe, while trying the slot may cost late requests.
    double lastSlotSlowdown(const ServiceId &service) const;
    bool isLastSlotSlow(const ServiceId &service) const;

private:
    struct Service {
        double seconds = DefaultSeconds;
        unsigned samples = 0;
        double slowdownSum = 0;
        unsigned slowdownSamples = 0;
        /// Usual seconds by route, since routes of one service differ in the work they cause.
        std::map<std::string, double> routes;
    };
    static constexpr double DefaultSeconds = 0.15;

    std::map<ServiceId, Service> m_services;
};

}
