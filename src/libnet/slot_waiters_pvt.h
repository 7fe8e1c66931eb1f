/// Requests that wait for a free slot, as the shell wakes them.
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

/// Safe from any thread; its lock is a leaf.
class SlotWaiters {
public:
    /// Waits on `strand` until wake() names `waiter`; false when `limit` passes first.
    asio::awaitable<bool> wait(
        WaiterId waiter, const asio::any_io_executor& strand, SteadyTime limit);
    void wake(const std::vector<WaiterId>& waiters);
    /// Ends the wait of `waiter` without a slot. Call it on the waiter's strand.
    void leave(WaiterId waiter);

private:
    struct Waiter {
        explicit Waiter(const asio::any_io_executor& strand)
            : event(strand)
        {
        }
        asio::steady_timer event;
        bool woken = false;
    };

    bool enter(WaiterId id, const std::shared_ptr<Waiter>& waiter);

    /// Wakes kept for waiters that have not entered yet.
    static constexpr std::size_t earlyLimit = 1024;

    std::mutex m_mutex;
    std::map<WaiterId, std::shared_ptr<Waiter>> m_waiters;
    std::set<WaiterId> m_early;
};

} // namespace laburnum::pvt
