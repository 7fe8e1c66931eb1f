/// Clock abstraction. Decision code receives a TimePoint with each event and never reads a clock
/// itself; the surrounding I/O code reads the Clock passed to it, which tests can control.
#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>

namespace laburnum {

using Duration = std::chrono::nanoseconds;

/// Tag type of the monotonic time used for all timers and leases.
struct RuntimeTimeline {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<RuntimeTimeline>;
    static constexpr bool is_steady = true;
};

/// A point in time; comparable only within one process.
using TimePoint = RuntimeTimeline::time_point;

/// Converts to milliseconds for logs and wire messages.
constexpr std::int64_t toMillis(Duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

/// A century. Sums of a point in time and a few such durations do not overflow.
inline constexpr Duration maxDuration = std::chrono::hours(24 * 365 * 100);

/// Converts to a Duration within maxDuration on either side of zero; zero for NaN. The conversion
/// of larger values is undefined, and its results differ between processors.
inline Duration fromSeconds(double seconds)
{
    constexpr double limit = std::chrono::duration<double>(maxDuration).count();
    return std::isnan(seconds) ? Duration::zero()
                               : std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
                                   std::clamp(seconds, -limit, limit)));
}

/// Source of the current time.
class Clock {
public:
    virtual ~Clock() = default;
    /// The current time. Never decreases.
    virtual TimePoint now() const noexcept = 0;
};

/// The host's monotonic clock. Includes time in which the host was suspended, so that leases and
/// the ages of received information advance meanwhile.
class SteadyClock final : public Clock {
public:
    TimePoint now() const noexcept override;
};

/// A clock that advances only by advance(). Thread-safe.
class ManualClock final : public Clock {
public:
    TimePoint now() const noexcept override;
    /// Advances the clock by `d`, which must not be negative.
    void advance(Duration d) noexcept;

private:
    std::atomic<Duration::rep> m_now { 0 };
};

} // namespace laburnum
