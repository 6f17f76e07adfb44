#include "quota/quota.h"

#include <algorithm>
#include <cmath>

namespace Galenabarrow::Quota
{

namespace
{
constexpr double FixedTolerance = 7.5;
/// Seconds of the rate. The factor 1.1 of the bound allows half a second.
constexpr double RateTolerance = 0.05;
/// Smallest change of a fraction that is sent, as a part of it.
constexpr double RelevantChange = 0.05;
}

AccountLimits accountLimits(const Routing::RoutingConfig &config)
{
    AccountLimits limits;
    for (const Routing::ClientAccount &it : config.accounts) {
        if (it.perSecond > 0) {
            limits.emplace(it.name, AccountLimit { it.perSecond, it.burst });
        }
    }
    return limits;
}

double tolerance(const AccountLimit &limit)
{
    return FixedTolerance + RateTolerance * limit.perSecond;
}

bool differs(const Fractions &a, const Fractions &b)
{
    return !std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const AccountFraction &x, const AccountFraction &y) {
        return x.account == y.account && std::abs(x.fraction - y.fraction) <= RelevantChange * x.fraction;
    });
}

}
