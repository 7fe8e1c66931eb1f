/// Timeout for the current operation of a connection.
#pragma once

#include <functional>
#include <memory>

#include <asio/any_io_executor.hpp>
#include <asio/steady_timer.hpp>

#include <laburnumroute/clock.h>

namespace laburnum::pvt {

using SteadyTime = std::chrono::steady_clock::time_point;

/// Runs an action when a time limit passes. Extending the limit costs no timer operation. Must be
/// used from one strand only.
class Watchdog {
public:
    explicit Watchdog(const asio::any_io_executor& strand);
    ~Watchdog();
    Watchdog(const Watchdog&) = delete;
    Watchdog& operator=(const Watchdog&) = delete;

    /// Replaces the limit and the action.
    void watch(SteadyTime limit, std::function<void()> onExpiry);
    void watch(Duration limit, std::function<void()> onExpiry);
    void clear();
    /// Runs the action now, as if the limit had passed.
    void expire();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace laburnum::pvt
