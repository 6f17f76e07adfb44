#include "gateway/worktimes.h"

#include <algorithm>

namespace Galenabarrow::Gateway
{

namespace
{

/// Weight of the newest sample in the moving averages.
constexpr double SampleWeight = 0.05;
/// Assumed slowdown of the last slot, and its weight in samples: two samples without a slowdown outweigh it.
constexpr double PriorSlowdown = 1.3;
constexpr double PriorSamples = 2;
/// Shorter requests are not compared: round trips and new connections take a large part of their time.
constexpr double MinComparedSeconds = 0.02;
/// A last slot with a larger slowdown is avoided while there are others; durations of one route spread by about 30%.
constexpr double SlowLastSlotThreshold = 1.2;
/// Samples are limited to this slowdown: some requests take many times the usual work.
constexpr double MaxSampleSlowdown = 3;
/// At this number of samples the weight of the older ones is halved, so that a change of the service is noticed.
constexpr unsigned MaxSlowdownSamples = 100;

}

void WorkTimes::record(const ServiceId &service, const std::string &route, bool fillsServer, double seconds)
{
    Service &row = m_services[service];
    const auto known = row.routes.find(route);
    if (!fillsServer) {
        ++row.samples;
        // The first samples are averaged with equal weights, which replaces the default at once.
        row.seconds += (seconds - row.seconds) * std::max(SampleWeight, 1.0 / row.samples);
        double &usual = known == row.routes.end() ? row.routes.emplace(route, seconds).first->second : known->second;
        usual += (seconds - usual) * SampleWeight;
        return;
    }
    if (known == row.routes.end() || known->second < MinComparedSeconds) {
        return;
    }
    if (row.slowdownSamples >= MaxSlowdownSamples) {
        row.slowdownSum /= 2;
        row.slowdownSamples /= 2;
    }
    row.slowdownSum += std::min(seconds / known->second, MaxSampleSlowdown);
    ++row.slowdownSamples;
}

double WorkTimes::usualSeconds(const ServiceId &service) const
{
    const auto it = m_services.find(service);
    return it == m_services.end() ? DefaultSeconds : it->second.seconds;
}

double WorkTimes::lastSlotSlowdown(const ServiceId &service) const
{
    const auto it = m_services.find(service);
    if (it == m_services.end()) {
        return PriorSlowdown;
    }
    const Service &row = it->second;
    return (PriorSlowdown * PriorSamples + row.slowdownSum) / (PriorSamples + row.slowdownSamples);
}

bool WorkTimes::isLastSlotSlow(const ServiceId &service) const
{
    return lastSlotSlowdown(service) > SlowLastSlotThreshold;
}

}
