#include "coordination/holderchoice.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

#include <xxhash.h>

namespace Galenabarrow::Coordination
{

namespace
{

struct Candidate {
    bool isRemote = false;
    std::uint64_t weight = 0;
    const InstanceId *entry = nullptr;

    bool operator<(const Candidate &other) const
    {
        return std::tie(isRemote, weight) < std::tie(other.isRemote, other.weight);
    }
};

std::uint64_t weight(const InstanceId &entry, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(entry.value().data(), entry.value().size(), seed);
}

}

std::set<InstanceId> chooseHolders(const ServerId &server, const DataCentreId &dataCentre, const std::vector<EntryInfo> &entries,
                                   std::size_t count)
{
    count = std::min(count, entries.size());
    const std::uint64_t seed = XXH3_64bits(server.value().data(), server.value().size());
    std::vector<Candidate> candidates;
    candidates.reserve(entries.size());
    for (const EntryInfo &it : entries) {
        candidates.push_back(Candidate { it.dataCentre != dataCentre, weight(it.name, seed), &it.name });
    }
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end());
    std::set<InstanceId> holders;
    for (std::size_t n = 0; n < count; ++n) {
        holders.insert(*candidates[n].entry);
    }
    return holders;
}

}
