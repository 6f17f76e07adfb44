#pragma once

#include "bench/measurement.h"
#include "bench/scenario.h"

namespace Galenabarrow::Bench
{

/// Computes a lower bound of the latencies: the same calls with one global queue per service. Each call starts on the slot of a
/// fault-free server that is free first, and takes one round trip within a data centre.
Measurement measureLowerBound(const Scenario &scenario, const std::vector<PlannedCall> &calls);

}
