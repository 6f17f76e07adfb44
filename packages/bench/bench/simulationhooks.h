#pragma once

#include "bench/scenario.h"
#include "entry/calltypes.h"
#include "entry/engineinterfaces.h"

namespace Galenabarrow::Bench
{

/// What a measurement adds to a run of the stand.
class SimulationHooks
{
public:
    virtual ~SimulationHooks() = default;
    /// The limits of the customers at one entry; called once per entry before the run.
    virtual Entry::AdmissionControl &admission(std::uint32_t entry) = 0;
    /// Called on every tick of the stand, 10 ms apart.
    virtual void tick(Instant now) = 0;
    /// A call from outside has ended; \p isSuccess when it was answered without an error.
    virtual void callFinished(const PlannedCall &call, ResultCode code, bool isSuccess, Instant now) = 0;
};

}
