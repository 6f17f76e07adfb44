#include "bench/measurement.h"

#include <algorithm>

namespace Galenabarrow::Bench
{

double Measurement::quantile(double fraction)
{
    if (latencies.empty()) {
        return 0;
    }
    const auto position = static_cast<std::ptrdiff_t>(static_cast<double>(latencies.size() - 1) * fraction);
    std::nth_element(latencies.begin(), latencies.begin() + position, latencies.end());
    return std::chrono::duration<double, std::milli>(latencies[static_cast<std::size_t>(position)]).count();
}

}
