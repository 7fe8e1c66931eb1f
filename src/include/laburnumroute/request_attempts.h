/// Decisions on the attempts of one request: whether to hedge, whose response to relay, which
/// attempts to end, whether to retry, when the request is finished. No I/O.
///
/// Each event returns the steps to take, in this order: `releasesPlacement`, `cancelsPlacement`,
/// `starts`, `placement`, `terminations`, `relays`, `ending`. Of events that happened together,
/// ends of attempts are reported first and poll() last. Attempts are numbered from 1 in the order
/// of their starts.
///
/// Load pattern: a few instances hang or fail while others answer within the objective. A hedge
/// bounds the wait for such an instance; the attempt it stands beside goes on, because the instance
/// may be at work (attempt_termination.h).
#pragma once

#include <optional>
#include <vector>

#include <laburnumroute/attempt_termination.h>
#include <laburnumroute/clock.h>

namespace laburnum {

/// Fixed when the request is read.
struct AttemptLimits {
    /// From when the head of the request had been read.
    Duration deadline {};
    /// Latency objective of the route.
    Duration objective {};
    /// Instances that may run the request.
    unsigned attempts = 1;
    /// The request may safely run more than once.
    bool retryable = false;
};

/// What the surrounding code knows at an event.
struct AttemptConditions {
    /// From when the head of the request had been read.
    Duration now {};
    /// The request's body can be sent again.
    bool replayable = true;
    /// A planned stop of this host, if any, leaves time for an attempt that starts now.
    bool fitsBeforeStop = true;
    /// The buffer budget has room for the body of another attempt.
    bool hasRoom = true;
    /// The request has been sent completely to the first active attempt's instance.
    bool sent = true;
};

/// How an attempt ended, as far as it concerns the others.
enum class AttemptEndKind : std::uint8_t {
    /// The instance was not reached, so it did not run the request.
    NotReached,
    /// The instance stated that it did not run the request.
    Shed,
    /// No response or no valid one.
    Failed,
    TimedOut,
    /// terminate() ended it for another attempt's response.
    Terminated,
    CallerDisconnected,
    /// The caller's body is malformed or did not arrive in time.
    CallerFailed,
    /// A complete response that has not been sent to the caller.
    Buffered,
    /// The response was sent to the caller, completely or not.
    Relayed,
};

struct AttemptEndEvent {
    unsigned attempt = 0;
    AttemptEndKind kind = AttemptEndKind::Failed;
    /// Status of the response; 0 without one.
    unsigned status = 0;
    /// False only if it is certain that the instance did not run the request.
    bool mayHaveRun = false;
    /// The response is an instance's own. Any other ends no attempt that is at work.
    bool hasStamp = true;
};

/// A placement to be requested.
struct PlacementStep {
    /// An instance was reached before.
    bool retry = false;
    /// Another attempt is active.
    bool isHedge = false;
    /// The first active attempt exceeds the hedge delay. Set with the first hedge only.
    bool reportsOverdue = false;
};

struct StartStep {
    unsigned attempt = 0;
    /// Starts beside another attempt.
    bool isHedge = false;
    /// A hedge may join it, so it must ask before it relays (headArrived()).
    bool concurrent = false;
};

struct TerminationStep {
    unsigned attempt = 0;
    TerminationCause cause = TerminationCause::OtherResponse;
    /// Status of the response in whose favour it is ended.
    unsigned otherStatus = 0;
};

/// What the caller gets.
enum class RequestEnding : std::uint8_t {
    /// Nothing yet.
    None,
    /// The result of attempt `answer`.
    Attempt,
    /// The refusal of the last placement request.
    Refused,
    /// This host stops and no attempt fits.
    Stopping,
    /// Nothing: the caller left before an attempt started.
    CallerGone,
};

struct AttemptSteps {
    /// The placement just granted is returned unused.
    bool releasesPlacement = false;
    /// The pending placement request is withdrawn.
    bool cancelsPlacement = false;
    std::optional<StartStep> starts;
    std::optional<PlacementStep> placement;
    std::vector<TerminationStep> terminations;
    /// The attempt that relays its response now.
    std::optional<unsigned> relays;
    /// Set once, when no attempt is active any more.
    RequestEnding ending = RequestEnding::None;
    /// Attempt whose result is the request's. Set at its end, other attempts may still be active.
    std::optional<unsigned> answer;
    /// When poll() must be called at the latest; maxDuration if an event comes first.
    Duration wakeAt = maxDuration;
};

class RequestAttempts {
public:
    explicit RequestAttempts(const AttemptLimits& limits)
        : m_limits(limits)
    {
    }

    /// The request is ready for its first placement.
    AttemptSteps begin();
    /// A pending placement request was granted.
    AttemptSteps placementGranted(const AttemptConditions& conditions);
    /// It was refused; `delay` is when to ask again.
    AttemptSteps placementRefused(Duration delay, const AttemptConditions& conditions);
    /// The head of a response that is too long to be buffered has arrived; the attempt waits until
    /// it may relay.
    AttemptSteps headArrived(
        unsigned attempt, unsigned status, const AttemptConditions& conditions);
    /// Must be reported once for each attempt that was started.
    AttemptSteps ended(const AttemptEndEvent& event, const AttemptConditions& conditions);
    AttemptSteps callerLeft(const AttemptConditions& conditions);
    /// Time has passed.
    AttemptSteps poll(const AttemptConditions& conditions);

    bool mayHedge(const AttemptConditions& conditions) const;
    std::size_t active() const { return m_active.size(); }
    bool placementPending() const { return m_pending != Pending::None; }
    /// Attempts started.
    unsigned started() const { return m_started; }
    /// Attempts that may have run the request.
    unsigned possibleRuns() const { return m_possibleRuns; }

private:
    enum class Pending : std::uint8_t { None, First, Hedge };
    struct Active {
        unsigned number = 0;
        Duration start {};
        bool concurrent = false;
        /// Status of the response that waits to be relayed; 0 without one.
        unsigned pendingStatus = 0;
        bool terminating = false;
        bool relaying = false;
    };

    void start(bool isHedge, Duration now, AttemptSteps& steps);
    void requestPlacement(bool isHedge, AttemptSteps& steps);
    void cancelPlacement(AttemptSteps& steps);
    void terminateOthers(
        unsigned keep, TerminationCause cause, unsigned status, AttemptSteps& steps);
    void selectRelay(AttemptSteps& steps);
    bool othersFailed(const Active& attempt) const;
    void updateHedge(const AttemptConditions& conditions, AttemptSteps& steps);
    /// Selects a response to relay and considers a hedge.
    void update(const AttemptConditions& conditions, AttemptSteps& steps);
    /// Whether the event ends the request regardless of other attempts.
    static bool isDecisive(const AttemptEndEvent& event);
    bool shouldRetry(const AttemptEndEvent& event, const AttemptConditions& conditions) const;
    Active* find(unsigned attempt);

    AttemptLimits m_limits;
    std::vector<Active> m_active;
    Pending m_pending = Pending::None;
    /// The attempt whose response is relayed to the caller.
    std::optional<unsigned> m_winner;
    /// The attempt whose result the caller gets.
    std::optional<unsigned> m_answer;
    Duration m_nextHedge {};
    unsigned m_hedgeRefusals = 0;
    unsigned m_placementRequests = 0;
    unsigned m_started = 0;
    unsigned m_possibleRuns = 0;
    /// The next placement request is for a retry.
    bool m_retry = false;
    bool m_callerLeft = false;
};

} // namespace laburnum
