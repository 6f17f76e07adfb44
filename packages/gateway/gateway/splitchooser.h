#pragma once

#include <map>
#include <string>

#include "base/random.h"
#include "routing/model.h"

namespace Galenabarrow::Gateway
{

/// Distributes the requests of each route among its services by weight, in a smooth order: over any run of requests the
/// shares are as close to the weights as whole requests allow.
class SplitChooser
{
public:
    explicit SplitChooser(RandomSource &random);

    /// The service of the next request of \p route, which has a part with a weight above 0.
    ServiceId choose(const Routing::Route &route);
    /// Starts anew, after a change of the configuration.
    void reset();

private:
    RandomSource &m_random;
    /// By route: how much each part is behind its share.
    std::map<std::string, std::vector<double>> m_credits;
};

}
