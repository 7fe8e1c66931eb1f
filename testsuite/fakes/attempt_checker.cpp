#include "fakes/attempt_checker.h"

#include <algorithm>

namespace laburnum::fakes {

using namespace std::chrono_literals;

namespace {

    /// The users count requests that were sent this long after the signal as sent in time.
    constexpr auto timelySent = 3000ms;
    /// Requests of that time may be cut in the last sixth of the grace period.
    constexpr int graceParts = 6;
    constexpr unsigned statusServerError = 500;
    constexpr unsigned statusUnavailable = 503;

} // namespace

void AttemptChecker::onStop(const HostId& host, TimePoint now, Duration grace)
{
    m_stops[host] = { now, grace };
}

void AttemptChecker::onStart(const HostId& host) { m_stops.erase(host); }

void AttemptChecker::onRead(RequestNumber request, const HostId& host, bool isRepeatable,
    TimePoint sent, TimePoint now, Duration limit)
{
    Request& read = m_requests[request];
    read.host = host;
    read.isRepeatable = isRepeatable;
    read.sent = sent;
    read.deadline = now + limit;
}

void AttemptChecker::onCallerLeft(RequestNumber request, TimePoint now)
{
    m_requests.at(request).callerLeft = now;
}

void AttemptChecker::onRelayed(RequestNumber request, AttemptNumber attempt, TimePoint now)
{
    Request& relayed = m_requests.at(request);
    relayed.answeredBy = attempt;
    relayed.relayed = now;
}

void AttemptChecker::onEnded(RequestNumber request, unsigned status, TimePoint now)
{
    Request& ended = m_requests.at(request);
    ended.ended = now;
    ended.status = status;
    for (const AttemptNumber attempt : ended.attempts)
        onClosed(attempt, now);
}

void AttemptChecker::onAttempt(AttemptNumber attempt, RequestNumber request, TimePoint now)
{
    Attempt& started = m_attempts[attempt];
    started.request = request;
    started.started = now;
    m_requests.at(request).attempts.push_back(attempt);
}

void AttemptChecker::onSent(AttemptNumber attempt)
{
    m_attempts.at(attempt).stage = AttemptStage::UnderWay;
}

void AttemptChecker::onQueued(AttemptNumber attempt, TimePoint now)
{
    Attempt& queued = m_attempts.at(attempt);
    queued.stage = AttemptStage::Queued;
    queued.queuedAt = now;
}

void AttemptChecker::onRunning(AttemptNumber attempt, TimePoint now)
{
    Attempt& running = m_attempts.at(attempt);
    running.stage = AttemptStage::Running;
    running.queued = now - running.queuedAt;
    ++m_requests.at(running.request).runs;
}

void AttemptChecker::onStreaming(AttemptNumber attempt)
{
    m_attempts.at(attempt).stage = AttemptStage::Running;
}

void AttemptChecker::onInstanceEnded(AttemptNumber attempt)
{
    m_attempts.at(attempt).stage = AttemptStage::Ended;
}

void AttemptChecker::onAnswerArrived(AttemptNumber attempt, unsigned status, TimePoint now)
{
    Attempt& answered = m_attempts.at(attempt);
    answered.answerArrived = now;
    answered.status = status;
}

void AttemptChecker::onClosed(AttemptNumber attempt, TimePoint now)
{
    Attempt& closed = m_attempts.at(attempt);
    if (closed.closed)
        return;
    closed.closed = now;
    closed.stageWhenClosed = closed.stage;
    const auto stop = m_stops.find(m_requests.at(closed.request).host);
    if (stop != m_stops.end())
        closed.stop = stop->second;
}

/// Whether the host closed it after the first byte had left and before the instance ended it.
bool AttemptChecker::isAtWork(const Attempt& attempt)
{
    return attempt.closed && attempt.stageWhenClosed != AttemptStage::Unsent
        && attempt.stageWhenClosed != AttemptStage::Ended;
}

AttemptChecker::Cause AttemptChecker::allowedCause(const Attempt& attempt) const
{
    const Request& request = m_requests.at(attempt.request);
    const TimePoint closed = *attempt.closed;
    if (request.callerLeft && *request.callerLeft <= closed)
        return Cause::CallerLeft;
    if (closed >= request.deadline)
        return Cause::Deadline;
    // Both happen at one time, in either order.
    if (request.answeredBy && request.relayed <= closed) {
        const Attempt& other = m_attempts.at(*request.answeredBy);
        if (&other != &attempt && other.answerArrived && *other.answerArrived <= closed
            && other.status < statusServerError)
            return Cause::OtherAnswer;
    }
    if (attempt.stop && request.sent <= attempt.stop->signalled + timelySent
        && closed
            >= attempt.stop->signalled + attempt.stop->grace - attempt.stop->grace / graceParts)
        return Cause::LateInStop;
    return Cause::None;
}

std::vector<AttemptViolation> AttemptChecker::violations() const
{
    std::vector<AttemptViolation> result;
    for (const auto& [number, attempt] : m_attempts) {
        if (!isAtWork(attempt) || allowedCause(attempt) != Cause::None)
            continue;
        const Request& request = m_requests.at(attempt.request);
        AttemptViolation violation { attempt.request, number, request.host, attempt.started,
            attempt.stageWhenClosed, *attempt.closed - attempt.started, std::nullopt,
            request.status, request.answeredBy.has_value(), attempt.stop.has_value() };
        if (request.ended)
            violation.untilAnswer = *request.ended - *attempt.closed;
        result.push_back(violation);
    }
    return result;
}

AllowedEnds AttemptChecker::allowedEnds() const
{
    AllowedEnds result;
    for (const auto& [number, attempt] : m_attempts) {
        if (!isAtWork(attempt))
            continue;
        switch (allowedCause(attempt)) {
        case Cause::None:
            break;
        case Cause::CallerLeft:
            ++result.callerLeft;
            break;
        case Cause::Deadline:
            ++result.deadline;
            break;
        case Cause::OtherAnswer:
            ++result.otherAnswer;
            break;
        case Cause::LateInStop:
            ++result.lateInStop;
            break;
        }
    }
    return result;
}

std::uint64_t AttemptChecker::ranAgain() const
{
    return static_cast<std::uint64_t>(std::count_if(m_requests.begin(), m_requests.end(),
        [](const auto& item) { return !item.second.isRepeatable && item.second.runs > 1; }));
}

std::uint64_t AttemptChecker::ranThoughRefused() const
{
    return static_cast<std::uint64_t>(
        std::count_if(m_requests.begin(), m_requests.end(), [](const auto& item) {
            const Request& request = item.second;
            return request.status == statusUnavailable && !request.answeredBy && request.runs > 0;
        }));
}

std::uint64_t AttemptChecker::unended() const
{
    return static_cast<std::uint64_t>(std::count_if(
        m_requests.begin(), m_requests.end(), [](const auto& item) { return !item.second.ended; }));
}

std::uint64_t AttemptChecker::served() const
{
    return static_cast<std::uint64_t>(std::count_if(m_requests.begin(), m_requests.end(),
        [](const auto& item) { return item.second.answeredBy.has_value(); }));
}

std::uint64_t AttemptChecker::queuedLongerThan(Duration time) const
{
    return static_cast<std::uint64_t>(std::count_if(m_attempts.begin(), m_attempts.end(),
        [&](const auto& item) { return item.second.queued > time; }));
}

} // namespace laburnum::fakes
