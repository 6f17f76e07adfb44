#pragma once

#include <chrono>
#include <cstdint>

namespace Galenabarrow
{

/// A duration in microseconds.
using Duration = std::chrono::duration<std::int64_t, std::micro>;

/// Clock type of Instant. Its epoch is unspecified, so only differences of instants have a meaning.
struct TimeLine {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<TimeLine>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): name required by the Clock traits
};

/// A point in time on the steady clock of one process.
using Instant = TimeLine::time_point;

/// Source of the current time.
class Clock
{
public:
    virtual ~Clock() = default;
    virtual Instant now() const = 0;
};

/// The monotonic clock of the machine. It also advances while the process is stopped by a signal.
class SteadyClock final : public Clock
{
public:
    Instant now() const override;
};

/// A clock that changes only when advance() is called; for tests and simulations.
class ManualClock final : public Clock
{
public:
    Instant now() const override;
    /// Moves the clock forward by \p step, which must not be negative.
    void advance(Duration step);

private:
    Instant m_now {};
};

}
