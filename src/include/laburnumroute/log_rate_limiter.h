/// Limits the number of log lines of one kind and reason that a process writes per second. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <laburnumroute/clock.h>
#include <laburnumroute/decision.h>

namespace laburnum {

/// Maximum number of lines per second of one kind and reason; further lines are counted and
/// summarized. At the target load of 230 requests per second and host only lines of normally ended
/// requests exceed it.
inline constexpr std::uint32_t defaultLinesPerSecond = 100;

/// Not thread-safe; `now` must not decrease.
class LogRateLimiter {
public:
    explicit LogRateLimiter(std::uint32_t linesPerSecond = defaultLinesPerSecond)
        : m_linesPerSecond(linesPerSecond)
    {
    }

    /// Whether `decision` is to be written; otherwise it is counted. Decisions marked `alwaysLog`
    /// are always written.
    bool admit(const Decision& decision, TimePoint now);
    /// One line `log-volume: summed-up` for each kind and reason of which lines were suppressed in
    /// a second that has ended.
    std::vector<Decision> summaries(TimePoint now);

private:
    struct Window {
        TimePoint since {};
        std::uint32_t written = 0;
        std::uint64_t suppressed = 0;
    };

    std::uint32_t m_linesPerSecond;
    std::map<std::pair<std::string, std::string>, Window> m_windows;
    /// Number of windows with suppressed lines; avoids iterating over all windows in most calls.
    std::size_t m_suppressingWindows = 0;
};

} // namespace laburnum
