#pragma once

#include <map>
#include <string>

#include "base/random.h"
#include "routing/model.h"

namespace Galenabarrow::Gateway
{

/// Distributes the requests of each route among its services by smooth weighted round robin: in any sequence of requests the
/// shares are as close to the weights as whole requests allow.
class SplitChooser
{
public:
    explicit SplitChooser(RandomSource &random);

    /// The service for the next request of \p route. At least one weight of the route must be above 0.
    ServiceId choose(const Routing::Route &route);
    /// Clears the credits, after a change of the configuration.
    void reset();

private:
    RandomSource &m_random;
    /// By route: the requests that each part is behind its share.
    std::map<std::string, std::vector<double>> m_credits;
};

}
