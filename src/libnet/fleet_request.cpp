#include "fleet_request_pvt.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include <laburnumroute/account_directory.h>
#include <laburnumroute/hedge_delay.h>

#include "attempt_log_pvt.h"
#include "http_status_pvt.h"
#include "request_validation_pvt.h"

namespace laburnum::pvt {

using std::chrono::milliseconds;

namespace {

    /// Responses up to this size are read completely before anything is sent to the caller.
    constexpr std::size_t responseBufferBytes = std::size_t { 64 } * 1024;
    constexpr auto defaultRetryAfter = milliseconds(500);
    /// A request that a stopping host refuses can be served by any other host.
    constexpr auto stoppingRetryAfter = milliseconds(50);
    /// A host that starts usually receives its first configuration within a second, or later if an
    /// election ends in a split vote. A request waits for it at most this long, and at most
    /// 1/configurationWaitDivisor of the time limit stated by its caller. Without a stated limit,
    /// configurationWait is used in its place.
    constexpr auto configurationWait = milliseconds(1250);
    constexpr int configurationWaitDivisor = 4;
    constexpr std::uint64_t bytesPerKibibyte = 1024;

    std::vector<std::string_view> fieldValues(const HttpHead& head, std::string_view name)
    {
        std::vector<std::string_view> values;
        for (const HeaderField& field : head.fields) {
            if (!name.empty() && equalsIgnoreCase(field.name, name))
                values.push_back(field.value);
        }
        return values;
    }

    /// Seconds with three decimals.
    std::string retryAfterText(Duration delay)
    {
        std::array<char, 32> text {};
        std::snprintf(
            text.data(), text.size(), "%.3f", std::chrono::duration<double>(delay).count());
        return text.data();
    }

    /// Name of a refusal that concerns the account key, in logs and metrics; empty for others.
    const char* keyRefusalName(PlanRefusal refusal)
    {
        switch (refusal) {
        case PlanRefusal::NoConfiguration:
        case PlanRefusal::NoRoute:
            break;
        case PlanRefusal::KeyMissing:
            return "key-missing";
        case PlanRefusal::KeyRepeated:
            return "key-repeated";
        case PlanRefusal::KeyUnknown:
            return "key-unknown";
        case PlanRefusal::KeyUnconfirmed:
        case PlanRefusal::KeyConfirmationPending:
            return reasons::keyUnconfirmed;
        }
        return "";
    }

    /// Whether the cause of `refusal` usually ends within a second after the host's start.
    bool mayWaitFor(PlanRefusal refusal)
    {
        return refusal == PlanRefusal::NoConfiguration
            || refusal == PlanRefusal::KeyConfirmationPending;
    }

    /// Of a placement that is not used.
    PlacementReport unsentReport()
    {
        PlacementReport report;
        report.isUnsent = true;
        return report;
    }

