/// Bounds how many lines of one sort a process writes a second. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <laburnumroute/clock.h>
#include <laburnumroute/decision.h>

namespace laburnum {

/// Lines of one kind and reason that are written in a second; what is beyond is counted and summed
/// up. From the target of 230 requests a second and host: the ordinary ends of these are summed up
/// in part, and nothing else comes so often.
inline constexpr std::uint32_t defaultLinesPerSecond = 100;

/// Not thread-safe; `now` never goes back.
class LogRateLimiter {
public:
    explicit LogRateLimiter(std::uint32_t linesPerSecond = defaultLinesPerSecond)
        : m_linesPerSecond(linesPerSecond)
    {
    }

    /// True when `decision` is to be written; else it is counted. What is marked `alwaysLog` is
    /// always written.
    bool admit(const Decision& decision, TimePoint now);
    /// One line `log: summed-up` for each kind and reason whose lines of an ended second were
    /// counted.
    std::vector<Decision> summaries(TimePoint now);

private:
    struct Second {
        TimePoint since {};
        std::uint32_t written = 0;
        std::uint64_t counted = 0;
    };

    std::uint32_t m_linesPerSecond;
    std::map<std::pair<std::string, std::string>, Second> m_sorts;
    /// Sorts with counted lines; spares the walk on most calls.
    std::size_t m_counting = 0;
};

} // namespace laburnum
