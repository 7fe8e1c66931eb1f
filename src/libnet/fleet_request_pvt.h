/// Serves one request of a caller in a fleet that places attempts together: plan, place, attempts,
/// answer.
#pragma once

#include "fleet_request_attempt_pvt.h"

namespace laburnum::pvt {

/// An dispatch for a place and its answer.
struct PlaceWait {
    DispatchId dispatch;
    std::optional<AttemptPlacement> placed;
};

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
    asio::awaitable<std::optional<AttemptPlacement>> place(bool retry);
    /// Waits until an attempt has ended, and takes it from those at work. Meanwhile a second one
    /// may be started beside the first.
    asio::awaitable<std::shared_ptr<FleetAttempt>> nextEnd();
    /// Closes the attempts at work and waits until they have ended.
    asio::awaitable<void> closeAll(AttemptEnd end);
    asio::awaitable<bool> conclude(AttemptOutcome outcome);
    asio::awaitable<bool> concludeRefused(const AttemptPlacement& refused);
    asio::awaitable<bool> passHeld(const HeldAnswer& held);
    asio::awaitable<bool> answer(OwnAnswer answer);

    void askForPlace(bool retry);
    /// Takes the answer to the dispatch that is under way, if it has come.
    std::optional<AttemptPlacement> takePlace();
    /// Gives the dispatch that is under way up, and its place back.
    void dropPlace();
    void start(const AttemptPlacement& placed);
    void startHedge(const AttemptPlacement& placed);
    bool mayHedge() const;
    /// Asks for a place beside the attempt at work once that one has had its time, and uses it.
    /// Returns when to look again.
    SteadyTime hedge();
    /// Lets a long answer go to the caller once no other attempt can answer.
    void giveTurn();
    /// Whether all other attempts at work wait to pass on a server error.
    bool othersFailed(const FleetAttempt& attempt) const;
    /// After the end of an attempt, for the one that is still at work.
    void goOnBeside();
    void callerLeft();
    void noteEnd(const FleetAttempt& attempt, const AttemptOutcome& outcome);
    /// What is known of a request that has no instance's answer.
    RequestOutcome ownOutcome() const;
    /// Whether the request ends with `outcome`, whatever another attempt may do.
    static bool decides(const AttemptOutcome& outcome);

    PlacementRequest demandFor(bool retry) const;
    bool repeatable() const;
    /// Whether the request goes to another instance after `outcome`.
    bool goesOn(const AttemptOutcome& outcome) const;
    PlacementReport reportOf(const AttemptOutcome& outcome) const;
    AnswerContext answerContext() const;
    void recordAttempt(const FleetAttempt& attempt, const AttemptOutcome& outcome) const;
    void recordHedge(const char* reason, const AttemptPlacement& placed) const;
    void recordEnd(const char* reason, unsigned status, RequestOutcome outcome);

    EntryContext& m_entry;
    HttpStream& m_stream;
    HttpHead m_request;
    RequestBody m_body;
    CallerSide m_side;
    RequestPlan m_plan;
    /// Raised by whatever serve() waits for.
    std::shared_ptr<WakeUp> m_wake;
    /// The dispatch for a place that is under way.
    std::shared_ptr<PlaceWait> m_ask;
    /// Attempts at work.
    std::vector<std::shared_ptr<FleetAttempt>> m_working;
    /// The attempt whose long answer goes to the caller.
    std::shared_ptr<FleetAttempt> m_winner;
    /// No second attempt is asked for before.
    SteadyTime m_hedgeFrom;
    unsigned m_hedgeRefusals = 0;
    /// While attempts run side by side: the start of the first.
    std::optional<SteadyTime> m_raceStart;
    /// No attempt may be started any more.
    bool m_ending = false;
    bool m_callerGone = false;
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
