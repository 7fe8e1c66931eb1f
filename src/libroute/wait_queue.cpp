#include <laburnumroute/wait_queue.h>

#include <algorithm>

namespace laburnum {

namespace {

    /// The newest interval between freed slots has the weight 1 / smoothing.
    constexpr int smoothing = 8;

} // namespace

std::optional<WaitRefusal> WaitQueue::push(WaiterId waiter, TimePoint deadline, TimePoint now)
{
    if (m_waiters.size() >= m_limit)
        return WaitRefusal::QueueFull;
    if (now + expectedWait(now) >= deadline)
        return WaitRefusal::WaitTooLong;
    m_waiters.push_back({ waiter, deadline });
    return std::nullopt;
}

void WaitQueue::remove(WaiterId waiter)
{
    std::erase_if(m_waiters, [&](const Waiter& item) { return item.id == waiter; });
}

std::optional<WaiterId> WaitQueue::pop(TimePoint now)
{
    while (!m_waiters.empty()) {
        const Waiter first = m_waiters.front();
        m_waiters.pop_front();
        if (first.deadline > now)
            return first.id;
    }
    return std::nullopt;
}

void WaitQueue::onSlotFreed(TimePoint now)
{
    if (m_lastFreed) {
        const Duration interval = now - *m_lastFreed;
        m_interval
            = m_interval.count() == 0 ? interval : m_interval + (interval - m_interval) / smoothing;
    }
    m_lastFreed = now;
}

Duration WaitQueue::expectedWait(TimePoint now) const
{
    if (!m_lastFreed)
        return Duration::zero();
    const Duration interval = std::max(m_interval, now - *m_lastFreed);
    return interval * static_cast<Duration::rep>(m_waiters.size() + 1);
}

} // namespace laburnum
