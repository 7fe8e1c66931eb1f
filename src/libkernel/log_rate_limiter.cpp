#include <laburnumroute/log_rate_limiter.h>

namespace laburnum {

namespace {

    constexpr auto second = std::chrono::seconds(1);

} // namespace

bool LogRateLimiter::admit(const Decision& decision, TimePoint now)
{
    if (decision.alwaysLog)
        return true;
    Second& sort = m_sorts[{ decision.kind, decision.reason }];
    if (sort.counted == 0 && (sort.written == 0 || now - sort.since >= second))
        sort = { now };
    if (sort.written < m_linesPerSecond) {
        ++sort.written;
        return true;
    }
    m_counting += sort.counted == 0 ? 1 : 0;
    ++sort.counted;
    return false;
}

std::vector<Decision> LogRateLimiter::summaries(TimePoint now)
{
    std::vector<Decision> lines;
    if (m_counting == 0)
        return lines;
    for (auto& [sort, state] : m_sorts) {
        if (state.counted == 0 || now - state.since < second)
            continue;
        Decision line { "log-volume", "summed-up" };
        line.facts["of_kind"] = sort.first;
        line.facts["of_reason"] = sort.second;
        line.facts["lines"] = Json::UInt64(state.counted);
        line.facts["over_ms"] = Json::Int64(toMillis(now - state.since));
        line.alwaysLog = true;
        lines.push_back(std::move(line));
        state = {};
        --m_counting;
    }
    return lines;
}

} // namespace laburnum
