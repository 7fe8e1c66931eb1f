/// Queue of one service's requests that wait at one host for a free slot.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include <laburnumroute/clock.h>
#include <laburnumroute/ids.h>

namespace laburnum {

/// Identifies a waiting request; unique within a host.
using WaiterId = StrongId<struct WaiterTag, std::uint64_t>;

/// Why a queue refused a request. The request was not executed.
enum class WaitRefusal {
    /// The queue holds as many requests as the service allows.
    QueueFull,
    /// The expected wait exceeds the time to the deadline.
    WaitTooLong,
};

/// A bounded first-in first-out queue with deadlines. No I/O; not thread-safe.
class WaitQueue {
public:
    explicit WaitQueue(std::size_t limit = 16)
        : m_limit(limit)
    {
    }

    void setLimit(std::size_t limit) noexcept { m_limit = limit; }
    /// Queues `waiter` until `deadline`, or refuses it at once.
    std::optional<WaitRefusal> push(WaiterId waiter, TimePoint deadline, TimePoint now);
    /// Removes `waiter`; unknown waiters are ignored.
    void remove(WaiterId waiter);
    /// Removes and returns the first waiter whose deadline has not passed; drops those before it.
    std::optional<WaiterId> pop(TimePoint now);
    /// Records that a slot was freed, to estimate the expected wait.
    void onSlotFreed(TimePoint now);

    /// Expected wait of a request pushed now.
    Duration expectedWait(TimePoint now) const;
    std::size_t size() const noexcept { return m_waiters.size(); }

private:
    struct Waiter {
        WaiterId id;
        TimePoint deadline;
    };

    std::size_t m_limit;
    std::deque<Waiter> m_waiters;
    /// Smoothed interval between freed slots; zero before the second one.
    Duration m_interval {};
    std::optional<TimePoint> m_lastFreed;
};

} // namespace laburnum
