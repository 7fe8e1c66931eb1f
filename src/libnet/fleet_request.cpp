#include "fleet_request_pvt.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include <laburnumroute/hedge_delay.h>

#include "http_status_pvt.h"
#include "request_validation_pvt.h"

namespace laburnum::pvt {

using std::chrono::milliseconds;

namespace {

    /// Answers up to this size are read whole before any of it is passed on.
    constexpr std::size_t holdBytes = std::size_t { 64 } * 1024;
    /// Places that one request asks for at the most, reached or not.
    constexpr unsigned askLimit = 6;
    /// With less time left a further attempt cannot be answered.
    constexpr auto shortestAttempt = milliseconds(100);
    constexpr auto retryAfterStart = milliseconds(500);
    /// A refused second attempt is asked for resubmitted so often, less one.
    constexpr unsigned hedgeRefusalLimit = 2;
    /// Until a request is sent whole its second attempt waits, looking so often.
    constexpr auto sentCheck = milliseconds(100);
    /// A host that starts hears its first configuration within a second, as a rule, later when
    /// votes split; a caller waits for it so long, and no longer than this part of its time.
    constexpr auto startPatience = milliseconds(1250);
    constexpr int patienceDivisor = 4;
    constexpr std::uint64_t bytesPerKibibyte = 1024;

    /// Seconds with three decimals.
    std::string retryAfterText(Duration delay)
    {
        std::array<char, 32> text {};
        std::snprintf(
            text.data(), text.size(), "%.3f", std::chrono::duration<double>(delay).count());
        return text.data();
    }

