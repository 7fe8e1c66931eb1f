/// Time accounting of an event loop for the log: time spent in turns by kind of work, and delays of
/// timers. Measured by the runtime's clock, so time in which the process was not scheduled counts
/// towards the turn in which it occurred. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include <laburnumroute/clock.h>
#include <laburnumroute/decision.h>

namespace laburnum {

/// To be used from the event loop's thread only.
class EventLoopMonitor {
public:
    /// Reporting interval.
    static constexpr Duration interval = std::chrono::seconds(1);
    /// An interval with at least this share of busy time is reported.
    static constexpr double busyShare = 0.25;
    /// An interval with a turn or a timer delay of at least this length is reported. It is about
    /// a fifth of the controller's leader lease.
    static constexpr Duration longTurn = std::chrono::milliseconds(50);

    /// Records a turn of the loop that did `work`. The string must outlive the monitor.
    void recordTurn(std::string_view work, TimePoint begin, TimePoint end);
    /// Records that a timer fired `delay` after its due time.
    void recordTimerDelay(Duration delay);
    /// Records a frame of `bytes` bytes sent to a connection.
    void recordSent(std::size_t bytes);
    /// Returns a `loop: busy` entry when an interval has ended that has to be reported. Durations
    /// are in milliseconds.
    std::optional<Decision> report(TimePoint now);

private:
    struct WorkStats {
        std::uint64_t turns = 0;
        Duration time {};
    };

    std::map<std::string_view, WorkStats> m_work;
    Duration m_busyTime {};
    Duration m_longestTurn {};
    std::string_view m_longestWork;
    Duration m_maxTimerDelay {};
    std::uint64_t m_frames = 0;
    std::uint64_t m_bytes = 0;
    TimePoint m_since {};
};

} // namespace laburnum
