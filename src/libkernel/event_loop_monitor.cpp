#include <laburnumroute/event_loop_monitor.h>

#include <algorithm>
#include <string>

namespace laburnum {

void EventLoopMonitor::recordTurn(std::string_view work, TimePoint begin, TimePoint end)
{
    const Duration time = end - begin;
    WorkStats& stats = m_work[work];
    ++stats.turns;
    stats.time += time;
    m_busyTime += time;
    if (time > m_longestTurn) {
        m_longestTurn = time;
        m_longestWork = work;
    }
}

void EventLoopMonitor::recordTimerDelay(Duration delay)
{
    m_maxTimerDelay = std::max(m_maxTimerDelay, delay);
}

void EventLoopMonitor::recordSent(std::size_t bytes)
{
    ++m_frames;
    m_bytes += bytes;
}

std::optional<Decision> EventLoopMonitor::report(TimePoint now)
{
    if (now - m_since < interval)
        return std::nullopt;
    const double share = std::chrono::duration<double>(m_busyTime).count()
        / std::chrono::duration<double>(now - m_since).count();
    const bool shouldReport
        = share >= busyShare || m_longestTurn >= longTurn || m_maxTimerDelay >= longTurn;
    Decision decision { "loop", "busy" };
    decision.facts["of_ms"] = Json::Int64(toMillis(now - m_since));
    decision.facts["busy_ms"] = Json::Int64(toMillis(m_busyTime));
    decision.facts["longest_ms"] = Json::Int64(toMillis(m_longestTurn));
    decision.facts["longest_work"] = std::string(m_longestWork);
    decision.facts["timer_late_ms"] = Json::Int64(toMillis(m_maxTimerDelay));
    decision.facts["frames"] = Json::UInt64(m_frames);
    decision.facts["bytes"] = Json::UInt64(m_bytes);
    for (const auto& [work, stats] : m_work) {
        Json::Value& entry = decision.facts["work"][std::string(work)];
        entry["turns"] = Json::UInt64(stats.turns);
        entry["ms"] = Json::Int64(toMillis(stats.time));
    }
    *this = EventLoopMonitor();
    m_since = now;
    return shouldReport ? std::optional(std::move(decision)) : std::nullopt;
}

} // namespace laburnum