    const char* endName(AttemptEnd end)
    {
        switch (end) {
        case AttemptEnd::NotConnected:
            return reasons::notConnected;
        case AttemptEnd::Shed:
            return reasons::shed;
        case AttemptEnd::NoAnswer:
            return reasons::noAnswer;
        case AttemptEnd::BadAnswer:
            return reasons::badAnswer;
        case AttemptEnd::TimedOut:
            return reasons::deadline;
        case AttemptEnd::GivenUp:
            return "given-up";
        case AttemptEnd::CallerSlow:
            return reasons::slowBody;
        case AttemptEnd::CallerMalformed:
            return reasons::malformedBody;
        case AttemptEnd::CallerGone:
            return "caller-gone";
        case AttemptEnd::Cut:
            return "cut";
        case AttemptEnd::ServerError:
            return "server-error";
        case AttemptEnd::Passed:
        case AttemptEnd::Held:
            return "answered";
        }
        return "unknown";
    }

} // namespace

FleetRequest::FleetRequest(
    EntryContext& entry, HttpStream& caller, Watchdog& watchdog, HttpHead request)
    : m_entry(entry)
    , m_stream(caller)
    , m_request(std::move(request))
    , m_body(caller, entry.options.replayBytes)
    , m_side { entry, caller, m_body, watchdog, m_request, std::chrono::steady_clock::now(), {} }
    , m_wake(std::make_shared<WakeUp>(caller.socket().get_executor()))
{
    m_side.holdBytes = holdBytes;
}

asio::awaitable<bool> FleetRequest::run()
{
    if (const auto vetted = vetRequest(m_request); !vetted) {
        m_request.keepAlive = false;
        co_return co_await answer(malformedAnswer(vetted.error()));
    }
    auto plan = co_await this->plan();
    if (!plan && plan.error() == PlanRefusal::NoRoute) {
        OwnAnswer refusal { statusNotFound, RequestOutcome::NotRun, reasons::noRoute };
        co_return co_await answer(std::move(refusal));
    }
    if (!plan) {
        OwnAnswer refusal { statusUnavailable, RequestOutcome::NotRun, reasons::noConfiguration };
        refusal.retryAfter = retryAfterText(retryAfterStart);
        co_return co_await answer(std::move(refusal));
    }
    m_plan = std::move(*plan);
    const std::uint64_t bodyLimit = m_entry.desk->limits().bodyBytes;
    if (bodyLimit != 0 && m_request.contentLength.value_or(0) > bodyLimit) {
        OwnAnswer refusal { statusTooLarge, RequestOutcome::NotRun, reasons::bodyTooLarge };
        co_return co_await answer(std::move(refusal));
    }
    const Duration limit = timeLimit(m_request, m_entry.options.names, m_plan.timeout);
    m_side.deadline = m_side.arrival + std::chrono::duration_cast<SteadyTime::duration>(limit);
    m_side.repeatable = repeatable();
    m_side.onCallerGone = [this] { callerLeft(); };
    co_return co_await serve();
}

asio::awaitable<tl::expected<RequestPlan, PlanRefusal>> FleetRequest::plan()
{
    const auto planNow = [this] {
        return m_entry.desk->plan(
            m_request.method, std::string(m_request.field("host")), m_request.target);
    };
    auto result = planNow();
    if (result || result.error() != PlanRefusal::NoConfiguration)
        co_return result;
    const Duration remaining
        = callerDeadline(m_request, m_entry.options.names).value_or(startPatience);
    const SteadyTime limit = std::chrono::steady_clock::now()
        + std::chrono::duration_cast<SteadyTime::duration>(
            std::min<Duration>(startPatience, remaining / patienceDivisor));
    const auto waiter = m_entry.desk->awaitConfiguration([wake = m_wake] { wake->raise(); });
    m_stream.watchPeer([wake = m_wake] { wake->raise(); });
    co_await m_wake->wait(limit);
    m_stream.unwatchPeer();
    m_entry.desk->stopWaiting(waiter);
    co_return planNow();
}

asio::awaitable<bool> FleetRequest::serve()
{
    bool retry = false;
    while (true) {
        if (m_working.empty()) {
            const auto placed = co_await place(retry);
            if (!placed) {
                recordEnd("caller-gone", 0, ownOutcome());
                m_stream.close();
                co_return false;
            }
            if (!placed->instance)
                co_return co_await concludeRefused(*placed);
            start(*placed);
        }
        const auto ended = co_await nextEnd();
        AttemptOutcome outcome = std::move(*ended->outcome());
        noteEnd(*ended, outcome);
        if (m_working.empty())
            m_stream.unwatchPeer();
        // The answer that was let go first is the caller's, whatever else has come.
        if (m_winner && m_winner != ended)
            continue;
        m_winner = nullptr;
        // The attempt that it was closed for missed the deadline.
        if (outcome.end == AttemptEnd::GivenUp)
            outcome.end = AttemptEnd::TimedOut;
        if (decides(outcome) || (m_working.empty() && !goesOn(outcome))) {
            co_await closeAll(outcome.end == AttemptEnd::CallerGone ? AttemptEnd::CallerGone
                                                                    : AttemptEnd::GivenUp);
            m_instance = ended->instance();
            co_return co_await conclude(std::move(outcome));
        }
        m_tried.push_back(ended->instance());
        if (outcome.held)
            m_held = std::move(outcome.held);
        retry = outcome.end != AttemptEnd::NotConnected;
        if (!m_working.empty())
            goOnBeside();
    }
}

RequestOutcome FleetRequest::ownOutcome() const
{
    return m_runs > 0 ? RequestOutcome::Unknown : RequestOutcome::NotRun;
}

bool FleetRequest::decides(const AttemptOutcome& outcome)
{
    return outcome.end == AttemptEnd::Passed || outcome.end == AttemptEnd::Cut
        || outcome.end == AttemptEnd::CallerGone
        || (outcome.end == AttemptEnd::Held && outcome.status < statusServerError);
}

bool FleetRequest::repeatable() const
{
    return m_plan.kind == RequestKind::Safe
        || (m_plan.kind == RequestKind::ByMethod && isIdempotentMethod(m_request.method));
}

PlacementRequest FleetRequest::demandFor(bool retry) const
{
    PlacementRequest demand;
    demand.service = m_plan.service;
    demand.kind = repeatable() ? RequestKind::Safe : m_plan.kind;
    demand.priority = m_plan.priority;
    demand.bodyKiB
        = static_cast<std::uint32_t>(m_request.contentLength.value_or(0) / bytesPerKibibyte);
    demand.remaining = m_side.deadline - std::chrono::steady_clock::now();
    demand.objective = m_plan.objective;
    demand.retry = retry;
    demand.resubmitted = m_asks > 0;
    demand.isHedge = !m_working.empty();
    demand.avoid = m_tried;
    for (const auto& attempt : m_working)
        demand.avoid.push_back(attempt->instance());
    return demand;
}

void FleetRequest::askForPlace(bool retry)
{
    const auto wait = std::make_shared<PlaceWait>();
    m_ask = wait;
    wait->dispatch = m_entry.desk->dispatch(
        demandFor(retry), [wait, wake = m_wake](const AttemptPlacement& placed) {
            wait->placed = placed;
            wake->raise();
        });
    ++m_asks;
}

std::optional<AttemptPlacement> FleetRequest::takePlace()
{
    if (!m_ask || !m_ask->placed)
        return std::nullopt;
    return std::move(std::exchange(m_ask, nullptr)->placed);
}

void FleetRequest::dropPlace()
{
    if (!m_ask)
        return;
    const auto dropped = std::exchange(m_ask, nullptr);
    if (!dropped->placed)
        m_entry.desk->cancel(dropped->dispatch);
    else if (dropped->placed->instance)
        m_entry.desk->end(dropped->dispatch, {});
}

asio::awaitable<std::optional<AttemptPlacement>> FleetRequest::place(bool retry)
{
    const SteadyTime before = std::chrono::steady_clock::now();
    const bool askedBeside = m_ask != nullptr;
    if (!m_ask)
        askForPlace(retry);
    if (!m_ask->placed) {
        m_stream.watchPeer([this] { callerLeft(); });
        while (!m_ask->placed && !m_callerGone)
            co_await m_wake->wait();
        m_stream.unwatchPeer();
    }
    m_placing += std::chrono::steady_clock::now() - before;
    if (m_callerGone)
        dropPlace();
    auto placed = takePlace();
    // A place isHedge an attempt had to be free; now that it has failed, this one may wait for one.
    if (placed && !placed->instance && askedBeside && m_asks < askLimit)
        placed = co_await place(retry);
    co_return placed;
}

void FleetRequest::start(const AttemptPlacement& placed)
{
    m_body.rewind();
    m_alone = m_alone || placed.alone;
    ++m_sends;
    const auto attempt
        = std::make_shared<FleetAttempt>(m_sends, placed, m_plan, m_side, nullptr, m_wake);
    m_working.push_back(attempt);
    m_hedgeFrom = attempt->start()
        + std::chrono::duration_cast<SteadyTime::duration>(hedgeDelay(m_plan.objective));
    if (m_side.repeatable && m_runs + 1 < m_plan.attempts)
        attempt->spawn();
}

void FleetRequest::startHedge(const AttemptPlacement& placed)
{
    m_alone = m_alone || placed.alone;
    ++m_sends;
    const SteadyTime now = std::chrono::steady_clock::now();
    m_raceStart = m_working.front()->start();
    const auto attempt = std::make_shared<FleetAttempt>(
        m_sends, placed, m_plan, m_side, std::make_unique<HedgeSide>(m_side), m_wake);
    m_working.push_back(attempt);
    m_hedgeFrom
        = now + std::chrono::duration_cast<SteadyTime::duration>(hedgeDelay(m_plan.objective));
    attempt->spawn();
}

bool FleetRequest::mayHedge() const
{
    const auto left = m_side.deadline - std::chrono::steady_clock::now();
    return m_working.size() == 1 && m_working.front()->spawned() && !m_ending && !m_winner
        && !m_callerGone && m_runs + 1 < m_plan.attempts && m_body.replayable()
        && left >= shortestAttempt;
}

SteadyTime FleetRequest::hedge()
{
    if (const auto placed = takePlace()) {
        if (placed->instance && mayHedge()) {
            recordHedge("granted", *placed);
            startHedge(*placed);
        } else if (placed->instance) {
            m_entry.desk->end(placed->dispatch, {});
        } else {
            recordHedge("refused", *placed);
            ++m_hedgeRefusals;
            m_hedgeFrom = std::chrono::steady_clock::now()
                + std::chrono::duration_cast<SteadyTime::duration>(
                    std::max<Duration>(placed->delay, retryAfterStart));
        }
    }
    // One dispatch stays for a failure of the attempt at work.
    if (m_ask || !mayHedge() || m_asks + 1 >= askLimit || m_hedgeRefusals >= hedgeRefusalLimit)
        return SteadyTime::max();
    const SteadyTime now = std::chrono::steady_clock::now();
    if (now < m_hedgeFrom)
        return m_hedgeFrom;
    if (!m_working.front()->sent())
        return now + sentCheck;
    if (m_hedgeRefusals == 0)
        m_entry.desk->reportOverdue(
            m_working.front()->dispatch(), now - m_working.front()->start());
    askForPlace(true);
    return SteadyTime::max();
}

void FleetRequest::giveTurn()
{
    for (const auto& attempt : m_working) {
        const auto status = attempt->waitingAnswer();
        if (!status)
            continue;
        if (m_working.size() == 1) {
            m_winner = attempt;
            dropPlace();
            attempt->giveTurn();
        } else if (!m_winner && (*status < statusServerError || othersFailed(*attempt))) {
            m_winner = attempt;
            for (const auto& other : m_working) {
                if (other != attempt)
                    other->close(AttemptEnd::GivenUp);
            }
        }
    }
}

bool FleetRequest::othersFailed(const FleetAttempt& attempt) const
{
    return std::all_of(m_working.begin(), m_working.end(), [&](const auto& other) {
        return other.get() == &attempt || other->waitingAnswer().value_or(0) >= statusServerError;
    });
}

asio::awaitable<std::shared_ptr<FleetAttempt>> FleetRequest::nextEnd()
{
    const auto first = m_working.front();
    if (!first->spawned()) {
        co_await first->run();
        m_working.clear();
        co_return first;
    }
    while (true) {
        const auto ended = std::find_if(m_working.begin(), m_working.end(),
            [](const auto& attempt) { return attempt->outcome().has_value(); });
        if (ended != m_working.end()) {
            auto result = *ended;
            m_working.erase(ended);
            co_return result;
        }
        if (m_callerGone) {
            for (const auto& attempt : m_working)
                attempt->close(AttemptEnd::CallerGone);
        }
        giveTurn();
        const SteadyTime next = hedge();
        co_await m_wake->wait(next);
    }
}

asio::awaitable<void> FleetRequest::closeAll(AttemptEnd end)
{
    m_ending = true;
    dropPlace();
    for (const auto& attempt : m_working)
        attempt->close(end);
    while (!m_working.empty()) {
        const auto ended = co_await nextEnd();
        noteEnd(*ended, *ended->outcome());
    }
    m_stream.unwatchPeer();
}

void FleetRequest::goOnBeside()
{
    // The attempt that ended took its watch along.
    m_stream.watchPeer([this] { callerLeft(); });
    m_hedgeFrom = m_working.front()->start()
        + std::chrono::duration_cast<SteadyTime::duration>(hedgeDelay(m_plan.objective));
}

void FleetRequest::callerLeft()
{
    m_callerGone = true;
    m_wake->raise();
}

void FleetRequest::noteEnd(const FleetAttempt& attempt, const AttemptOutcome& outcome)
{
    m_instance = attempt.instance();
    const PlacementReport report = reportOf(outcome);
    m_entry.desk->end(attempt.dispatch(), report);
    // Of attempts that ran side by side the time counts once.
    if (!m_raceStart)
        m_waited += outcome.waited;
    else if (m_working.empty())
        m_waited += std::chrono::steady_clock::now() - *std::exchange(m_raceStart, std::nullopt);
    m_runs += outcome.mayHaveRun ? 1 : 0;
    if (report.end != PlacementOutcome::Success)
        recordAttempt(attempt, outcome);
}

PlacementReport FleetRequest::reportOf(const AttemptOutcome& outcome) const
{
    PlacementReport report { PlacementOutcome::Failure, outcome.latency, outcome.reportedLoad };
    switch (outcome.end) {
    case AttemptEnd::Passed:
    case AttemptEnd::Held:
    case AttemptEnd::ServerError:
        report.end = outcome.status < statusServerError ? PlacementOutcome::Success
                                                        : PlacementOutcome::Failure;
        break;
    case AttemptEnd::Shed:
        report.end = outcome.status == statusMisdirected ? PlacementOutcome::Refused
                                                         : PlacementOutcome::Shed;
        break;
    case AttemptEnd::NotConnected:
        report.end = outcome.refused ? PlacementOutcome::Refused : PlacementOutcome::Unreachable;
        break;
    case AttemptEnd::TimedOut:
        report.end = PlacementOutcome::TimedOut;
        break;
    case AttemptEnd::GivenUp:
        // An instance that was at work for less than an attempt's time did nothing unusual.
        report.end = outcome.status == 0 && outcome.latency >= hedgeDelay(m_plan.objective)
            ? PlacementOutcome::TimedOut
            : PlacementOutcome::Unused;
        break;
    case AttemptEnd::Cut:
        report.end = outcome.callerBroke ? PlacementOutcome::Unused : PlacementOutcome::Failure;
        break;
    case AttemptEnd::CallerSlow:
    case AttemptEnd::CallerMalformed:
    case AttemptEnd::CallerGone:
        report.end = PlacementOutcome::Unused;
        break;
    case AttemptEnd::NoAnswer:
    case AttemptEnd::BadAnswer:
        break;
    }
    return report;
}

bool FleetRequest::goesOn(const AttemptOutcome& outcome) const
{
    const auto left = m_side.deadline - std::chrono::steady_clock::now();
    if (m_asks >= askLimit || left < shortestAttempt || !m_body.replayable())
        return false;
    switch (outcome.end) {
    case AttemptEnd::NotConnected:
    case AttemptEnd::Shed:
        return true;
    case AttemptEnd::NoAnswer:
    case AttemptEnd::BadAnswer:
    case AttemptEnd::TimedOut:
        return m_side.repeatable && m_runs < m_plan.attempts;
    case AttemptEnd::Held:
        return outcome.status >= statusServerError && m_side.repeatable && m_runs < m_plan.attempts;
    default:
        return false;
    }
}

asio::awaitable<bool> FleetRequest::conclude(AttemptOutcome outcome)
{
    const char* reason = endName(outcome.end);
    if (outcome.end == AttemptEnd::Passed) {
        recordEnd(reason, outcome.status, RequestOutcome::Answered);
        co_return outcome.keepAlive;
    }
    if (outcome.end == AttemptEnd::Held)
        co_return co_await passHeld(*outcome.held);
    if (outcome.end == AttemptEnd::Cut || outcome.end == AttemptEnd::CallerGone) {
        recordEnd(reason, 0, ownOutcome());
        m_stream.close();
        co_return false;
    }
    if (m_held)
        co_return co_await passHeld(*m_held);
    const bool ran = m_runs > 0;
    OwnAnswer own { ran ? statusBadGateway : statusUnavailable,
        ran ? RequestOutcome::Unknown : RequestOutcome::NotRun, reason };
    own.retryAfter = outcome.retryAfter.empty() ? retryAfterText(retryAfterStart)
                                                : std::move(outcome.retryAfter);
    if (outcome.end == AttemptEnd::TimedOut && ran)
        own.status = statusGatewayTimeout;
    else if (outcome.end == AttemptEnd::CallerSlow && !ran)
        own.status = statusRequestTimeout;
    else if (outcome.end == AttemptEnd::CallerMalformed)
        own.status = statusBadRequest;
    co_return co_await answer(std::move(own));
}

asio::awaitable<bool> FleetRequest::concludeRefused(const AttemptPlacement& refused)
{
    if (m_held)
        co_return co_await passHeld(*m_held);
    const char* reason = placementRefusalName(refused.refusal);
    OwnAnswer own { statusUnavailable, RequestOutcome::NotRun, reason };
    if (m_runs > 0)
        own = { statusBadGateway, RequestOutcome::Unknown, reason };
    own.retryAfter = retryAfterText(std::max<Duration>(refused.delay, milliseconds(1)));
    co_return co_await answer(std::move(own));
}

asio::awaitable<bool> FleetRequest::passHeld(const HeldAnswer& held)
{
    m_keepAlive = m_request.keepAlive && m_body.complete() && !m_entry.closing();
    auto fields = endToEndFields(held.head);
    const bool bodiless = m_request.method == "HEAD" || isBodiless(held.head.status);
    if (!held.head.contentLength && !bodiless)
        fields.push_back({ "Content-Length", std::to_string(held.body.size()) });
    addConnection(fields, answerContext());
    std::string bytes = renderResponseHead(held.head, fields);
    if (!bodiless)
        bytes += held.body;
    const auto sent = co_await m_stream.write(std::move(bytes));
    recordEnd(sent ? "answered" : "caller-gone", held.head.status, RequestOutcome::Answered);
    co_return sent&& m_keepAlive;
}

AnswerContext FleetRequest::answerContext() const
{
    return { m_request.method == "HEAD", m_request.versionMinor, m_keepAlive };
}

asio::awaitable<bool> FleetRequest::answer(OwnAnswer answer)
{
    m_keepAlive = m_request.keepAlive && m_body.complete() && !m_entry.closing();
    const auto sent = co_await m_stream.write(renderAnswer(answer, answerContext()));
    recordEnd(answer.reason, answer.status, answer.outcome);
    co_return sent&& m_keepAlive;
}

void FleetRequest::recordHedge(const char* reason, const AttemptPlacement& placed) const
{
    const FleetAttempt& working = *m_working.front();
    const SteadyTime now = std::chrono::steady_clock::now();
    Decision decision { "hedge", reason };
    decision.alwaysLog = true;
    decision.facts["id"] = std::string(m_request.field(m_entry.options.names.requestId));
    decision.facts["service"] = m_plan.service.value();
    decision.facts["instance"] = working.instance().value();
    decision.facts["limit_ms"] = Json::Int64(toMillis(hedgeDelay(m_plan.objective)));
    decision.facts["ms"] = Json::Int64(toMillis(now - working.start()));
    decision.facts["left_ms"] = Json::Int64(toMillis(m_side.deadline - now));
    decision.facts["alone"] = placed.alone;
    if (placed.instance) {
        decision.facts["second"] = placed.instance->id.value();
    } else {
        decision.facts["refusal"] = placementRefusalName(placed.refusal);
        decision.facts["delay_ms"] = Json::Int64(toMillis(placed.delay));
    }
    m_entry.log->record(decision);
}

void FleetRequest::recordAttempt(const FleetAttempt& attempt, const AttemptOutcome& outcome) const
{
    Decision decision { "attempt", endName(outcome.end) };
    decision.alwaysLog = true;
    decision.facts["id"] = std::string(m_request.field(m_entry.options.names.requestId));
    decision.facts["instance"] = attempt.instance().value();
    decision.facts["status"] = outcome.status;
    decision.facts["service"] = m_plan.service.value();
    decision.facts["send"] = attempt.number();
    decision.facts["alone"] = m_alone;
    decision.facts["after_ms"] = Json::Int64(
        toMillis(std::chrono::steady_clock::now() - m_side.arrival - outcome.latency));
    decision.facts["ms"] = Json::Int64(toMillis(outcome.latency));
    decision.facts["may_have_run"] = outcome.mayHaveRun;
    if (outcome.end == AttemptEnd::GivenUp) {
        decision.facts["limit_ms"] = Json::Int64(toMillis(hedgeDelay(m_plan.objective)));
        decision.facts["left_ms"]
            = Json::Int64(toMillis(m_side.deadline - std::chrono::steady_clock::now()));
    }
    m_entry.log->record(decision);
}

void FleetRequest::recordEnd(const char* reason, unsigned status, RequestOutcome outcome)
{
    const Duration whole = std::chrono::steady_clock::now() - m_side.arrival;
    m_entry.metrics.record({ m_plan.service, outcome, status, m_sends > 0 ? m_sends - 1 : 0, whole,
        std::max(whole - m_waited, Duration::zero()), m_body.bytes(), m_placing, m_waited });
    Decision decision { "request", reason };
    decision.alwaysLog = m_sends > 1 || status == 0 || status >= statusMultipleChoices;
    decision.facts["id"] = std::string(m_request.field(m_entry.options.names.requestId));
    decision.facts["route"] = m_plan.route;
    decision.facts["service"] = m_plan.service.value();
    decision.facts["config"] = Json::UInt64(m_plan.configNumber);
    decision.facts["instance"] = m_instance.value();
    decision.facts["outcome"] = outcomeName(outcome);
    decision.facts["status"] = status;
    decision.facts["sends"] = m_sends;
    decision.facts["alone"] = m_alone;
    decision.facts["placing_ms"] = Json::Int64(toMillis(m_placing));
    decision.facts["ms"] = Json::Int64(toMillis(whole));
    m_entry.log->record(decision);
}

asio::awaitable<bool> serveInFleet(
    EntryContext& entry, HttpStream& caller, Watchdog& watchdog, HttpHead request)
{
    FleetRequest handler(entry, caller, watchdog, std::move(request));
    co_return co_await handler.run();
}

} // namespace laburnum::pvt
