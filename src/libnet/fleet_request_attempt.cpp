#include "fleet_request_attempt_pvt.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

namespace laburnum::pvt {

void WakeUp::raise()
{
    m_raised = true;
    m_timer.cancel();
}

asio::awaitable<void> WakeUp::wait(SteadyTime limit)
{
    if (!m_raised) {
        m_timer.expires_at(limit);
        co_await m_timer.async_wait(useTuple);
    }
    m_raised = false;
}

HedgeSide::HedgeSide(const CallerSide& first)
    : body(first.body)
    , watchdog(first.stream.socket().get_executor())
    , side { first.entry, first.stream, body, watchdog, first.request, first.arrival,
        first.deadline }
{
    body.rewind();
    side.repeatable = first.repeatable;
    side.holdBytes = first.holdBytes;
    side.onCallerGone = first.onCallerGone;
    side.passesInterim = false;
}

FleetAttempt::FleetAttempt(unsigned number, const AttemptPlacement& placed, const RequestPlan& plan,
    CallerSide& first, std::unique_ptr<HedgeSide> hedge, std::shared_ptr<WakeUp> changed)
    : m_number(number)
    , m_ask(placed.dispatch)
    , m_assigned { AttemptId(placed.dispatch.value()), plan.service, placed.instance->id,
        placed.instance->endpoint, plan.timeout }
    , m_hedge(std::move(hedge))
    , m_side(m_hedge ? m_hedge->side : first)
    , m_changed(std::move(changed))
    , m_start(std::chrono::steady_clock::now())
    , m_exchange(m_side, m_assigned)
    , m_turnWake(m_side.stream.socket().get_executor())
{
}

asio::awaitable<void> FleetAttempt::run()
{
    m_outcome = co_await m_exchange.run();
    m_side.awaitTurn = nullptr;
    m_changed->raise();
}

void FleetAttempt::spawn()
{
    m_spawned = true;
    m_side.awaitTurn = [this](unsigned status) { return awaitTurn(status); };
    asio::co_spawn(
        m_side.stream.socket().get_executor(), [self = shared_from_this()] { return self->run(); },
        asio::detached);
}

void FleetAttempt::close(AttemptEnd end)
{
    if (m_outcome || m_turn == Turn::Closed)
        return;
    m_turn = Turn::Closed;
    m_turnWake.raise();
    m_exchange.abandon(end);
}

std::optional<unsigned> FleetAttempt::waitingAnswer() const
{
    return m_turn == Turn::Open ? m_waitingStatus : std::nullopt;
}

void FleetAttempt::giveTurn()
{
    m_turn = Turn::Given;
    m_turnWake.raise();
}

asio::awaitable<bool> FleetAttempt::awaitTurn(unsigned status)
{
    m_waitingStatus = status;
    m_changed->raise();
    while (m_turn == Turn::Open)
        co_await m_turnWake.wait();
    co_return m_turn == Turn::Given;
}

} // namespace laburnum::pvt
