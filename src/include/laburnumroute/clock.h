/// The clock of the runtime. Decision code takes a TimePoint with each event and never asks a
/// clock itself; shells read the Clock that they were given, which tests pause and advance.
#pragma once

#include <atomic>
#include <chrono>

namespace laburnum {

using Duration = std::chrono::nanoseconds;

/// Tag of the monotonic time line on which all timers and leases run.
struct RuntimeTimeline {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<RuntimeTimeline>;
    static constexpr bool is_steady = true;
};

/// An instant; comparable only within one process.
using TimePoint = RuntimeTimeline::time_point;

/// Converts to milliseconds for logs and wire messages.
constexpr std::int64_t toMillis(Duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

/// Source of the current time.
class Clock {
public:
    virtual ~Clock() = default;
    /// The current instant. Never goes back.
    virtual TimePoint now() const noexcept = 0;
};

/// The machine's monotonic clock. Counts the time that the machine was suspended, so that leases
/// and ages of beliefs run on meanwhile.
class SteadyClock final : public Clock {
public:
    TimePoint now() const noexcept override;
};

/// A clock that stands still until advanced. Safe to read from any thread.
class ManualClock final : public Clock {
public:
    TimePoint now() const noexcept override;
    /// Moves the clock forward by `d`, which is not negative.
    void advance(Duration d) noexcept;

private:
    std::atomic<Duration::rep> m_now { 0 };
};

} // namespace laburnum
