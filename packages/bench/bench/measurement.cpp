#include "bench/measurement.h"

#include <algorithm>

namespace Galenabarrow::Bench
{

double Measurement::quantile(double share)
{
    if (latencies.empty()) {
        return 0;
    }
    const auto place = static_cast<std::ptrdiff_t>(static_cast<double>(latencies.size() - 1) * share);
    std::nth_element(latencies.begin(), latencies.begin() + place, latencies.end());
    return std::chrono::duration<double, std::milli>(latencies[static_cast<std::size_t>(place)]).count();
}

}
