/// One attempt of a fleet's request, which may run while another one is at work.
#pragma once

#include <asio/steady_timer.hpp>

#include <laburnumroute/placement_provider.h>

#include "exchange_pvt.h"

namespace laburnum::pvt {

/// Wakes one coroutine, also when the reason comes before it waits. Use from one strand only.
class WakeUp {
public:
    explicit WakeUp(const asio::any_io_executor& executor)
        : m_timer(executor)
    {
    }

    void raise();
    /// Returns once raised, or at `limit`.
    asio::awaitable<void> wait(SteadyTime limit = SteadyTime::max());

private:
    asio::steady_timer m_timer;
    bool m_raised = false;
};

/// The caller's side for an attempt that begins while another is at work: the body is read again
/// from its start, and the time is watched apart. Only once the body has come whole.
struct HedgeSide {
    explicit HedgeSide(const CallerSide& first);

    RequestBody body;
    Watchdog watchdog;
    CallerSide side;
};

/// Lives until its exchange has ended. Use from one strand only.
class FleetAttempt : public std::enable_shared_from_this<FleetAttempt> {
public:
    /// With `hedge` the attempt runs beside another, else on `first` itself. `changed` is raised
    /// when the attempt ends or wants to answer.
    FleetAttempt(unsigned number, const AttemptPlacement& placed, const RequestPlan& plan,
        CallerSide& first, std::unique_ptr<HedgeSide> hedge, std::shared_ptr<WakeUp> changed);

    asio::awaitable<void> run();
    /// Runs beside its starter.
    void spawn();
    /// Ends the attempt as `end` soon, without a word to the caller.
    void close(AttemptEnd end);

    /// The status of an answer that is too long to be held and waits to be passed on.
    std::optional<unsigned> waitingAnswer() const;
    /// Lets that answer go to the caller.
    void giveTurn();

    bool spawned() const { return m_spawned; }
    /// The request has been sent whole.
    bool sent() const { return m_exchange.sent(); }
    DispatchId dispatch() const { return m_ask; }
    const InstanceId& instance() const { return m_assigned.instance; }
    SteadyTime start() const { return m_start; }
    /// Counts the request's attempts from 1.
    unsigned number() const { return m_number; }
    /// Set once the attempt has ended.
    std::optional<AttemptOutcome>& outcome() { return m_outcome; }

private:
    enum class Turn { Open, Given, Closed };

    asio::awaitable<bool> awaitTurn(unsigned status);

    const unsigned m_number;
    const DispatchId m_ask;
    const Assignment m_assigned;
    const std::unique_ptr<HedgeSide> m_hedge;
    CallerSide& m_side;
    const std::shared_ptr<WakeUp> m_changed;
    const SteadyTime m_start;
    Exchange m_exchange;
    WakeUp m_turnWake;
    Turn m_turn = Turn::Open;
    std::optional<unsigned> m_waitingStatus;
    std::optional<AttemptOutcome> m_outcome;
    bool m_spawned = false;
};

} // namespace laburnum::pvt
