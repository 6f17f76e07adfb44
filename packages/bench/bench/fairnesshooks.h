#pragma once

#include <array>
#include <map>
#include <memory>
#include <vector>

#include "bench/measurement.h"
#include "bench/simulationhooks.h"
#include "limits/customerlimits.h"
#include "limits/shareallocator.h"

namespace Galenabarrow::Bench
{

/// The results of one group of customers in one window.
struct GroupResult {
    Measurement measurement;
    /// Number of failed calls by result code.
    std::map<ResultCode, std::uint64_t> refusals;
};

/// Simulates the limits of all entries, with leases from one control leader. Collects the results of the customer that exceeds
/// its contract and of the others separately.
class FairnessHooks final : public SimulationHooks
{
public:
    /// The customer that exceeds its contract.
    static constexpr std::uint32_t ExcessCustomer = 0;

    /// All customers get \p contract, with the customer's name and all services filled in.
    FairnessHooks(const Scenario &scenario, std::uint32_t customers, Contract contract);

    Entry::AdmissionControl &admission(std::uint32_t entry) override;
    void tick(Instant now) override;
    void callFinished(const PlannedCall &call, ResultCode code, bool isSuccess, Instant now) override;

    /// Calls that arrived between windowStart() and windowEnd() of the scenario.
    GroupResult excess;
    GroupResult others;
    /// Latencies of others: calls that arrived in the first SettleTime after windowStart(), while the excess customer still uses up its
    /// burst, and those that arrived later.
    Measurement firstOthers;
    Measurement laterOthers;
    static constexpr Duration SettleTime = 5s;

private:
    class Admission final : public Entry::AdmissionControl
    {
    public:
        Admission(InstanceId self, Instant now);
        tl::expected<void, ResultCode> admit(const CustomerId &customer, Instant now) override;
        void release(const CustomerId &customer, Instant now) override;

        Limits::CustomerLimits limits;
        Instant nextRequest {};
        /// Delivered on the next tick.
        std::optional<Limits::ShareReply> reply;
    };

    const Scenario &m_scenario;
    Limits::ShareAllocator m_leader;
    std::vector<std::unique_ptr<Admission>> m_entries;
};

}
