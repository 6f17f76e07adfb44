#include "gateway/splitchooser.h"

#include <algorithm>
#include <cassert>
#include <numeric>

namespace Galenabarrow::Gateway
{

SplitChooser::SplitChooser(RandomSource &random)
    : m_random(random)
{
}

ServiceId SplitChooser::choose(const Routing::Route &route)
{
    assert(!route.split.empty());
    if (route.split.size() == 1) {
        return route.split.front().service;
    }
    const double sum = std::accumulate(route.split.begin(), route.split.end(), 0.0,
                                       [](double total, const Routing::SplitPart &it) { return total + it.weight; });
    std::vector<double> &credits = m_credits[route.name];
    if (credits.size() != route.split.size()) {
        credits.assign(route.split.size(), 0);
        // Start with random credits: otherwise all entries would send their first requests to the same service.
        for (std::size_t n = 0; n < credits.size(); ++n) {
            credits[n] = m_random.unit() * route.split[n].weight / sum;
        }
    }
    for (std::size_t n = 0; n < credits.size(); ++n) {
        credits[n] += route.split[n].weight / sum;
    }
    const auto largest = std::max_element(credits.begin(), credits.end());
    *largest -= 1;
    return route.split[static_cast<std::size_t>(largest - credits.begin())].service;
}

void SplitChooser::reset()
{
    m_credits.clear();
}

}
