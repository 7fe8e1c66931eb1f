#include <laburnumroute/request_attempts.h>

#include <algorithm>
#include <utility>

#include <laburnumroute/hedge_delay.h>

namespace laburnum {

namespace {

    using std::chrono::milliseconds;

    constexpr unsigned statusServerError = 500;
    /// Limit on the placement requests of one request, including those whose instance was not
    /// reached.
    constexpr unsigned maxPlacementRequests = 6;
    /// With less time left, a further attempt cannot succeed.
    constexpr auto minAttemptTime = milliseconds(100);
    /// Shortest time between the refusal of a hedge and the next request for one.
    constexpr auto minHedgeInterval = milliseconds(500);
    /// No further hedged attempt is requested after this many refusals.
    constexpr unsigned maxHedgeRefusals = 2;
    /// A hedged attempt is not requested before the request has been sent completely, which is
    /// checked at this interval.
    constexpr auto sentPollInterval = milliseconds(100);

} // namespace

AttemptSteps RequestAttempts::begin()
{
    AttemptSteps steps;
    requestPlacement(false, steps);
    return steps;
}

AttemptSteps RequestAttempts::placementGranted(const AttemptConditions& conditions)
{
    AttemptSteps steps;
    m_pending = Pending::None;
    if (!m_active.empty()) {
        if (mayHedge(conditions))
            start(true, conditions.now, steps);
        else
            steps.releasesPlacement = true;
    } else if (m_callerLeft) {
        steps.releasesPlacement = true;
    } else if (!conditions.fitsBeforeStop) {
        steps.releasesPlacement = true;
        steps.ending = RequestEnding::Stopping;
        return steps;
    } else {
        start(false, conditions.now, steps);
    }
    update(conditions, steps);
    return steps;
}

AttemptSteps RequestAttempts::placementRefused(Duration delay, const AttemptConditions& conditions)
{
    AttemptSteps steps;
    const bool wasHedge = std::exchange(m_pending, Pending::None) == Pending::Hedge;
    if (!m_active.empty()) {
        ++m_hedgeRefusals;
        m_nextHedge = conditions.now + std::max<Duration>(delay, minHedgeInterval);
        update(conditions, steps);
    } else if (wasHedge && m_placementRequests < maxPlacementRequests) {
        // A hedge is not queued. Now that the other attempt has failed, a new request may wait for
        // a free slot.
        requestPlacement(false, steps);
    } else {
        steps.ending = RequestEnding::Refused;
    }
    return steps;
}

AttemptSteps RequestAttempts::headArrived(
    unsigned attempt, unsigned status, const AttemptConditions& conditions)
{
    AttemptSteps steps;
    if (Active* found = find(attempt))
        found->pendingStatus = status;
    update(conditions, steps);
    return steps;
}

AttemptSteps RequestAttempts::ended(
    const AttemptEndEvent& reported, const AttemptConditions& conditions)
{
    AttemptSteps steps;
    AttemptEndEvent event = reported;
    std::erase_if(m_active, [&](const Active& a) { return a.number == event.attempt; });
    m_possibleRuns += event.mayHaveRun ? 1 : 0;
    if (m_answer) {
        if (m_active.empty())
            steps.ending = RequestEnding::Attempt;
        return steps;
    }
    // The response that was selected for relaying is used, whatever other attempts return.
    if (m_winner && *m_winner != event.attempt) {
        update(conditions, steps);
        return steps;
    }
    m_winner.reset();
    // The attempt in whose favour it was ended has missed the deadline.
    if (event.kind == AttemptEndKind::Terminated)
        event.kind = AttemptEndKind::TimedOut;
    if (isDecisive(event) || (m_active.empty() && !shouldRetry(event, conditions))) {
        m_answer = event.attempt;
        steps.answer = m_answer;
        cancelPlacement(steps);
        terminateOthers(event.attempt,
            event.kind == AttemptEndKind::CallerDisconnected ? TerminationCause::CallerDisconnected
                                                             : TerminationCause::OtherResponse,
            event.status, steps);
        if (m_active.empty())
            steps.ending = RequestEnding::Attempt;
        return steps;
    }
    m_retry = event.kind != AttemptEndKind::NotReached;
    if (m_active.empty()) {
        if (m_pending == Pending::None)
            requestPlacement(false, steps);
        return steps;
    }
    m_nextHedge = m_active.front().start + hedgeDelay(m_limits.objective);
    update(conditions, steps);
    return steps;
}

AttemptSteps RequestAttempts::callerLeft(const AttemptConditions& conditions)
{
    AttemptSteps steps;
    if (std::exchange(m_callerLeft, true))
        return steps;
    cancelPlacement(steps);
    if (m_active.empty()) {
        if (!m_answer)
            steps.ending = RequestEnding::CallerGone;
        return steps;
    }
    terminateOthers(0, TerminationCause::CallerDisconnected, 0, steps);
    update(conditions, steps);
    return steps;
}

AttemptSteps RequestAttempts::poll(const AttemptConditions& conditions)
{
    AttemptSteps steps;
    update(conditions, steps);
    return steps;
}

bool RequestAttempts::mayHedge(const AttemptConditions& conditions) const
{
    return m_active.size() == 1 && m_active.front().concurrent && !m_answer && !m_winner
        && !m_callerLeft && m_possibleRuns + 1 < m_limits.attempts && conditions.replayable
        && m_limits.deadline - conditions.now >= minAttemptTime && conditions.fitsBeforeStop
        && conditions.hasRoom;
}

void RequestAttempts::start(bool isHedge, Duration now, AttemptSteps& steps)
{
    const bool concurrent
        = isHedge || (m_limits.retryable && m_possibleRuns + 1 < m_limits.attempts);
    m_active.push_back({ ++m_started, now, concurrent });
    m_nextHedge = now + hedgeDelay(m_limits.objective);
    steps.starts = StartStep { m_started, isHedge, concurrent };
}

void RequestAttempts::requestPlacement(bool isHedge, AttemptSteps& steps)
{
    m_pending = isHedge ? Pending::Hedge : Pending::First;
    ++m_placementRequests;
    steps.placement
        = PlacementStep { isHedge || m_retry, isHedge, isHedge && m_hedgeRefusals == 0 };
}

void RequestAttempts::cancelPlacement(AttemptSteps& steps)
{
    steps.cancelsPlacement = std::exchange(m_pending, Pending::None) != Pending::None;
}

void RequestAttempts::terminateOthers(
    unsigned keep, TerminationCause cause, unsigned status, AttemptSteps& steps)
{
    for (Active& attempt : m_active) {
        if (attempt.number == keep || std::exchange(attempt.terminating, true))
            continue;
        attempt.relaying = false;
        steps.terminations.push_back({ attempt.number, cause, status });
    }
}

void RequestAttempts::selectRelay(AttemptSteps& steps)
{
    for (Active& attempt : m_active) {
        if (attempt.pendingStatus == 0 || attempt.terminating || attempt.relaying)
            continue;
        if (m_active.size() == 1) {
            m_winner = attempt.number;
            attempt.relaying = true;
            cancelPlacement(steps);
            steps.relays = attempt.number;
        } else if (!m_winner
            && (attempt.pendingStatus < statusServerError || othersFailed(attempt))) {
            m_winner = attempt.number;
            terminateOthers(
                attempt.number, TerminationCause::OtherResponse, attempt.pendingStatus, steps);
        }
    }
}

bool RequestAttempts::othersFailed(const Active& attempt) const
{
    return std::all_of(m_active.begin(), m_active.end(), [&](const Active& other) {
        return other.number == attempt.number || other.pendingStatus >= statusServerError;
    });
}

void RequestAttempts::updateHedge(const AttemptConditions& conditions, AttemptSteps& steps)
{
    // One placement request is reserved for a retry if the active attempt fails.
    if (m_pending != Pending::None || !mayHedge(conditions)
        || m_placementRequests + 1 >= maxPlacementRequests || m_hedgeRefusals >= maxHedgeRefusals)
        return;
    if (conditions.now < m_nextHedge)
        steps.wakeAt = m_nextHedge;
    else if (!conditions.sent)
        steps.wakeAt = conditions.now + sentPollInterval;
    else
        requestPlacement(true, steps);
}

void RequestAttempts::update(const AttemptConditions& conditions, AttemptSteps& steps)
{
    if (m_answer)
        return;
    selectRelay(steps);
    updateHedge(conditions, steps);
}

bool RequestAttempts::isDecisive(const AttemptEndEvent& event)
{
    return event.kind == AttemptEndKind::Relayed || event.kind == AttemptEndKind::CallerDisconnected
        || (event.kind == AttemptEndKind::Buffered && event.status < statusServerError
            && event.hasStamp);
}

bool RequestAttempts::shouldRetry(
    const AttemptEndEvent& event, const AttemptConditions& conditions) const
{
    if (m_placementRequests >= maxPlacementRequests
        || m_limits.deadline - conditions.now < minAttemptTime || !conditions.replayable)
        return false;
    const bool mayRunAgain = m_limits.retryable && m_possibleRuns < m_limits.attempts;
    switch (event.kind) {
    case AttemptEndKind::NotReached:
    case AttemptEndKind::Shed:
        return true;
    case AttemptEndKind::Failed:
    case AttemptEndKind::TimedOut:
        return mayRunAgain;
    case AttemptEndKind::Buffered:
        return event.status >= statusServerError && mayRunAgain;
    default:
        return false;
    }
}

RequestAttempts::Active* RequestAttempts::find(unsigned attempt)
{
    const auto found = std::find_if(
        m_active.begin(), m_active.end(), [&](const Active& a) { return a.number == attempt; });
    return found == m_active.end() ? nullptr : &*found;
}

} // namespace laburnum
