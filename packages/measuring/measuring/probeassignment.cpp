#include "measuring/probeassignment.h"

#include <utility>

#include <xxhash.h>

namespace Galenabarrow::Measuring
{

void ProbeAssignment::setEntries(std::vector<InstanceId> entries)
{
    m_entries = std::move(entries);
}

std::optional<InstanceId> ProbeAssignment::prober(const ServerId &server) const
{
    const std::uint64_t seed = XXH3_64bits(server.value().data(), server.value().size());
    const InstanceId *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const InstanceId &it : m_entries) {
        const std::uint64_t weight = XXH3_64bits_withSeed(it.value().data(), it.value().size(), seed);
        // Equal weights are ordered by name, so that the order of the entries does not matter.
        if (best == nullptr || std::pair(weight, it) > std::pair(bestWeight, *best)) {
            best = &it;
            bestWeight = weight;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

}
