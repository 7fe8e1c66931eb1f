#include <laburnumroute/event_loop_monitor.h>

#include <algorithm>
#include <string>

namespace laburnum {

void EventLoopMonitor::recordTurn(std::string_view work, TimePoint begin, TimePoint end)
{
    const Duration time = end - begin;
    Work& of = m_works[work];
    ++of.turns;
    of.time += time;
    m_busy += time;
    if (time > m_longest) {
        m_longest = time;
        m_longestWork = work;
    }
}

void EventLoopMonitor::recordTimerDelay(Duration delay) { m_latest = std::max(m_latest, delay); }

void EventLoopMonitor::recordSent(std::size_t bytes)
{
    ++m_frames;
    m_bytes += bytes;
}

std::optional<Decision> EventLoopMonitor::report(TimePoint now)
{
    if (now - m_since < interval)
        return std::nullopt;
    const double share = std::chrono::duration<double>(m_busy).count()
        / std::chrono::duration<double>(now - m_since).count();
    const bool isWorthALine = share >= busyShare || m_longest >= longTurn || m_latest >= longTurn;
    Decision decision { "loop", "busy" };
    decision.facts["of_ms"] = Json::Int64(toMillis(now - m_since));
    decision.facts["busy_ms"] = Json::Int64(toMillis(m_busy));
    decision.facts["longest_ms"] = Json::Int64(toMillis(m_longest));
    decision.facts["longest_work"] = std::string(m_longestWork);
    decision.facts["timer_late_ms"] = Json::Int64(toMillis(m_latest));
    decision.facts["frames"] = Json::UInt64(m_frames);
    decision.facts["bytes"] = Json::UInt64(m_bytes);
    for (const auto& [work, of] : m_works) {
        Json::Value& entry = decision.facts["work"][std::string(work)];
        entry["turns"] = Json::UInt64(of.turns);
        entry["ms"] = Json::Int64(toMillis(of.time));
    }
    *this = EventLoopMonitor();
    m_since = now;
    return isWorthALine ? std::optional(std::move(decision)) : std::nullopt;
}

} // namespace laburnum
