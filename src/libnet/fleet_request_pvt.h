/// Serves one request with instances selected by the fleet's scheduler: plan, placement, attempts,
/// response.
#pragma once

#include "fleet_request_attempt_pvt.h"

namespace laburnum::pvt {

/// A placement request and its result, once there is one.
struct PendingPlacement {
    DispatchId dispatchId;
    std::optional<AttemptPlacement> placement;
};

/// Lives as long as its request. Must be used from the single thread of the io_context.
class FleetRequest {
public:
    FleetRequest(EntryContext& entry, HttpStream& caller, Watchdog& watchdog, HttpHead request);

    /// Returns whether the caller's connection can be kept alive.
    asio::awaitable<bool> run();

private:
    asio::awaitable<bool> handle();
    asio::awaitable<bool> serve();
    /// After a suspension of the process, lets pending signals be handled first.
    asio::awaitable<void> awaitSignals();
    /// The plan of the matching route. Waits for the first configuration if the host has just
    /// started.
    asio::awaitable<tl::expected<RequestPlan, PlanRefusal>> plan();
    /// Waits for a placement; nullopt if the caller disconnected meanwhile. Refused as busy when
    /// there is none by the deadline.
    asio::awaitable<std::optional<AttemptPlacement>> awaitPlacement(bool retry);
    /// Waits until an active attempt has ended, and removes it from the active ones. May start a
    /// hedged attempt in the meantime.
    asio::awaitable<std::shared_ptr<FleetAttempt>> awaitAttemptEnd();
    /// Abandons the active attempts and waits until they have ended.
    asio::awaitable<void> abandonAttempts(AttemptEnd end);
    /// Response to a request without a plan.
    LocalResponse refusalOf(PlanRefusal refusal);
    asio::awaitable<bool> finish(AttemptOutcome outcome);
    asio::awaitable<bool> finishRefused(const AttemptPlacement& refused);
    /// Answers a request whose handling threw an exception.
    asio::awaitable<bool> finishFailed(const std::string& message);
    /// Answers a request for which the planned stop of this host leaves no time.
    asio::awaitable<bool> refuseStopping();
    /// False if an attempt started now might be cut by a planned stop of this host.
    bool fitsBeforeStop() const;
    asio::awaitable<bool> sendBuffered(BufferedResponse buffered);
    /// Writes to the caller. One that reads nothing for as long as the idle timeout is reset.
    asio::awaitable<Expected<void>> write(std::string bytes);
    asio::awaitable<bool> respond(LocalResponse response);

    void requestPlacement(bool retry);
    /// Takes the result of the pending placement request, if there is one.
    std::optional<AttemptPlacement> takePlacement();
    /// Cancels the pending placement request, and releases the placement if already granted.
    void dropPlacement();
    void start(const AttemptPlacement& placement);
    void startHedge(const AttemptPlacement& placement);
    bool mayHedge() const;
    /// Requests a placement for a hedged attempt once the active attempt has exceeded the hedge
    /// delay, and starts the attempt when it is granted. Returns when to call this next.
    SteadyTime updateHedge();
    /// Selects the attempt whose unbuffered response is relayed, abandons the other one, and grants
    /// the relay once no other attempt is active.
    void grantRelay();
    /// Whether all other active attempts wait to relay a server error.
    bool othersFailed(const FleetAttempt& attempt) const;
    /// Prepares the remaining active attempt after the other one has ended.
    void resumeSingleAttempt();
    void onCallerDisconnect();
    void finishAttempt(const FleetAttempt& attempt, const AttemptOutcome& outcome);
    /// Outcome of a request without an instance's response.
    RequestOutcome localOutcome() const;
    /// Whether `outcome` ends the request regardless of other attempts.
    static bool isDecisive(const AttemptOutcome& outcome);

    PlacementRequest makePlacementRequest(bool retry) const;
    bool retryable() const;
    /// Whether the request is sent to another instance after `outcome`.
    bool shouldRetry(const AttemptOutcome& outcome) const;
    PlacementReport makeReport(const AttemptOutcome& outcome) const;
    ResponseContext responseContext() const;
    void logAttempt(const FleetAttempt& attempt, const AttemptOutcome& outcome) const;
    void logHedge(const char* reason, const AttemptPlacement& placement) const;
    void addAccountFacts(Decision& decision) const;
    void logRequest(const char* reason, unsigned status, RequestOutcome outcome);

    EntryContext& m_entry;
    HttpStream& m_stream;
    HttpHead m_request;
    RequestBody m_body;
    CallerContext m_context;
    RequestPlan m_plan;
    /// keyRefusalName() of the refusal, if the request has no plan.
    const char* m_keyRefusal = "";
    /// Set by every event that serve() waits for.
    std::shared_ptr<AsyncEvent> m_event;
    std::shared_ptr<PendingPlacement> m_pendingPlacement;
    /// Attempts that have not ended.
    std::vector<std::shared_ptr<FleetAttempt>> m_active;
    /// The attempt whose unbuffered response is relayed to the caller.
    std::shared_ptr<FleetAttempt> m_winner;
    /// Earliest time of the next placement request for a hedged attempt.
    SteadyTime m_nextHedge;
    unsigned m_hedgeRefusals = 0;
    /// Start of the first attempt while attempts run concurrently.
    std::optional<SteadyTime> m_overlapStart;
    /// No further attempt is started.
    bool m_ending = false;
    bool m_callerDisconnected = false;
    /// Instances that were tried, whether reached or not.
    std::vector<InstanceId> m_tried;
    InstanceId m_lastInstance;
    /// A server error that is sent to the caller unless another attempt succeeds.
    std::optional<BufferedResponse> m_fallback;
    unsigned m_placementRequests = 0;
    /// Attempts started.
    unsigned m_attemptCount = 0;
    /// Attempts that may have run the request.
    unsigned m_possibleRuns = 0;
    bool m_placedAlone = false;
    bool m_keepAlive = false;
    Duration m_placementWait {};
    Duration m_instanceWait {};
};

/// Serves `request` with a FleetRequest.
asio::awaitable<bool> serveWithFleet(
    EntryContext& entry, HttpStream& caller, Watchdog& watchdog, HttpHead request);

} // namespace laburnum::pvt
