#pragma once

#include <map>
#include <string>

#include "base/id.h"

namespace Galenabarrow::Gateway
{

/// How long work usually takes, by service and route, on servers that are not disturbed; and whether the last slot of a
/// server is slower than the others.
class WorkTimes
{
public:
    /// A request on an undisturbed server was served in \p seconds; \p fillsServer when it took the last free slot.
    void record(const ServiceId &service, const std::string &route, bool fillsServer, double seconds);
    /// Usual duration in seconds with a slot to spare; a default before the first sample.
    double usualSeconds(const ServiceId &service) const;
    /// Duration with the last slot taken, compared with the usual one of the same route. Supposed to be slow until samples say
    /// otherwise: looking for another server costs a probe, and finding out costs late requests.
    double lastSlotSlowdown(const ServiceId &service) const;
    bool isLastSlotSlow(const ServiceId &service) const;

private:
    struct Service {
        double seconds = DefaultSeconds;
        unsigned samples = 0;
        double slowdownSum = 0;
        unsigned slowdownSamples = 0;
        /// Usual seconds by route: routes of one service differ in the work they cause.
        std::map<std::string, double> routes;
    };
    static constexpr double DefaultSeconds = 0.15;

    std::map<ServiceId, Service> m_services;
};

}
