/// Requests of one service that wait at one host for a free slot.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include <laburnumroute/clock.h>
#include <laburnumroute/ids.h>

namespace laburnum {

/// A request that waits for a slot; unique within a host.
using WaiterId = StrongId<struct WaiterTag, std::uint64_t>;

/// Why a queue refused a request. The request was not run.
enum class WaitRefusal {
    /// As many requests wait as the service allows.
    QueueFull,
    /// The expected wait is longer than the time that remains.
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
    /// Lets `waiter` wait until `deadline`, or refuses it at once.
    std::optional<WaitRefusal> push(WaiterId waiter, TimePoint deadline, TimePoint now);
    /// Takes `waiter` out; unknown waiters are ignored.
    void remove(WaiterId waiter);
    /// The first waiter whose deadline lies ahead; those before it are dropped.
    std::optional<WaiterId> pop(TimePoint now);
    /// Notes that a slot came free, from which the expected wait is learned.
    void onSlotFreed(TimePoint now);

    /// Time that a request pushed now would expect to wait.
    Duration expectedWait(TimePoint now) const;
    std::size_t size() const noexcept { return m_waiters.size(); }

private:
    struct Waiter {
        WaiterId id;
        TimePoint deadline;
    };

    std::size_t m_limit;
    std::deque<Waiter> m_waiters;
    /// Smoothed time between two freed slots; zero before the second.
    Duration m_interval {};
    std::optional<TimePoint> m_lastFreed;
};

} // namespace laburnum
