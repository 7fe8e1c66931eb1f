/// Serves one request with instances selected by the fleet's scheduler: plan, placement, attempts,
/// response. The decisions on its attempts are taken by RequestAttempts.
#pragma once

#include <laburnumroute/request_attempts.h>

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
    FleetRequest(EntryContext& entry, HttpStream& caller, Watchdog& watchdog, RequestCut& cut,
        HttpHead request);
    ~FleetRequest();
    FleetRequest(const FleetRequest&) = delete;
    FleetRequest& operator=(const FleetRequest&) = delete;

    /// Returns whether the caller's connection can be kept alive.
    asio::awaitable<bool> run();

private:
    asio::awaitable<bool> serve();
    /// After a suspension of the process, lets pending signals be handled first.
    asio::awaitable<void> awaitSignals();
    /// The plan of the matching route. Waits for the first configuration if the host has just
    /// started.
    asio::awaitable<tl::expected<RequestPlan, PlanRefusal>> plan();
    /// Waits for the next event; runs an attempt that no other may join.
    asio::awaitable<void> awaitEvent();
    /// Handles one event. Returns false if there was none.
    bool handleEvent();
    void handleEnd(FleetAttempt& ended);
    void handlePlacement(AttemptPlacement placement);
    void apply(const AttemptSteps& steps);
    AttemptConditions conditions() const;
    /// The active attempt with this number; null if it has ended.
    std::shared_ptr<FleetAttempt> find(unsigned number) const;
    /// Response to a request without a plan.
    LocalResponse refusalOf(PlanRefusal refusal);
    asio::awaitable<bool> finish(AttemptOutcome outcome);
    asio::awaitable<bool> finishRefused(const AttemptPlacement& refused);
    /// Answers a request for which the planned stop of this host leaves no time.
    asio::awaitable<bool> refuseStopping();
    /// False if an attempt started now might be cut by a planned stop of this host.
    bool fitsBeforeStop() const;
    asio::awaitable<bool> sendBuffered(BufferedResponse buffered);
    /// Writes to the caller. One that reads nothing for as long as the idle timeout is reset.
    asio::awaitable<Expected<void>> write(std::string bytes);
    asio::awaitable<bool> respond(LocalResponse response);

    void requestPlacement(const PlacementStep& step);
    /// Cancels the pending placement request, and releases the placement if already granted.
    void dropPlacement();
    void start(const StartStep& step);
    void onCallerDisconnect();
    void finishAttempt(const FleetAttempt& attempt, const AttemptOutcome& outcome);
    /// Outcome of a request without an instance's response.
    RequestOutcome localOutcome() const;
    PlacementRequest makePlacementRequest(const PlacementStep& step) const;
    bool retryable() const;
    PlacementReport makeReport(const AttemptOutcome& outcome) const;
    ResponseContext responseContext() const;
    void logAttempt(const FleetAttempt& attempt, const AttemptOutcome& outcome) const;
    /// Logs that the stop ends this request.
    void logCut() const;
    void logHedge(const char* reason, const AttemptPlacement& placement) const;
    void addAccountFacts(Decision& decision) const;
    void logRequest(const char* reason, unsigned status, RequestOutcome outcome);

    EntryContext& m_entry;
    HttpStream& m_stream;
    RequestCut& m_cut;
    HttpHead m_request;
    RequestBody m_body;
    CallerContext m_context;
    RequestPlan m_plan;
    /// keyRefusalName() of the refusal, if the request has no plan.
    const char* m_keyRefusal = "";
    /// Set by every event that serve() waits for.
    std::shared_ptr<AsyncEvent> m_event;
    std::shared_ptr<PendingPlacement> m_pendingPlacement;
    /// The last reply to a placement request.
    std::optional<AttemptPlacement> m_placement;
    bool m_placementRequested = false;
    RequestAttempts m_attempts { {} };
    RequestEnding m_ending = RequestEnding::None;
    /// When m_attempts wants to be called without an event.
    SteadyTime m_wakeAt = SteadyTime::max();
    /// Attempts that have not ended.
    std::vector<std::shared_ptr<FleetAttempt>> m_active;
    /// The outcome that the caller gets, and its instance.
    std::optional<AttemptOutcome> m_answer;
    InstanceId m_answerInstance;
    /// Start of the first attempt while attempts run concurrently.
    std::optional<SteadyTime> m_overlapStart;
    bool m_callerDisconnected = false;
    bool m_disconnectHandled = false;
    /// Instances that were tried, whether reached or not.
    std::vector<InstanceId> m_tried;
    InstanceId m_lastInstance;
    /// A server error that is sent to the caller unless another attempt succeeds.
    std::optional<BufferedResponse> m_fallback;
    bool m_placedAlone = false;
    bool m_keepAlive = false;
    Duration m_placementWait {};
    Duration m_instanceWait {};
};

/// Serves `request` with a FleetRequest.
asio::awaitable<bool> serveWithFleet(
    EntryContext& entry, HttpStream& caller, Watchdog& watchdog, RequestCut& cut, HttpHead request);

} // namespace laburnum::pvt
