#pragma once

#include "bench/measurement.h"
#include "bench/scenario.h"

namespace Galenabarrow::Bench
{

/// The same calls with one queue per service and full knowledge: a call starts at the first free slot of a server without
/// a fault, and pays one round trip within a data centre.
Measurement measureLowerBound(const Scenario &scenario, const std::vector<PlannedCall> &calls);

}
