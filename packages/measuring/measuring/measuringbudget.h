#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/clock.h"

namespace Galenabarrow::Measuring
{

/// What server time is spent on.
enum class MeasurementKind : std::uint8_t { Probe, Report, Sample };
constexpr std::size_t MeasurementKindCount = 3;

/// The agreed budget and how it is divided.
struct BudgetSettings {
    /// Share of all slots' time that measuring may cost, over all entries. 5 for Abyssinia, 2.5 for Ó Dálaigh.
    double budgetPermille = 5;
    /// The budget holds in each span of this length.
    Duration window = std::chrono::seconds(10);
    /// Most that one probe, report or sample may reserve. It should be well below the entry's share of a window.
    std::array<Duration, MeasurementKindCount> maxCost { std::chrono::milliseconds(20), std::chrono::milliseconds(1),
                                                         std::chrono::milliseconds(1) };
    /// Shares of probes, reports and samples; at most 1,000 in all.
    std::array<std::uint32_t, MeasurementKindCount> sharesPermille { 700, 150, 150 };
    /// A share rises this long after its cause, so that every other entry has lowered its own by then.
    Duration riseDelay = std::chrono::seconds(10);
};

/// Keeps the server time that one entry spends on measuring within its part of the budget: the budget divided equally
/// over the registered entries, whatever the entry sees of them. Over all entries, the time spent in any window is at
/// most budget x slots x window, also when entries restart: credit starts at zero and is kept only up to a reserve that
/// is taken out of the budget.
class MeasuringBudget
{
public:
    MeasuringBudget(const BudgetSettings &settings, Instant now);

    /// Slots of all servers, and the number of registered entries; 0 entries leave no budget.
    void setShare(std::uint32_t slots, std::uint32_t entries, Instant now);

    /// Reserves \p cost of server time before it is spent; false when it is not available. The caller ends a probe that
    /// reaches its reserved cost.
    bool reserve(MeasurementKind kind, Duration cost, Instant now);
    /// Returns the part of a reservation that was not spent. A larger \p actual is charged and counted as an overrun.
    void settle(MeasurementKind kind, Duration reserved, Duration actual, Instant now);

    /// Server time per second that \p kind may cost at this entry, as a share of 1.
    double rate(MeasurementKind kind, Instant now) const;
    /// Server time spent or reserved since the start.
    Duration spent() const;
    Duration spent(MeasurementKind kind) const;
    /// Server time per second that this entry may cost, before the reserves are taken out, as a share of 1.
    double effectiveShare(Instant now) const;
    /// Spends that cost more than was reserved.
    std::uint64_t overruns() const;

private:
    struct PreviousShare {
        double share = 0;
        Instant replacedAt {};
    };

    double kindShare(MeasurementKind kind) const;
    double creditLimit(MeasurementKind kind) const;
    void refill(Instant now);

    BudgetSettings m_settings;
    /// Microseconds of server time; negative after an overrun.
    std::array<double, MeasurementKindCount> m_credit {};
    /// Server time per time for this entry, from the last setShare().
    double m_share = 0;
    std::vector<PreviousShare> m_previousShares;
    Instant m_refilledAt;
    std::array<Duration, MeasurementKindCount> m_spent {};
    std::uint64_t m_overruns = 0;
};

}
