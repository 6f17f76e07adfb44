#include "control/firststart.h"

#include <algorithm>
#include <string>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace Galenabarrow::Control
{

std::uint64_t firstStartDigest(std::vector<InstanceId> instances)
{
    std::sort(instances.begin(), instances.end());
    std::string text;
    for (const InstanceId &it : instances) {
        text.append(it.value()).append("\n");
    }
    return XXH3_64bits(text.data(), text.size()) | 1U;
}

}
