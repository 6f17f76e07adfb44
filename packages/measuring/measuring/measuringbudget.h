#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/clock.h"

namespace Galenabarrow::Measuring
{

/// The kinds of measurements, which all cost server time.
enum class MeasurementKind : std::uint8_t { Probe, Report, Sample };
constexpr std::size_t MeasurementKindCount = 3;

/// The agreed budget and how it is divided.
struct BudgetSettings {
    /// Share of the time of all slots that the measurements of all entries may cost. 5 for Abyssinia, 2.5 for Ó Dálaigh.
    double budgetPermille = 5;
    /// The budget is kept in every window of this length.
    Duration window = std::chrono::seconds(10);
    /// Maximum cost that one probe, report or sample may reserve. It should be well below the entry's share of a window.
    std::array<Duration, MeasurementKindCount> maxCost { std::chrono::milliseconds(20), std::chrono::milliseconds(1),
                                                         std::chrono::milliseconds(1) };
    /// Shares of probes, reports and samples in the budget; their sum is at most 1,000.
    std::array<std::uint32_t, MeasurementKindCount> sharesPermille { 700, 150, 150 };
    /// An increase of an entry's share takes effect after this delay, so that every other entry has lowered its share by then.
    Duration riseDelay = std::chrono::seconds(10);
};

/// Limits the server time that one entry spends on measurements, with a token bucket for each kind. The budget is divided
/// equally among the registered entries, however many of them the entry sees live. Over all entries, the time spent in any
/// window is at most budget x slots x window, also when entries restart: credit starts at zero and is capped at the maximum
/// cost of one measurement, which is subtracted from the refill of a window.
class MeasuringBudget
{
public:
    MeasuringBudget(const BudgetSettings &settings, Instant now);

    /// Sets the slots of all servers and the number of registered entries; without entries there is no budget.
    void setShare(std::uint32_t slots, std::uint32_t entries, Instant now);

    /// Reserves \p cost of server time before it is spent; false when it is not available. The caller must abort a probe that
    /// reaches its reserved cost.
    bool reserve(MeasurementKind kind, Duration cost, Instant now);
    /// Returns the part of a reservation that was not spent. A larger \p actual is charged and counted as an overrun.
    void settle(MeasurementKind kind, Duration reserved, Duration actual, Instant now);

    /// Server time per second, in seconds, that measurements of \p kind may cost at this entry, less the credit limit.
    double rate(MeasurementKind kind, Instant now) const;
    /// Server time that was spent or is reserved since the start.
    Duration spent() const;
    Duration spent(MeasurementKind kind) const;
    /// Server time per second, in seconds, that this entry may use for all kinds, before the credit limits are subtracted.
    double effectiveShare(Instant now) const;
    /// Number of measurements that cost more than was reserved.
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
    /// Server time per second, in seconds, from the last setShare().
    double m_share = 0;
    std::vector<PreviousShare> m_previousShares;
    Instant m_refilledAt;
    std::array<Duration, MeasurementKindCount> m_spent {};
    std::uint64_t m_overruns = 0;
};

}
