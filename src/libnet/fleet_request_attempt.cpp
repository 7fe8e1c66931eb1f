#include "fleet_request_attempt_pvt.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

namespace laburnum::pvt {

HedgeContext::HedgeContext(const CallerContext& first)
    : body(first.body)
    , watchdog(first.stream.socket().get_executor())
    , context { first.entry, first.stream, body, watchdog, first.request, first.arrival,
        first.deadline, first.responseDeadline }
{
    body.rewind();
    context.retryable = first.retryable;
    context.responseBufferBytes = first.responseBufferBytes;
    context.onCallerDisconnect = first.onCallerDisconnect;
    context.forwardsInterim = false;
    context.removesAccountFields = first.removesAccountFields;
    context.account = first.account;
    context.responseStarted = first.responseStarted;
    context.cut = first.cut;
}

FleetAttempt::FleetAttempt(unsigned number, const AttemptPlacement& placement,
    const RequestPlan& plan, CallerContext& first, std::unique_ptr<HedgeContext> hedge,
    std::shared_ptr<AsyncEvent> changed)
    : m_number(number)
    , m_dispatchId(placement.dispatch)
    , m_assigned { AttemptId(placement.dispatch.value()), plan.service, placement.instance->id,
        placement.instance->endpoint, plan.timeout }
    , m_hedge(std::move(hedge))
    , m_context(m_hedge ? m_hedge->context : first)
    , m_changed(std::move(changed))
    , m_start(std::chrono::steady_clock::now())
    , m_exchange(m_context, m_assigned)
    , m_relayEvent(m_context.stream.socket().get_executor())
{
}

asio::awaitable<void> FleetAttempt::run()
{
    m_outcome = co_await m_exchange.run();
    m_context.awaitRelayGrant = nullptr;
    m_changed->set();
}

void FleetAttempt::spawn()
{
    m_spawned = true;
    m_context.awaitRelayGrant = [this](unsigned status) { return awaitRelayGrant(status); };
    asio::co_spawn(
        m_context.stream.socket().get_executor(),
        [self = shared_from_this()] { return self->run(); },
        [self = shared_from_this()](const std::exception_ptr& error) {
            if (error)
                self->fail();
        });
}

void FleetAttempt::fail()
{
    m_context.entry.metrics.countInternalError();
    m_exchange.abandon({ m_number, TerminationCause::InternalError });
    m_outcome.emplace();
    m_outcome->end = AttemptEnd::NoResponse;
    m_outcome->mayHaveRun = true;
    m_context.awaitRelayGrant = nullptr;
    m_changed->set();
}

void FleetAttempt::abandon(const TerminationStep& step)
{
    if (m_outcome || m_relayState == RelayState::Denied || !m_exchange.abandon(step))
        return;
    m_relayState = RelayState::Denied;
    m_relayEvent.set();
}

std::optional<unsigned> FleetAttempt::takePendingStatus()
{
    return m_relayState == RelayState::Pending ? std::exchange(m_pendingStatus, std::nullopt)
                                               : std::nullopt;
}

void FleetAttempt::grantRelay()
{
    m_relayState = RelayState::Granted;
    m_relayEvent.set();
}

asio::awaitable<bool> FleetAttempt::awaitRelayGrant(unsigned status)
{
    m_pendingStatus = status;
    m_changed->set();
    while (m_relayState == RelayState::Pending)
        co_await m_relayEvent.wait();
    co_return m_relayState == RelayState::Granted;
}

} // namespace laburnum::pvt
