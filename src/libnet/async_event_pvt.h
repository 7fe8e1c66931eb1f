/// Event between coroutines of one strand.
#pragma once

#include <asio/awaitable.hpp>
#include <asio/steady_timer.hpp>

#include "watchdog_pvt.h"

namespace laburnum::pvt {

/// Auto-reset event for one waiting coroutine. Must be used from one strand only.
class AsyncEvent {
public:
    explicit AsyncEvent(const asio::any_io_executor& executor)
        : m_timer(executor)
    {
    }

    void set();
    /// Returns once the event is set, or at `limit`. Returns at once if it was set before.
    asio::awaitable<void> wait(SteadyTime limit = SteadyTime::max());

private:
    asio::steady_timer m_timer;
    bool m_raised = false;
};

} // namespace laburnum::pvt
