#pragma once

#include "bench/scenario.h"
#include "entry/calltypes.h"
#include "entry/engineinterfaces.h"

namespace Galenabarrow::Bench
{

/// Extension points with which a measurement takes part in a simulation.
class SimulationHooks
{
public:
    virtual ~SimulationHooks() = default;
    /// Returns the admission control of one entry. Called once per entry before the run.
    virtual Entry::AdmissionControl &admission(std::uint32_t entry) = 0;
    /// Called on every tick of the simulation, at intervals of 10 ms.
    virtual void tick(Instant now) = 0;
    /// Called when an external call has ended. \p isSuccess is true if it was answered without an error.
    virtual void callFinished(const PlannedCall &call, ResultCode code, bool isSuccess, Instant now) = 0;
};

}
