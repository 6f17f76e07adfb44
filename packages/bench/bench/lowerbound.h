#pragma once

#include "bench/measurement.h"
#include "bench/scenario.h"

namespace Galenabarrow::Bench
{

/// Computes a lower bound of the latencies: the same calls with one queue per service and full knowledge of all slots. Each
/// call starts on the slot that is free first at a server without a fault at that time, and pays one round trip within a data centre.
Measurement measureLowerBound(const Scenario &scenario, const std::vector<PlannedCall> &calls);

}
