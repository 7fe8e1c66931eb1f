/// Thread-safe access to the dispatcher for the worker pool.
#pragma once

#include <mutex>
#include <set>

#include <laburnumroute/dispatcher.h>

namespace laburnum {

/// Serializes calls to one Dispatcher, which must outlive it. The lock is a leaf in the lock order:
/// no other lock is taken while it is held.
class SynchronizedDispatcher {
public:
    SynchronizedDispatcher(Dispatcher& dispatcher, const Clock& clock)
        : m_dispatcher(dispatcher)
        , m_clock(clock)
    {
    }

    /// Calls `function(dispatcher, now)` under the lock and returns its result.
    template <class Function> auto with(Function&& function)
    {
        const std::lock_guard lock(m_mutex);
        return function(m_dispatcher, m_clock.now());
    }

private:
    std::mutex m_mutex;
    Dispatcher& m_dispatcher;
    const Clock& m_clock;
};

} // namespace laburnum
