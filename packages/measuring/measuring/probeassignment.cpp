#include "measuring/probeassignment.h"

#include <utility>

#include <xxhash.h>

namespace Galenabarrow::Measuring
{

std::uint64_t ProbeAssignment::weight(const InstanceId &entry, const ServerId &server)
{
    const std::uint64_t seed = XXH3_64bits(server.value().data(), server.value().size());
    return XXH3_64bits_withSeed(entry.value().data(), entry.value().size(), seed);
}

void ProbeAssignment::setEntries(std::vector<InstanceId> entries)
{
    m_entries = std::move(entries);
}

std::optional<InstanceId> ProbeAssignment::prober(const ServerId &server) const
{
    const InstanceId *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const InstanceId &it : m_entries) {
        const std::uint64_t weight = ProbeAssignment::weight(it, server);
        // Equal weights are ordered by name, so that the order of the entries does not matter.
        if (best == nullptr || std::pair(weight, it) > std::pair(bestWeight, *best)) {
            best = &it;
            bestWeight = weight;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

}
