#include <laburnumroute/log_rate_limiter.h>

namespace laburnum {

namespace {

    constexpr auto second = std::chrono::seconds(1);

} // namespace

bool LogRateLimiter::admit(const Decision& decision, TimePoint now)
{
    if (decision.alwaysLog)
        return true;
    Window& window = m_windows[{ decision.kind, decision.reason }];
    if (window.suppressed == 0 && (window.written == 0 || now - window.since >= second))
        window = { now };
    if (window.written < m_linesPerSecond) {
        ++window.written;
        return true;
    }
    m_suppressingWindows += window.suppressed == 0 ? 1 : 0;
    ++window.suppressed;
    return false;
}

std::vector<Decision> LogRateLimiter::summaries(TimePoint now)
{
    std::vector<Decision> lines;
    if (m_suppressingWindows == 0)
        return lines;
    for (auto& [kindAndReason, state] : m_windows) {
        if (state.suppressed == 0 || now - state.since < second)
            continue;
        Decision line { "log-volume", "summed-up" };
        line.facts["of_kind"] = kindAndReason.first;
        line.facts["of_reason"] = kindAndReason.second;
        line.facts["lines"] = Json::UInt64(state.suppressed);
        line.facts["over_ms"] = Json::Int64(toMillis(now - state.since));
        line.alwaysLog = true;
        lines.push_back(std::move(line));
        state = {};
        --m_suppressingWindows;
    }
    return lines;
}

} // namespace laburnum
