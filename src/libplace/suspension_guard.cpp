#include <laburnumroute/suspension_guard.h>

#include <algorithm>

namespace laburnum {

namespace {

    /// A longer time without a turn of the event loop counts as a suspension.
    constexpr auto longestTurn = std::chrono::milliseconds(1000);
    /// Time for handling what became ready during the suspension, signals included.
    constexpr auto holdTime = std::chrono::milliseconds(50);

} // namespace

void SuspensionGuard::alive(TimePoint now)
{
    if (now - m_lastAlive > longestTurn) {
        m_beforeGap = m_lastAlive;
        m_heldUntil = now + holdTime;
    }
    m_lastAlive = now;
}

TimePoint SuspensionGuard::admitAt(TimePoint now)
{
    alive(now);
    return std::max(now, m_heldUntil);
}

TimePoint SuspensionGuard::earliestSignal(TimePoint now) const
{
    return now - m_lastAlive <= longestTurn && now <= m_heldUntil ? m_beforeGap : m_lastAlive;
}

} // namespace laburnum