    /// An attempt that was ended for the caller's disconnect reports it as its own end.
    AttemptEndKind endKind(AttemptEnd end)
    {
        switch (end) {
        case AttemptEnd::NotConnected:
            return AttemptEndKind::NotReached;
        case AttemptEnd::Shed:
            return AttemptEndKind::Shed;
        case AttemptEnd::NoResponse:
        case AttemptEnd::BadResponse:
        case AttemptEnd::ServerError:
            return AttemptEndKind::Failed;
        case AttemptEnd::TimedOut:
            return AttemptEndKind::TimedOut;
        case AttemptEnd::Abandoned:
            return AttemptEndKind::Terminated;
        case AttemptEnd::CallerDisconnected:
            return AttemptEndKind::CallerDisconnected;
        case AttemptEnd::CallerSlow:
        case AttemptEnd::CallerMalformed:
            return AttemptEndKind::CallerFailed;
        case AttemptEnd::Buffered:
            return AttemptEndKind::Buffered;
        case AttemptEnd::Completed:
        case AttemptEnd::Truncated:
            return AttemptEndKind::Relayed;
        }
        return AttemptEndKind::Failed;
    }

} // namespace

FleetRequest::FleetRequest(
    EntryContext& entry, HttpStream& caller, Watchdog& watchdog, RequestCut& cut, HttpHead request)
    : m_entry(entry)
    , m_stream(caller)
    , m_cut(cut)
    , m_request(std::move(request))
    , m_body(caller, entry.options.replayBytes, entry.buffers)
    , m_context { entry, caller, m_body, watchdog, m_request, std::chrono::steady_clock::now(), {} }
    , m_event(std::make_shared<AsyncEvent>(caller.socket().get_executor()))
{
    m_context.responseBufferBytes = responseBufferBytes;
    m_context.cut = &m_cut;
    m_cut.isResponseRead = false;
    m_cut.onCut = [this] { logCut(); };
}

FleetRequest::~FleetRequest()
{
    m_cut.onCut = nullptr;
    m_cut.isResponseRead = false;
}

asio::awaitable<bool> FleetRequest::run()
{
    std::optional<std::string> failure;
    bool keep = false;
    try {
        keep = co_await handle();
    } catch (const std::exception& error) {
        failure = error.what();
    }
    if (failure)
        keep = co_await finishFailed(*failure);
    co_return keep;
}

asio::awaitable<bool> FleetRequest::finishFailed(const std::string& message)
{
    m_entry.metrics.countInternalError();
    Decision decision { "session", "failed" };
    decision.alwaysLog = true;
    decision.facts["id"] = std::string(m_request.field(m_entry.options.names.requestId));
    decision.facts["message"] = message;
    m_entry.log->record(decision);
    m_context.watchdog.clear();
    m_stream.unwatchPeer();
    co_await endFailedAttempts();
    if (*m_context.responseStarted) {
        logRequest(reasons::internalError, 0, RequestOutcome::Unknown);
        m_stream.reset();
        co_return false;
    }
    m_request.keepAlive = false;
    LocalResponse response { statusUnavailable, RequestOutcome::NotRun, reasons::internalError };
    if (m_attempts.started() > 0)
        response = { statusBadGateway, RequestOutcome::Unknown, reasons::internalError };
    response.retryAfter = retryAfterText(defaultRetryAfter);
    co_return co_await respond(std::move(response));
}

asio::awaitable<void> FleetRequest::endFailedAttempts()
{
    dropPlacement();
    for (const auto& attempt : m_active)
        attempt->abandon({ attempt->number(), TerminationCause::InternalError });
    // An attempt that was not spawned has thrown.
    const auto hasEnded
        = [](const auto& attempt) { return !attempt->spawned() || attempt->outcome().has_value(); };
    while (!m_active.empty()) {
        const auto ended = std::find_if(m_active.begin(), m_active.end(), hasEnded);
        if (ended == m_active.end()) {
            co_await m_event->wait();
            continue;
        }
        const auto attempt = *ended;
        m_active.erase(ended);
        // Otherwise its slot would count as taken for as long as this host runs.
        try {
            m_entry.placementProvider->end(attempt->dispatchId(), unsentReport());
        } catch (const std::exception&) {
            m_entry.metrics.countInternalError();
        }
    }
}

asio::awaitable<bool> FleetRequest::handle()
{
    if (const auto valid = validateRequest(m_request); !valid) {
        m_request.keepAlive = false;
        co_return co_await respond(malformedRequestResponse(valid.error()));
    }
    co_await awaitSignals();
    auto plan = co_await this->plan();
    if (!plan)
        co_return co_await respond(refusalOf(plan.error()));
    m_plan = std::move(*plan);
    m_context.removesAccountFields = m_plan.removesAccountFields;
    m_context.account = m_plan.account.value();
    if (m_plan.removesAccountFields)
        m_body.removeTrailers({ m_entry.options.names.accountKey, m_entry.options.names.account });
    const std::uint64_t bodyLimit = m_entry.placementProvider->limits().bodyBytes;
    if (bodyLimit != 0 && m_request.contentLength.value_or(0) > bodyLimit) {
        LocalResponse refusal { statusTooLarge, RequestOutcome::NotRun, reasons::bodyTooLarge };
        co_return co_await respond(std::move(refusal));
    }
    const Duration limit = timeLimit(m_request, m_entry.options.names, m_plan.timeout);
    m_context.deadline
        = m_context.arrival + std::chrono::duration_cast<SteadyTime::duration>(limit);
    m_context.responseDeadline = m_context.deadline;
    if (!fitsBeforeStop())
        co_return co_await refuseStopping();
    m_context.retryable = retryable();
    m_attempts = RequestAttempts({ limit, m_plan.objective, m_plan.attempts, m_context.retryable });
    m_context.onCallerDisconnect = [this] { onCallerDisconnect(); };
    co_return co_await serve();
}

asio::awaitable<void> FleetRequest::awaitSignals()
{
    const TimePoint now = m_entry.clock.now();
    const TimePoint admitted = m_entry.suspension.admitAt(now);
    if (admitted > now)
        co_await m_event->wait(std::chrono::steady_clock::now() + (admitted - now));
}

asio::awaitable<tl::expected<RequestPlan, PlanRefusal>> FleetRequest::plan()
{
    const auto planNow = [this] {
        return m_entry.placementProvider->plan(
            { m_request.method, std::string(m_request.field("host")), m_request.target,
                fieldValues(m_request, m_entry.options.names.accountKey) });
    };
    auto result = planNow();
    const Duration remaining
        = callerDeadline(m_request, m_entry.options.names).value_or(configurationWait);
    const SteadyTime limit = std::chrono::steady_clock::now()
        + std::chrono::duration_cast<SteadyTime::duration>(
            std::min<Duration>(configurationWait, remaining / configurationWaitDivisor));
    while (!result && mayWaitFor(result.error()) && !m_callerDisconnected
        && std::chrono::steady_clock::now() < limit) {
        const auto waiter
            = m_entry.placementProvider->awaitConfiguration([event = m_event] { event->set(); });
        m_stream.watchPeer([this] { onCallerDisconnect(); });
        co_await m_event->wait(limit);
        m_stream.unwatchPeer();
        m_entry.placementProvider->stopWaiting(waiter);
        result = planNow();
    }
    co_return result;
}

LocalResponse FleetRequest::refusalOf(PlanRefusal refusal)
{
    LocalResponse response { statusUnavailable, RequestOutcome::NotRun, reasons::noConfiguration };
    response.retryAfter = retryAfterText(defaultRetryAfter);
    m_plan.configNumber = m_entry.placementProvider->configNumber();
    m_keyRefusal = keyRefusalName(refusal);
    switch (refusal) {
    case PlanRefusal::NoConfiguration:
        break;
    case PlanRefusal::NoRoute:
        response.status = statusNotFound;
        response.reason = reasons::noRoute;
        break;
    case PlanRefusal::KeyMissing:
    case PlanRefusal::KeyRepeated:
    case PlanRefusal::KeyUnknown:
        // One answer for all: it must not reveal whether a key exists.
        response.status = statusUnauthorized;
        response.reason = reasons::noAccount;
        break;
    case PlanRefusal::KeyUnconfirmed:
    case PlanRefusal::KeyConfirmationPending:
        response.reason = reasons::keyUnconfirmed;
        break;
    }
    if (*m_keyRefusal != '\0')
        m_entry.metrics.countKeyRefusal(m_keyRefusal);
    return response;
}

asio::awaitable<bool> FleetRequest::serve()
{
    apply(m_attempts.begin());
    while (m_ending == RequestEnding::None) {
        if (handleEvent())
            continue;
        co_await awaitEvent();
        if (!handleEvent())
            apply(m_attempts.poll(conditions()));
    }
    m_stream.unwatchPeer();
    switch (m_ending) {
    case RequestEnding::Refused:
        co_return co_await finishRefused(*m_placement);
    case RequestEnding::Stopping:
        co_return co_await refuseStopping();
    case RequestEnding::Attempt:
        m_lastInstance = m_answerInstance;
        co_return co_await finish(std::move(*m_answer));
    default:
        logRequest("caller-gone", 0, localOutcome());
        m_stream.close();
        co_return false;
    }
}

asio::awaitable<void> FleetRequest::awaitEvent()
{
    if (!m_active.empty() && !m_active.front()->spawned()) {
        co_await m_active.front()->run();
    } else if (!m_active.empty()) {
        co_await m_event->wait(m_wakeAt);
    } else {
        const SteadyTime before = std::chrono::steady_clock::now();
        m_stream.watchPeer([this] { onCallerDisconnect(); });
        co_await m_event->wait(m_context.deadline);
        m_stream.unwatchPeer();
        m_placementWait += std::chrono::steady_clock::now() - before;
        if (!m_callerDisconnected && std::chrono::steady_clock::now() >= m_context.deadline)
            refuseOverduePlacement();
    }
}

void FleetRequest::refuseOverduePlacement()
{
    if (!m_pendingPlacement || m_pendingPlacement->placement)
        return;
    m_entry.placementProvider->cancel(m_pendingPlacement->dispatchId);
    m_pendingPlacement->placement = AttemptPlacement { m_pendingPlacement->dispatchId, std::nullopt,
        PlacementRefusal::Busy, defaultRetryAfter };
}

/// Ends of attempts come first: they may make another event void.
bool FleetRequest::handleEvent()
{
    const auto ended = std::find_if(m_active.begin(), m_active.end(),
        [](const auto& attempt) { return attempt->outcome().has_value(); });
    if (ended != m_active.end()) {
        const auto attempt = *ended;
        m_active.erase(ended);
        handleEnd(*attempt);
        return true;
    }
    if (m_callerDisconnected && !std::exchange(m_disconnectHandled, true)) {
        apply(m_attempts.callerLeft(conditions()));
        return true;
    }
    if (m_pendingPlacement && m_pendingPlacement->placement) {
        handlePlacement(std::move(*std::exchange(m_pendingPlacement, nullptr)->placement));
        return true;
    }
    for (const auto& attempt : m_active) {
        if (const auto status = attempt->takePendingStatus()) {
            apply(m_attempts.headArrived(attempt->number(), *status, conditions()));
            return true;
        }
    }
    return false;
}

void FleetRequest::handleEnd(FleetAttempt& ended)
{
    AttemptOutcome outcome = std::move(*ended.outcome());
    finishAttempt(ended, outcome);
    if (m_active.empty())
        m_stream.unwatchPeer();
    const AttemptSteps steps
        = m_attempts.ended({ ended.number(), endKind(outcome.end), outcome.status,
                               outcome.mayHaveRun, outcome.hasStamp },
            conditions());
    if (steps.answer) {
        // The attempt in whose favour it was abandoned has missed the deadline.
        if (outcome.end == AttemptEnd::Abandoned)
            outcome.end = AttemptEnd::TimedOut;
        m_answer = std::move(outcome);
        m_answerInstance = ended.instance();
    } else if (!m_answer && !steps.relays) {
        m_tried.push_back(ended.instance());
        if (outcome.buffered)
            m_fallback = std::move(outcome.buffered);
        // The attempt that ended has removed its watch on the caller.
        if (!m_active.empty())
            m_stream.watchPeer([this] { onCallerDisconnect(); });
    }
    apply(steps);
}

void FleetRequest::handlePlacement(AttemptPlacement placement)
{
    m_placement = std::move(placement);
    if (!m_placement->instance) {
        if (!m_active.empty())
            logHedge("refused", *m_placement);
        return apply(m_attempts.placementRefused(m_placement->delay, conditions()));
    }
    const AttemptSteps steps = m_attempts.placementGranted(conditions());
    if (steps.starts && steps.starts->isHedge)
        logHedge("granted", *m_placement);
    apply(steps);
}

void FleetRequest::apply(const AttemptSteps& steps)
{
    if (steps.releasesPlacement)
        m_entry.placementProvider->end(m_placement->dispatch, unsentReport());
    if (steps.cancelsPlacement)
        dropPlacement();
    if (steps.starts)
        start(*steps.starts);
    if (steps.placement)
        requestPlacement(*steps.placement);
    for (const TerminationStep& step : steps.terminations) {
        if (const auto attempt = find(step.attempt))
            attempt->abandon(step);
    }
    if (steps.relays) {
        if (const auto attempt = find(*steps.relays))
            attempt->grantRelay();
    }
    m_wakeAt = steps.wakeAt == maxDuration
        ? SteadyTime::max()
        : m_context.arrival + std::chrono::duration_cast<SteadyTime::duration>(steps.wakeAt);
    m_ending = steps.ending;
}

std::shared_ptr<FleetAttempt> FleetRequest::find(unsigned number) const
{
    const auto found = std::find_if(m_active.begin(), m_active.end(),
        [&](const auto& attempt) { return attempt->number() == number; });
    return found == m_active.end() ? nullptr : *found;
}

AttemptConditions FleetRequest::conditions() const
{
    return { std::chrono::steady_clock::now() - m_context.arrival, m_body.replayable(),
        fitsBeforeStop(), m_entry.buffers->hasRoom(m_body.buffered().size()),
        !m_active.empty() && m_active.front()->sent() };
}

bool FleetRequest::fitsBeforeStop() const
{
    if (!m_entry.lameDuck || !m_entry.plannedStop)
        return true;
    const SteadyTime began = m_entry.stopBegan;
    return m_entry.plannedStop->mayStart(
        { m_context.arrival - began, std::chrono::steady_clock::now() - began,
            m_context.deadline - began, m_plan.objective, m_plan.timeout });
}

asio::awaitable<bool> FleetRequest::refuseStopping()
{
    if (m_fallback)
        co_return co_await sendBuffered(std::move(*m_fallback));
    LocalResponse response { statusUnavailable, RequestOutcome::NotRun, reasons::stopping };
    if (m_attempts.possibleRuns() > 0)
        response = { statusBadGateway, RequestOutcome::Unknown, reasons::stopping };
    response.retryAfter = retryAfterText(stoppingRetryAfter);
    co_return co_await respond(std::move(response));
}

RequestOutcome FleetRequest::localOutcome() const
{
    return m_attempts.possibleRuns() > 0 ? RequestOutcome::Unknown : RequestOutcome::NotRun;
}

bool FleetRequest::retryable() const
{
    return m_plan.kind == RequestKind::Safe
        || (m_plan.kind == RequestKind::ByMethod && isIdempotentMethod(m_request.method));
}

PlacementRequest FleetRequest::makePlacementRequest(const PlacementStep& step) const
{
    PlacementRequest request;
    request.service = m_plan.service;
    request.kind = retryable() ? RequestKind::Safe : m_plan.kind;
    request.priority = m_plan.priority;
    request.bodyKiB
        = static_cast<std::uint32_t>(m_request.contentLength.value_or(0) / bytesPerKibibyte);
    request.remaining = m_context.deadline - std::chrono::steady_clock::now();
    request.objective = m_plan.objective;
    request.retry = step.retry;
    request.resubmitted = m_placementRequested;
    request.isHedge = step.isHedge;
    request.account = m_plan.account;
    request.avoid = m_tried;
    for (const auto& attempt : m_active)
        request.avoid.push_back(attempt->instance());
    return request;
}

void FleetRequest::requestPlacement(const PlacementStep& step)
{
    if (step.reportsOverdue)
        m_entry.placementProvider->reportOverdue(m_active.front()->dispatchId(),
            std::chrono::steady_clock::now() - m_active.front()->start());
    const auto wait = std::make_shared<PendingPlacement>();
    m_pendingPlacement = wait;
    wait->dispatchId = m_entry.placementProvider->dispatch(
        makePlacementRequest(step), [wait, event = m_event](const AttemptPlacement& placement) {
            wait->placement = placement;
            event->set();
        });
    m_placementRequested = true;
}

void FleetRequest::dropPlacement()
{
    if (!m_pendingPlacement)
        return;
    const auto dropped = std::exchange(m_pendingPlacement, nullptr);
    if (!dropped->placement)
        m_entry.placementProvider->cancel(dropped->dispatchId);
    else if (dropped->placement->instance)
        m_entry.placementProvider->end(dropped->dispatchId, unsentReport());
}

void FleetRequest::start(const StartStep& step)
{
    m_placedAlone = m_placedAlone || m_placement->alone;
    if (step.isHedge)
        m_overlapStart = m_active.front()->start();
    else
        m_body.rewind();
    const auto attempt = std::make_shared<FleetAttempt>(step.attempt, *m_placement, m_plan,
        m_context, step.isHedge ? std::make_unique<HedgeContext>(m_context) : nullptr, m_event);
    m_active.push_back(attempt);
    if (step.concurrent)
        attempt->spawn();
}

void FleetRequest::onCallerDisconnect()
{
    m_callerDisconnected = true;
    m_event->set();
}

void FleetRequest::finishAttempt(const FleetAttempt& attempt, const AttemptOutcome& outcome)
{
    m_lastInstance = attempt.instance();
    if (outcome.cause)
        m_entry.metrics.countTermination(*outcome.cause);
    const PlacementReport report = makeReport(outcome);
    m_entry.placementProvider->end(attempt.dispatchId(), report);
    // The time of concurrent attempts is counted once.
    if (!m_overlapStart)
        m_instanceWait += outcome.instanceWait;
    else if (m_active.empty())
        m_instanceWait
            += std::chrono::steady_clock::now() - *std::exchange(m_overlapStart, std::nullopt);
    if (report.end != PlacementOutcome::Success)
        logAttempt(attempt, outcome);
}

PlacementReport FleetRequest::makeReport(const AttemptOutcome& outcome) const
{
    PlacementReport report { PlacementOutcome::Failure, outcome.latency, outcome.reportedLoad,
        outcome.isLeaving, outcome.pause, outcome.connectTime };
    switch (outcome.end) {
    case AttemptEnd::Completed:
    case AttemptEnd::Buffered:
    case AttemptEnd::ServerError:
        report.end = outcome.status < statusServerError ? PlacementOutcome::Success
                                                        : PlacementOutcome::Failure;
        break;
    case AttemptEnd::Shed:
        report.end = outcome.status == statusMisdirected ? PlacementOutcome::Refused
                                                         : PlacementOutcome::Shed;
        break;
    case AttemptEnd::NotConnected:
        report.end
            = outcome.connectionRefused ? PlacementOutcome::Refused : PlacementOutcome::Unreachable;
        break;
    case AttemptEnd::TimedOut:
        report.end = PlacementOutcome::TimedOut;
        break;
    case AttemptEnd::Abandoned:
        // An instance that had less than the hedge delay to respond is not at fault.
        report.end = outcome.status == 0 && outcome.latency >= hedgeDelay(m_plan.objective)
            ? PlacementOutcome::TimedOut
            : PlacementOutcome::Unused;
        break;
    case AttemptEnd::Truncated:
        report.end = outcome.callerFailed ? PlacementOutcome::Unused : PlacementOutcome::Failure;
        break;
    case AttemptEnd::CallerSlow:
    case AttemptEnd::CallerMalformed:
    case AttemptEnd::CallerDisconnected:
        report.end = PlacementOutcome::Unused;
        break;
    case AttemptEnd::NoResponse:
    case AttemptEnd::BadResponse:
        break;
    }
    return report;
}

asio::awaitable<bool> FleetRequest::finish(AttemptOutcome outcome)
{
    const char* reason = attemptEndName(outcome.end);
    if (outcome.end == AttemptEnd::Completed) {
        logRequest(reason, outcome.status, RequestOutcome::Answered);
        co_return outcome.keepAlive;
    }
    if (outcome.end == AttemptEnd::Buffered)
        co_return co_await sendBuffered(std::move(*outcome.buffered));
    if (outcome.end == AttemptEnd::Truncated || outcome.end == AttemptEnd::CallerDisconnected) {
        logRequest(reason, 0, localOutcome());
        m_stream.close();
        co_return false;
    }
    if (m_fallback)
        co_return co_await sendBuffered(std::move(*m_fallback));
    const bool ran = m_attempts.possibleRuns() > 0;
    LocalResponse response { ran ? statusBadGateway : statusUnavailable,
        ran ? RequestOutcome::Unknown : RequestOutcome::NotRun, reason };
    response.retryAfter = outcome.retryAfter.empty() ? retryAfterText(defaultRetryAfter)
                                                     : std::move(outcome.retryAfter);
    if (outcome.end == AttemptEnd::TimedOut && ran)
        response.status = statusGatewayTimeout;
    else if (outcome.end == AttemptEnd::CallerSlow && !ran)
        response.status = statusRequestTimeout;
    else if (outcome.end == AttemptEnd::CallerMalformed)
        response.status = statusBadRequest;
    co_return co_await respond(std::move(response));
}

asio::awaitable<bool> FleetRequest::finishRefused(const AttemptPlacement& refused)
{
    if (m_fallback)
        co_return co_await sendBuffered(std::move(*m_fallback));
    const char* reason = placementRefusalName(refused.refusal);
    LocalResponse response { statusUnavailable, RequestOutcome::NotRun, reason };
    if (refused.refusal == PlacementRefusal::OverCap)
        response.status = statusTooManyRequests;
    if (m_attempts.possibleRuns() > 0)
        response = { statusBadGateway, RequestOutcome::Unknown, reason };
    response.retryAfter = retryAfterText(std::max<Duration>(refused.delay, milliseconds(1)));
    co_return co_await respond(std::move(response));
}

asio::awaitable<Expected<void>> FleetRequest::write(std::string bytes)
{
    const auto arm = [this] {
        m_context.watchdog.watch(m_entry.options.bodyIdleTimeout, [this] { m_stream.reset(); });
    };
    arm();
    *m_context.responseStarted = true;
    m_cut.isResponseRead = true;
    auto sent = co_await m_stream.write(std::move(bytes), arm);
    m_context.watchdog.clear();
    co_return sent;
}

asio::awaitable<bool> FleetRequest::sendBuffered(BufferedResponse buffered)
{
    m_keepAlive = m_request.keepAlive && m_body.complete() && !m_entry.closesConnections();
    auto fields = endToEndFields(buffered.head);
    const bool bodiless = m_request.method == "HEAD" || isBodiless(buffered.head.status);
    if (!buffered.head.contentLength && !bodiless)
        fields.push_back({ "Content-Length", std::to_string(buffered.body.size()) });
    addConnectionField(fields, responseContext());
    std::string bytes = renderResponseHead(buffered.head, fields);
    if (!bodiless)
        bytes += buffered.body;
    buffered.body = {};
    const auto sent = co_await write(std::move(bytes));
    logRequest(sent ? "answered" : "caller-gone", buffered.head.status, RequestOutcome::Answered);
    co_return sent&& m_keepAlive;
}

ResponseContext FleetRequest::responseContext() const
{
    return { m_request.method == "HEAD", m_request.versionMinor, m_keepAlive };
}

asio::awaitable<bool> FleetRequest::respond(LocalResponse response)
{
    m_keepAlive = m_request.keepAlive && m_body.complete() && !m_entry.closesConnections();
    const auto sent = co_await write(renderLocalResponse(response, responseContext()));
    logRequest(response.reason, response.status, response.outcome);
    co_return sent&& m_keepAlive;
}

void FleetRequest::logCut() const
{
    const SteadyTime now = std::chrono::steady_clock::now();
    Decision decision { "stop", "request-cut" };
    decision.alwaysLog = true;
    decision.facts["id"] = std::string(m_request.field(m_entry.options.names.requestId));
    decision.facts["service"] = m_plan.service.value();
    decision.facts["instance"] = m_active.empty() ? "" : m_active.front()->instance().value();
    if (m_active.size() > 1)
        decision.facts["second"] = m_active.back()->instance().value();
    decision.facts["cause"] = terminationCauseName(*m_cut.cause);
    decision.facts["ms"] = Json::Int64(toMillis(now - m_context.arrival));
    decision.facts["stop_ms"] = Json::Int64(toMillis(m_cut.state.sinceStop));
    m_entry.log->record(decision);
}

void FleetRequest::logHedge(const char* reason, const AttemptPlacement& placement) const
{
    const FleetAttempt& working = *m_active.front();
    const SteadyTime now = std::chrono::steady_clock::now();
    Decision decision { "hedge", reason };
    decision.alwaysLog = true;
    decision.facts["id"] = std::string(m_request.field(m_entry.options.names.requestId));
    decision.facts["service"] = m_plan.service.value();
    decision.facts["instance"] = working.instance().value();
    decision.facts["limit_ms"] = Json::Int64(toMillis(hedgeDelay(m_plan.objective)));
    decision.facts["ms"] = Json::Int64(toMillis(now - working.start()));
    decision.facts["left_ms"] = Json::Int64(toMillis(m_context.deadline - now));
    decision.facts["alone"] = placement.alone;
    if (placement.instance) {
        decision.facts["second"] = placement.instance->id.value();
    } else {
        decision.facts["refusal"] = placementRefusalName(placement.refusal);
        decision.facts["delay_ms"] = Json::Int64(toMillis(placement.delay));
    }
    m_entry.log->record(decision);
}

void FleetRequest::logAttempt(const FleetAttempt& attempt, const AttemptOutcome& outcome) const
{
    Decision decision = attemptDecision(m_context, attempt.assignment(), outcome);
    decision.facts["send"] = attempt.number();
    decision.facts["alone"] = m_placedAlone;
    decision.facts["after_ms"] = Json::Int64(
        toMillis(std::chrono::steady_clock::now() - m_context.arrival - outcome.latency));
    if (outcome.end == AttemptEnd::Abandoned) {
        decision.facts["limit_ms"] = Json::Int64(toMillis(hedgeDelay(m_plan.objective)));
        decision.facts["left_ms"]
            = Json::Int64(toMillis(m_context.deadline - std::chrono::steady_clock::now()));
    }
    m_entry.log->record(decision);
}

/// Adds which account the request belongs to, or why it has none. Keys appear as fingerprints only.
void FleetRequest::addAccountFacts(Decision& decision) const
{
    if (!m_plan.account.value().empty()) {
        decision.facts["account"] = m_plan.account.value();
        decision.facts["key"] = m_plan.keyFingerprint;
    }
    if (*m_keyRefusal == '\0')
        return;
    decision.facts["cause"] = m_keyRefusal;
    const auto keys = fieldValues(m_request, m_entry.options.names.accountKey);
    if (keys.size() == 1)
        decision.facts["key"] = keyFingerprint(keys.front());
}

void FleetRequest::logRequest(const char* reason, unsigned status, RequestOutcome outcome)
{
    const Duration total = std::chrono::steady_clock::now() - m_context.arrival;
    m_entry.metrics.record(
        { m_plan.service, outcome, status, m_attempts.started() > 0 ? m_attempts.started() - 1 : 0,
            total, std::max(total - m_instanceWait, Duration::zero()), m_body.bytes(),
            m_placementWait, m_instanceWait });
    if (!m_plan.account.value().empty())
        m_entry.metrics.countAccountRequest(m_plan.account);
    Decision decision { "request", reason };
    decision.alwaysLog = m_attempts.started() > 1 || status == 0 || status >= statusMultipleChoices;
    decision.facts["id"] = std::string(m_request.field(m_entry.options.names.requestId));
    decision.facts["route"] = m_plan.route;
    decision.facts["service"] = m_plan.service.value();
    if (!m_plan.account.value().empty())
        decision.facts["account"] = m_plan.account.value();
    decision.facts["config"]
        = m_plan.configNumber ? Json::Value(Json::UInt64(*m_plan.configNumber)) : Json::Value();
    decision.facts["instance"] = m_lastInstance.value();
    decision.facts["outcome"] = outcomeName(outcome);
    decision.facts["status"] = status;
    decision.facts["sends"] = m_attempts.started();
    decision.facts["alone"] = m_placedAlone;
    decision.facts["placing_ms"] = Json::Int64(toMillis(m_placementWait));
    decision.facts["ms"] = Json::Int64(toMillis(total));
    addAccountFacts(decision);
    m_entry.log->record(decision);
}

asio::awaitable<bool> serveWithFleet(
    EntryContext& entry, HttpStream& caller, Watchdog& watchdog, RequestCut& cut, HttpHead request)
{
    FleetRequest handler(entry, caller, watchdog, cut, std::move(request));
    co_return co_await handler.run();
}

} // namespace laburnum::pvt
