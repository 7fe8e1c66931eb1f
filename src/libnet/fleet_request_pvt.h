/// Serves one request of a caller in a fleet that places attempts together: plan, place, attempts,
/// answer.
#pragma once

#include "exchange_pvt.h"

namespace laburnum::pvt {

/// Lives as long as its request. Use from the io_context's one thread.
class FleetRequest {
public:
    FleetRequest(EntryContext& entry, HttpStream& caller, Watchdog& watchdog, HttpHead request);

    /// Returns whether the caller's connection can carry another request.
    asio::awaitable<bool> run();

private:
    asio::awaitable<bool> serve();
    /// The route's plan. A host that has just started waits a little for its first configuration.
    asio::awaitable<tl::expected<RequestPlan, PlanRefusal>> plan();
    /// Waits for a place; nothing when the caller left meanwhile.
    asio::awaitable<std::optional<PlacedAttempt>> place(bool repeat);
    asio::awaitable<AttemptOutcome> attempt(const PlacedAttempt& placed);
    asio::awaitable<bool> conclude(AttemptOutcome outcome);
    asio::awaitable<bool> concludeRefused(const PlacedAttempt& refused);
    asio::awaitable<bool> passHeld(const HeldAnswer& held);
    asio::awaitable<bool> answer(OwnAnswer answer);

    PlaceDemand demandFor(bool repeat) const;
    bool repeatable() const;
    /// Whether the request goes to another instance after `outcome`.
    bool goesOn(const AttemptOutcome& outcome) const;
    PlacedReport reportOf(const AttemptOutcome& outcome) const;
    SteadyTime attemptLimit() const;
    AnswerContext answerContext() const;
    void recordAttempt(const AttemptOutcome& outcome) const;
    void recordEnd(const char* reason, unsigned status, RequestOutcome outcome);

    EntryContext& m_entry;
    HttpStream& m_stream;
    HttpHead m_request;
    RequestBody m_body;
    CallerSide m_side;
    RequestPlan m_plan;
    /// Instances that this request was sent to, or could not reach.
    std::vector<InstanceId> m_tried;
    InstanceId m_instance;
    /// A failure that is passed on unless another instance does better.
    std::optional<HeldAnswer> m_held;
    /// Places asked for, places got, and instances that may have run the request.
    unsigned m_asks = 0;
    unsigned m_sends = 0;
    unsigned m_runs = 0;
    bool m_alone = false;
    bool m_keepAlive = false;
    Duration m_placing {};
    Duration m_waited {};
};

/// Serves `request` by a FleetRequest.
asio::awaitable<bool> serveInFleet(
    EntryContext& entry, HttpStream& caller, Watchdog& watchdog, HttpHead request);

} // namespace laburnum::pvt
