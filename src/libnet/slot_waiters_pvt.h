/// Suspended coroutines of requests that wait for a free slot.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>
#include <asio/steady_timer.hpp>

#include <laburnumroute/wait_queue.h>

#include "watchdog_pvt.h"

namespace laburnum::pvt {

/// Thread-safe; its lock is a leaf lock.
class SlotWaiters {
public:
    /// Waits on `strand` until wake() is called for `waiter`. Returns false if `limit` passes or
    /// cancel() is called first.
    asio::awaitable<bool> wait(
        WaiterId waiter, const asio::any_io_executor& strand, SteadyTime limit);
    void wake(const std::vector<WaiterId>& waiters);
    /// Ends the wait of `waiter` without a slot. Must be called on the waiter's strand.
    void cancel(WaiterId waiter);

private:
    struct Waiter {
        explicit Waiter(const asio::any_io_executor& strand)
            : event(strand)
        {
        }
        asio::steady_timer event;
        bool woken = false;
    };

    bool add(WaiterId id, const std::shared_ptr<Waiter>& waiter);

    /// Maximum number of wake-ups stored for waiters that have not called wait() yet.
    static constexpr std::size_t maxEarlyWakes = 1024;

    std::mutex m_mutex;
    std::map<WaiterId, std::shared_ptr<Waiter>> m_waiters;
    std::set<WaiterId> m_earlyWakes;
};

} // namespace laburnum::pvt
