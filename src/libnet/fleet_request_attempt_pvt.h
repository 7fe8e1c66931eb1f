/// One attempt of a FleetRequest, which may run concurrently with another one.
#pragma once

#include <laburnumroute/placement_provider.h>
#include <laburnumroute/request_attempts.h>

#include "async_event_pvt.h"
#include "exchange_pvt.h"

namespace laburnum::pvt {

/// Caller context for a hedged attempt: has its own read position in the body and its own watchdog.
/// Must not be created before the body has been received completely.
struct HedgeContext {
    explicit HedgeContext(const CallerContext& first);

    RequestBody body;
    Watchdog watchdog;
    CallerContext context;
};

/// Lives until its exchange has ended. Must be used from one strand only.
class FleetAttempt : public std::enable_shared_from_this<FleetAttempt> {
public:
    /// Uses `hedge` as caller context for a hedged attempt, otherwise `first`. `changed` is set
    /// when the attempt ends or waits for permission to relay its response.
    FleetAttempt(unsigned number, const AttemptPlacement& placement, const RequestPlan& plan,
        CallerContext& first, std::unique_ptr<HedgeContext> hedge,
        std::shared_ptr<AsyncEvent> changed);

    asio::awaitable<void> run();
    /// Runs the attempt in a coroutine of its own.
    void spawn();
    /// Makes the attempt end soon, without sending anything to the caller, if mayTerminate()
    /// permits it.
    void abandon(const TerminationStep& step);

    /// Status of an unbuffered response that waits for permission to be relayed; returned once.
    std::optional<unsigned> takePendingStatus();
    /// Permits this attempt to relay its response to the caller.
    void grantRelay();

    bool spawned() const { return m_spawned; }
    /// Whether the request has been sent completely.
    bool sent() const { return m_exchange.sent(); }
    DispatchId dispatchId() const { return m_dispatchId; }
    const InstanceId& instance() const { return m_assigned.instance; }
    const Assignment& assignment() const { return m_assigned; }
    SteadyTime start() const { return m_start; }
    /// Number of the attempt within the request, from 1.
    unsigned number() const { return m_number; }
    /// Set once the attempt has ended.
    std::optional<AttemptOutcome>& outcome() { return m_outcome; }

private:
    enum class RelayState { Pending, Granted, Denied };

    asio::awaitable<bool> awaitRelayGrant(unsigned status);
    /// Ends an attempt whose coroutine threw, so that its request does not wait for it.
    void fail();

    const unsigned m_number;
    const DispatchId m_dispatchId;
    const Assignment m_assigned;
    const std::unique_ptr<HedgeContext> m_hedge;
    CallerContext& m_context;
    const std::shared_ptr<AsyncEvent> m_changed;
    const SteadyTime m_start;
    Exchange m_exchange;
    AsyncEvent m_relayEvent;
    RelayState m_relayState = RelayState::Pending;
    std::optional<unsigned> m_pendingStatus;
    std::optional<AttemptOutcome> m_outcome;
    bool m_spawned = false;
};

} // namespace laburnum::pvt
