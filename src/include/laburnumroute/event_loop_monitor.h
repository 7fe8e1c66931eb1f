/// Where the time of an event loop goes, for logs: how much passed in turns, by their work, and how
/// recordTimerDelay timers were. By the runtime's clock, so time in which the process was not
/// scheduled counts for the recordTurn that it fell into. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include <laburnumroute/clock.h>
#include <laburnumroute/decision.h>

namespace laburnum {

/// Used from the loop's thread.
class EventLoopMonitor {
public:
    /// Intervals of accounting.
    static constexpr Duration interval = std::chrono::seconds(1);
    /// An interval that was busy for this share of its time is reported.
    static constexpr double busyShare = 0.25;
    /// So is one with a recordTurn, or a timer's delay, of this length: a fifth of a leader's
    /// lease.
    static constexpr Duration longTurn = std::chrono::milliseconds(50);

    /// One recordTurn that did `work`, which outlives the meter.
    void recordTurn(std::string_view work, TimePoint begin, TimePoint end);
    /// A timer fired `delay` after it was due.
    void recordTimerDelay(Duration delay);
    /// Bytes handed to connections.
    void recordSent(std::size_t bytes);
    /// `loop: busy` when an interval has ended that is worth a line. Durations are in milliseconds.
    std::optional<Decision> report(TimePoint now);

private:
    struct Work {
        std::uint64_t turns = 0;
        Duration time {};
    };

    std::map<std::string_view, Work> m_works;
    Duration m_busy {};
    Duration m_longest {};
    std::string_view m_longestWork;
    Duration m_latest {};
    std::uint64_t m_frames = 0;
    std::uint64_t m_bytes = 0;
    TimePoint m_since {};
};

} // namespace laburnum
