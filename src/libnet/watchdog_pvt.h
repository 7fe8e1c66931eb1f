/// A limit in time on what a connection is doing now.
#pragma once

#include <functional>
#include <memory>

#include <asio/any_io_executor.hpp>
#include <asio/steady_timer.hpp>

#include <laburnumroute/clock.h>

namespace laburnum::pvt {

using SteadyTime = std::chrono::steady_clock::time_point;

/// Runs an action once its limit passes. Moving the limit later costs no timer operation. Use from
/// one strand only.
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
    /// Runs the action now, as if its limit had passed.
    void expire();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace laburnum::pvt
