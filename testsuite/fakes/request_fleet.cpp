#include "fakes/request_fleet.h"

#include <algorithm>
#include <array>

#include <laburnumroute/hedge_delay.h>
#include <laburnumroute/route_table.h>

#include "fakes/request_fleet_day.h"

namespace laburnum::fakes {

using namespace std::chrono_literals;

namespace {

    // Of laburnumd's entry hosts.
    constexpr auto connectTimeout = 400ms;
    constexpr auto stopPollInterval = 100ms;
    constexpr auto minLameDuckTime = 3000ms;

    // Connections.
    constexpr auto callerWay = 1ms;
    constexpr auto dataCentreWay = 500us;
    constexpr auto regionWay = 2ms;
    constexpr auto farWay = 20ms;
    constexpr double pooledShare = 0.7;
    constexpr double slowConnectShare = 0.01;
    constexpr std::uint64_t slowConnectMs = 600;
    /// Answers that are too long to be buffered, and the time from their head to their end.
    constexpr double streamedShare = 0.15;
    constexpr auto streamTime = 300ms;
    constexpr double truncatedShare = 0.05;

    // Callers.
    constexpr double budgetShare = 0.3;
    constexpr std::uint64_t leastBudgetMs = 2500;
    constexpr std::uint64_t budgetRangeMs = 5500;
    constexpr double unreplayableShare = 0.05;
    constexpr double noRoomShare = 0.05;
    constexpr double leavingShare = 0.03;
    constexpr std::uint64_t leavingRangeMs = 4000;
    /// Callers leave a stopping host after this time, but for those on kept connections.
    constexpr auto callersLeaveAfter = 2000ms;
    constexpr double keptShare = 0.15;
    constexpr unsigned pickTries = 10;

    constexpr auto restartDelay = 1000ms;
    constexpr auto watchInterval = 10ms;
    /// The early abort of PromiseFault::AbortsEarly.
    constexpr auto abortedEarlyBy = 1000ms;

    constexpr unsigned statusServerError = 500;
    constexpr unsigned statusBadGateway = 502;
    constexpr unsigned statusUnavailable = 503;
    constexpr unsigned statusGatewayTimeout = 504;

    PlacementReport unsentReport()
    {
        PlacementReport report;
        report.isUnsent = true;
        return report;
    }

} // namespace

RequestFleet::LiveRequest* RequestFleet::find(RequestNumber request)
{
    const auto found = m_requests.find(request);
    return found == m_requests.end() ? nullptr : &found->second;
}

std::vector<RequestNumber> RequestFleet::requestsOf(const HostId& host) const
{
    std::vector<RequestNumber> result;
    for (const auto& [id, request] : m_requests) {
        if (request.host == host)
            result.push_back(id);
    }
    return result;
}

Duration RequestFleet::wayTo(const HostId& host, const InstanceId& instance) const
{
    const unsigned number = m_hosts.at(host).number;
    const InstanceRecord& record = m_instances.record(m_instanceIndex.at(instance));
    if (record.dataCentre == dataCentreOf(number))
        return dataCentreWay;
    return record.region == regionOf(number) ? Duration(regionWay) : Duration(farWay);
}

void RequestFleet::arrive()
{
    if (m_fleet.now() >= m_loadEnds)
        return;
    const double rate
        = siteRequestsPerSecond * static_cast<double>(m_options.entries) / siteEntries;
    std::exponential_distribution<double> interval(rate);
    m_fleet.schedule(fromSeconds(interval(m_random)), [this] { arrive(); });
    if (const auto host = pickHost())
        m_fleet.schedule(callerWay, [this, host = *host] { read(host); });
}

std::optional<HostId> RequestFleet::pickHost()
{
    for (unsigned i = 0; i < pickTries; ++i) {
        const auto number = static_cast<unsigned>(uniformBelow(m_random, m_options.entries)) + 1;
        const double draw = uniformReal(m_random);
        const HostId host = ControllerFleet::entry(number);
        const Host& state = m_hosts.at(host);
        if (!m_fleet.isUp(host) || state.isDraining)
            continue;
        if (state.stopBegan && m_fleet.now() - *state.stopBegan > callersLeaveAfter
            && draw >= keptShare)
            continue;
        return host;
    }
    return std::nullopt;
}

std::optional<RequestPlan> RequestFleet::planFor(const HostId& host, const std::string& target)
{
    const NumberedConfig& config = m_fleet.client(host).config();
    if (config.number == 0)
        return std::nullopt;
    const auto [parsed, isNew] = m_parsed.try_emplace(config.content);
    if (isNew) {
        Findings findings;
        parsed->second = readConfiguration(config.content, "fleet.toml", findings);
    }
    const RouteTable routes(parsed->second.routes);
    const RouteSpec* route = routes.find("GET", "", target);
    if (route == nullptr)
        return std::nullopt;
    RequestPlan plan;
    plan.route = route->name;
    plan.service = route->service;
    plan.kind = route->kind;
    plan.timeout = route->timeout;
    plan.objective = route->objective;
    plan.priority = route->priority;
    plan.attempts = route->attempts;
    plan.configNumber = config.number;
    if (!route->split.empty()) {
        auto& splitters = m_hosts.at(host).splitters;
        const double start = uniformReal(m_random);
        const auto splitter = splitters.try_emplace(route->prefix, WeightedSplitter(start)).first;
        plan.service = splitter->second.next(route->split);
    }
    return plan;
}

/// From what the operator wrote, not from what the host made of it.
Duration RequestFleet::routeTimeout(const HostId& host, const std::string& target)
{
    const Configuration written = siteConfiguration(m_fleet.client(host).config().number.value());
    const auto route = std::find_if(written.routes.begin(), written.routes.end(),
        [&](const RouteSpec& each) { return each.prefix == target; });
    return route->timeout;
}

void RequestFleet::read(const HostId& host)
{
    if (!m_fleet.isUp(host) || m_hosts.at(host).isDraining)
        return;
    const std::string target = drawTarget(uniformReal(m_random));
    const double budgetDraw = uniformReal(m_random);
    const Duration budget = 1ms * (leastBudgetMs + uniformBelow(m_random, budgetRangeMs));
    const double leavingDraw = uniformReal(m_random);
    const Duration leaves = 1ms * uniformBelow(m_random, leavingRangeMs);
    const bool isReplayable = uniformReal(m_random) >= unreplayableShare;
    const bool hasRoom = uniformReal(m_random) >= noRoomShare;
    const auto plan = planFor(host, target);
    if (!plan)
        return;
    const TimePoint now = m_fleet.now();
    const Duration callerLimit = budgetDraw < budgetShare ? budget : maxDuration;
    m_lastRequest = RequestNumber(m_lastRequest.value() + 1);
    m_checker.onRead(m_lastRequest, host, plan->kind == RequestKind::Safe, now - callerWay, now,
        std::min(callerLimit, routeTimeout(host, target)));
    const bool isRetryable = plan->kind == RequestKind::Safe;
    const Duration limit = std::min(callerLimit, plan->timeout);
    const AttemptLimits limits { limit, plan->objective, plan->attempts, isRetryable };
    LiveRequest fresh { m_lastRequest, host, *plan, isRetryable, now, now + limit,
        RequestAttempts(limits) };
    fresh.isReplayable = isReplayable;
    fresh.hasRoom = hasRoom;
    LiveRequest& request = m_requests.emplace(m_lastRequest, std::move(fresh)).first->second;
    if (!fitsBeforeStop(request))
        return finish(request, RequestEnding::Stopping);
    m_fleet.schedule(limit, [this, id = request.id] { onDeadline(id); });
    if (leavingDraw < leavingShare)
        m_fleet.schedule(leaves, [this, id = request.id] { onCallerLeft(id); });
    perform(request, request.logic.begin());
}

bool RequestFleet::fitsBeforeStop(const LiveRequest& request) const
{
    const auto& began = m_hosts.at(request.host).stopBegan;
    if (!began)
        return true;
    return PlannedStop(m_options.grace)
        .mayStart({ request.read - *began, m_fleet.now() - *began, request.deadline - *began,
            request.plan.objective, request.plan.timeout });
}

AttemptConditions RequestFleet::conditions(const LiveRequest& request) const
{
    AttemptConditions result;
    result.now = m_fleet.now() - request.read;
    result.replayable = request.isReplayable;
    result.hasRoom = request.hasRoom;
    result.fitsBeforeStop = fitsBeforeStop(request);
    const auto active = std::find_if(request.attempts.begin(), request.attempts.end(),
        [](const LiveAttempt& attempt) { return !attempt.isOver; });
    result.sent = active != request.attempts.end() && active->isSent;
    return result;
}

/// Takes the steps in the order that RequestAttempts demands.
void RequestFleet::perform(LiveRequest& request, const AttemptSteps& steps)
{
    if (steps.releasesPlacement)
        m_fleet.end(request.host, request.granted->dispatch, unsentReport());
    if (steps.cancelsPlacement && request.pending) {
        m_pending.erase({ request.host, *request.pending });
        m_fleet.cancel(request.host, *request.pending);
        request.pending.reset();
    }
    if (steps.starts) {
        m_stats.hedges += steps.starts->isHedge ? 1 : 0;
        startAttempt(request, steps.starts->concurrent);
        if (m_options.fault == PromiseFault::EndsWithHedge && steps.starts->isHedge)
            m_fleet.schedule(
                0ms, [this, id = request.id, hedge = steps.starts->attempt] { giveUp(id, hedge); });
    }
    if (steps.placement)
        dispatch(request, *steps.placement);
    if (steps.answer)
        request.answer = steps.answer;
    for (const TerminationStep& step : steps.terminations) {
        if (!terminate(request, step.attempt, step.cause, step.otherStatus))
            continue;
        const auto kind = step.cause == TerminationCause::CallerDisconnected
            ? AttemptEndKind::CallerDisconnected
            : AttemptEndKind::Terminated;
        m_fleet.schedule(0ms, [this, id = request.id, attempt = step.attempt, kind] {
            endAttempt(id, attempt, kind);
        });
    }
    if (steps.relays)
        relay(request, *steps.relays);
    request.wakeAt = steps.wakeAt;
    if (steps.wakeAt != maxDuration) {
        const Duration delay = request.read + steps.wakeAt - m_fleet.now();
        m_fleet.schedule(std::max<Duration>(delay, 1ms),
            [this, id = request.id, at = steps.wakeAt] { wake(id, at); });
    }
    if (steps.ending != RequestEnding::None)
        finish(request, steps.ending);
}

/// Steps taken since may have set another time, which is the only one that the product keeps.
void RequestFleet::wake(RequestNumber id, Duration at)
{
    LiveRequest* request = find(id);
    if (request != nullptr && request->wakeAt == at)
        perform(*request, request->logic.poll(conditions(*request)));
}

void RequestFleet::dispatch(LiveRequest& request, const PlacementStep& step)
{
    const TimePoint now = m_fleet.now();
    const auto active = std::find_if(request.attempts.begin(), request.attempts.end(),
        [](const LiveAttempt& attempt) { return !attempt.isOver; });
    if (step.reportsOverdue && active != request.attempts.end())
        m_fleet.reportOverdue(request.host, active->dispatch, now - active->start);
    PlacementRequest wanted;
    wanted.service = request.plan.service;
    wanted.kind = request.plan.kind;
    wanted.priority = request.plan.priority;
    wanted.remaining = request.deadline - now;
    wanted.objective = request.plan.objective;
    wanted.retry = step.retry;
    wanted.resubmitted = std::exchange(request.wasDispatched, true);
    wanted.isHedge = step.isHedge;
    wanted.dataCentre = dataCentreOf(m_hosts.at(request.host).number);
    wanted.region = regionOf(m_hosts.at(request.host).number);
    wanted.avoid = request.tried;
    for (const LiveAttempt& attempt : request.attempts) {
        if (!attempt.isOver)
            wanted.avoid.push_back(attempt.instance);
    }
    // Its result is handled in an event of its own, so that it is registered by then.
    request.pending = m_fleet.dispatch(request.host, std::move(wanted));
    m_pending[{ request.host, *request.pending }] = request.id;
}

void RequestFleet::onPlacement(const HostId& host, const PlacementResult& result)
{
    m_stats.placedAlone += result.alone && result.instance ? 1 : 0;
    m_stats.refusedAlone += result.alone && !result.instance ? 1 : 0;
    const auto pending = m_pending.extract({ host, result.dispatch });
    LiveRequest* request = pending ? find(pending.mapped()) : nullptr;
    if (request == nullptr) {
        if (result.instance && m_fleet.isUp(host))
            m_fleet.end(host, result.dispatch, unsentReport());
        return;
    }
    request->pending.reset();
    if (result.instance) {
        request->granted = result;
        return perform(*request, request->logic.placementGranted(conditions(*request)));
    }
    m_stats.refusedHedges += request->logic.active() > 0 ? 1 : 0;
    const bool endsAttempts
        = m_options.fault == PromiseFault::EndsWithRefusedHedge && request->logic.active() > 0;
    if (m_options.fault == PromiseFault::Forgets && request->logic.active() > 0)
        return respond(*request, statusBadGateway);
    const RequestNumber id = request->id;
    perform(*request, request->logic.placementRefused(result.delay, conditions(*request)));
    if (endsAttempts)
        giveUp(id, std::nullopt);
}

void RequestFleet::startAttempt(LiveRequest& request, bool isConcurrent)
{
    const TimePoint now = m_fleet.now();
    m_lastAttempt = AttemptNumber(m_lastAttempt.value() + 1);
    const InstanceId instance = request.granted->instance->id;
    LiveAttempt attempt;
    attempt.id = m_lastAttempt;
    attempt.dispatch = request.granted->dispatch;
    attempt.instance = instance;
    attempt.start = now;
    attempt.isConcurrent = isConcurrent;
    const bool isPooled = uniformReal(m_random) < pooledShare;
    const bool isSlow = uniformReal(m_random) < slowConnectShare;
    const Duration slow = 1ms * uniformBelow(m_random, slowConnectMs);
    if (!isPooled)
        attempt.connectTime = 2 * wayTo(request.host, instance) + (isSlow ? slow : 0ms);
    request.attempts.push_back(attempt);
    const auto number = static_cast<unsigned>(request.attempts.size());
    m_attempts[attempt.id] = { request.id, number };
    m_checker.onAttempt(attempt.id, request.id, now);
    if (m_options.fault == PromiseFault::GivesUpBeforeReplacement && request.isRetryable)
        m_fleet.schedule(hedgeDelay(request.plan.objective), [this, id = request.id, number] {
            LiveRequest* given = find(id);
            if (given == nullptr || given->attempts[number - 1].isOver)
                return;
            closeAttempt(*given, number);
            endAttempt(id, number, AttemptEndKind::TimedOut);
        });
    const bool isOpen = attempt.connectTime <= connectTimeout;
    m_fleet.schedule(std::min<Duration>(attempt.connectTime, connectTimeout),
        [this, id = request.id, number, isOpen] { connected(id, number, isOpen); });
}

void RequestFleet::connected(RequestNumber id, unsigned number, bool isOpen)
{
    LiveRequest* request = find(id);
    if (request == nullptr)
        return;
    LiveAttempt& attempt = request->attempts[number - 1];
    if (attempt.isOver || attempt.isClosed)
        return;
    if (!isOpen)
        return endAttempt(id, number, AttemptEndKind::NotReached);
    attempt.isSent = true;
    m_checker.onSent(attempt.id);
    m_fleet.schedule(wayTo(request->host, attempt.instance),
        [this, host = request->host, instance = attempt.instance, of = attempt.id] {
            m_rateLimits.onArrived(instance, host, m_fleet.now());
            m_instances.arrive(instance, of);
        });
}

/// The instance has ended the attempt; its answer is on the way.
void RequestFleet::onInstanceAnswer(AttemptNumber of, const InstanceAnswer& answer)
{
    const bool isStreamed = uniformReal(m_random) < streamedShare
        && answer.ending == InstanceEnding::Answered && answer.status < statusServerError;
    const auto place = m_attempts.find(of);
    if (place == m_attempts.end())
        return;
    LiveRequest* request = find(place->second.request);
    if (request == nullptr || request->attempts[place->second.attempt - 1].isClosed)
        return;
    if (isStreamed)
        m_checker.onStreaming(of);
    m_fleet.schedule(wayTo(request->host, request->attempts[place->second.attempt - 1].instance),
        [this, at = place->second, answer, isStreamed] {
            receiveAnswer(at.request, at.attempt, answer, isStreamed);
        });
}

void RequestFleet::receiveAnswer(
    RequestNumber id, unsigned number, const InstanceAnswer& answer, bool isStreamed)
{
    LiveRequest* request = find(id);
    if (request == nullptr)
        return;
    LiveAttempt& attempt = request->attempts[number - 1];
    if (attempt.isOver || attempt.isClosed)
        return;
    attempt.load = answer.load;
    attempt.ending = answer.ending;
    onRateLimit(*request, attempt, answer);
    switch (answer.ending) {
    case InstanceEnding::Refused:
        return endAttempt(id, number, AttemptEndKind::NotReached);
    case InstanceEnding::Shed:
    case InstanceEnding::Leaving:
        return endAttempt(id, number, AttemptEndKind::Shed);
    case InstanceEnding::BrokeOff:
        return endAttempt(id, number, AttemptEndKind::Failed);
    case InstanceEnding::Answered:
        break;
    }
    attempt.status = answer.status;
    m_checker.onAnswerArrived(attempt.id, answer.status, m_fleet.now());
    if (!isStreamed)
        return endAttempt(id, number, AttemptEndKind::Buffered);
    m_fleet.schedule(streamTime, [this, id, number] { receiveEnd(id, number); });
    // An attempt that nothing can run beside relays at once.
    if (attempt.isConcurrent)
        perform(*request, request->logic.headArrived(number, answer.status, conditions(*request)));
    else
        relay(*request, number);
}

void RequestFleet::receiveEnd(RequestNumber id, unsigned number)
{
    LiveRequest* request = find(id);
    if (request == nullptr || request->attempts[number - 1].isOver
        || request->attempts[number - 1].isClosed)
        return;
    m_checker.onInstanceEnded(request->attempts[number - 1].id);
    request->attempts[number - 1].isComplete = true;
    request->attempts[number - 1].isTruncated = uniformReal(m_random) < truncatedShare;
    if (request->attempts[number - 1].isRelaying)
        endAttempt(id, number, AttemptEndKind::Relayed);
}

void RequestFleet::relay(LiveRequest& request, unsigned number)
{
    LiveAttempt& attempt = request.attempts[number - 1];
    attempt.isRelaying = true;
    m_checker.onRelayed(request.id, attempt.id, m_fleet.now());
    if (attempt.isComplete)
        m_fleet.schedule(0ms,
            [this, id = request.id, number] { endAttempt(id, number, AttemptEndKind::Relayed); });
}

void RequestFleet::giveUp(RequestNumber id, std::optional<unsigned> except)
{
    const LiveRequest* request = find(id);
    for (unsigned number = 1; request != nullptr && number <= request->attempts.size(); ++number) {
        if (number != except && !request->attempts[number - 1].isOver) {
            closeAttempt(m_requests.at(id), number);
            endAttempt(id, number, AttemptEndKind::TimedOut);
        }
        request = find(id);
    }
}

/// As Exchange::terminate(): the attempt goes on if the product's table of causes does not permit
/// its end.
bool RequestFleet::terminate(
    LiveRequest& request, unsigned number, TerminationCause cause, unsigned otherStatus)
{
    const LiveAttempt& attempt = request.attempts[number - 1];
    TerminationState state;
    state.now = m_fleet.now() - request.read;
    state.deadline = request.deadline - request.read;
    state.callerClosed = request.callerLeft;
    state.ownStatus = attempt.status;
    state.otherStatus = otherStatus;
    if (const auto& began = m_hosts.at(request.host).stopBegan) {
        const PlannedStop stop(m_options.grace);
        state.stopSignals = 1;
        state.sinceStop = m_fleet.now() - *began;
        state.abortAfter = stop.abortAfter() - abortLead();
        state.exitAfter = stop.exitAfter();
    }
    if (attempt.isSent && !attempt.isOver && !mayTerminate(cause, state)) {
        ++m_stats.refusedTerminations;
        return false;
    }
    closeAttempt(request, number);
    return true;
}

void RequestFleet::closeAttempt(LiveRequest& request, unsigned number)
{
    LiveAttempt& attempt = request.attempts[number - 1];
    if (attempt.isOver || std::exchange(attempt.isClosed, true))
        return;
    m_checker.onClosed(attempt.id, m_fleet.now());
    if (attempt.isSent)
        m_fleet.schedule(wayTo(request.host, attempt.instance),
            [this, instance = attempt.instance, of = attempt.id] {
                m_instances.disconnect(instance, of);
            });
}

void RequestFleet::endAttempt(RequestNumber id, unsigned number, AttemptEndKind kind)
{
    LiveRequest* request = find(id);
    if (request == nullptr)
        return;
    LiveAttempt& attempt = request->attempts[number - 1];
    if (std::exchange(attempt.isOver, true))
        return;
    attempt.kind = kind;
    m_attempts.erase(attempt.id);
    m_fleet.end(request->host, attempt.dispatch, makeReport(*request, attempt));
    request->tried.push_back(attempt.instance);
    if (kind == AttemptEndKind::Buffered && attempt.status >= statusServerError) {
        request->fallback = number;
        if (m_options.fault == PromiseFault::EndsWithServerError)
            m_fleet.schedule(0ms, [this, id] { giveUp(id, std::nullopt); });
    }
    if (kind == AttemptEndKind::Buffered && attempt.status < statusServerError)
        m_checker.onRelayed(id, attempt.id, m_fleet.now());
    const bool mayHaveRun
        = attempt.isSent && kind != AttemptEndKind::Shed && kind != AttemptEndKind::NotReached;
    perform(*request,
        request->logic.ended({ number, kind, attempt.status, mayHaveRun }, conditions(*request)));
}

PlacementReport RequestFleet::makeReport(
    const LiveRequest& request, const LiveAttempt& attempt) const
{
    PlacementReport report;
    report.latency = m_fleet.now() - attempt.start;
    report.reportedLoad = attempt.load;
    report.isLeaving = attempt.ending == InstanceEnding::Leaving;
    report.connectTime = attempt.connectTime;
    switch (attempt.kind) {
    case AttemptEndKind::NotReached:
        report.end = attempt.ending == InstanceEnding::Refused ? PlacementOutcome::Refused
                                                               : PlacementOutcome::Unreachable;
        break;
    case AttemptEndKind::Shed:
        report.end = PlacementOutcome::Shed;
        break;
    case AttemptEndKind::Failed:
        report.end = PlacementOutcome::Failure;
        break;
    case AttemptEndKind::TimedOut:
        report.end = PlacementOutcome::TimedOut;
        break;
    case AttemptEndKind::Terminated:
        report.end = attempt.status == 0 && report.latency >= hedgeDelay(request.plan.objective)
            ? PlacementOutcome::TimedOut
            : PlacementOutcome::Unused;
        break;
    case AttemptEndKind::CallerDisconnected:
    case AttemptEndKind::CallerFailed:
        report.end = PlacementOutcome::Unused;
        break;
    case AttemptEndKind::Buffered:
    case AttemptEndKind::Relayed:
        report.end = attempt.status < statusServerError && !attempt.isTruncated
            ? PlacementOutcome::Success
            : PlacementOutcome::Failure;
        break;
    }
    return report;
}

/// The time limit of each attempt's connection.
void RequestFleet::onDeadline(RequestNumber id)
{
    const LiveRequest* request = find(id);
    if (request == nullptr || m_fleet.now() < request->deadline)
        return;
    for (unsigned number = 1; request != nullptr && number <= request->attempts.size(); ++number) {
        if (terminate(m_requests.at(id), number, TerminationCause::Deadline, 0))
            endAttempt(id, number, AttemptEndKind::TimedOut);
        request = find(id);
    }
}

void RequestFleet::onCallerLeft(RequestNumber id)
{
    LiveRequest* request = find(id);
    if (request == nullptr)
        return;
    request->callerLeft = true;
    m_checker.onCallerLeft(id, m_fleet.now());
    perform(*request, request->logic.callerLeft(conditions(*request)));
}

void RequestFleet::finish(LiveRequest& request, RequestEnding ending)
{
    const bool mayHaveRun = request.logic.possibleRuns() > 0;
    const unsigned refused = mayHaveRun ? statusBadGateway : statusUnavailable;
    const LiveAttempt* answer = request.answer ? &request.attempts[*request.answer - 1] : nullptr;
    if (ending == RequestEnding::CallerGone
        || (answer != nullptr && answer->kind == AttemptEndKind::CallerDisconnected))
        return respond(request, 0);
    if (answer != nullptr
        && (answer->kind == AttemptEndKind::Relayed
            || (answer->kind == AttemptEndKind::Buffered && answer->status < statusServerError)))
        return respond(request, answer->isTruncated ? 0 : answer->status);
    if (request.fallback) {
        m_checker.onRelayed(request.id, request.attempts[*request.fallback - 1].id, m_fleet.now());
        return respond(request, statusServerError);
    }
    m_stats.stopping += ending == RequestEnding::Stopping ? 1 : 0;
    if (answer != nullptr && answer->kind == AttemptEndKind::TimedOut && mayHaveRun)
        return respond(request, statusGatewayTimeout);
    respond(request, refused);
}

void RequestFleet::respond(LiveRequest& request, unsigned status)
{
    ++m_stats.statuses[status];
    m_checker.onEnded(request.id, status, m_fleet.now());
    if (request.pending)
        m_pending.erase({ request.host, *request.pending });
    for (const LiveAttempt& attempt : request.attempts)
        m_attempts.erase(attempt.id);
    m_requests.erase(request.id);
}

void RequestFleet::stopBusiest()
{
    std::map<HostId, std::size_t> inFlight;
    for (const auto& [id, request] : m_requests)
        ++inFlight[request.host];
    std::optional<HostId> busiest;
    for (const auto& [host, state] : m_hosts) {
        if (m_fleet.isUp(host) && !state.stopBegan && state.process == 1
            && (!busiest || inFlight[host] > inFlight[*busiest]))
            busiest = host;
    }
    if (!busiest)
        return;
    ++m_stats.stops;
    Host& stopped = m_hosts.at(*busiest);
    stopped.stopBegan = m_fleet.now();
    m_checker.onStop(*busiest, m_fleet.now(), m_options.grace);
    drawAloneSpell(*busiest);
    checkStop(*busiest, stopped.process);
}

/// As EntryNode does.
void RequestFleet::checkStop(const HostId& host, unsigned process)
{
    Host& state = m_hosts.at(host);
    if (state.process != process || !m_fleet.isUp(host))
        return;
    const PlannedStop stop(m_options.grace);
    const Duration elapsed = m_fleet.now() - *state.stopBegan;
    const bool isIdle = elapsed >= minLameDuckTime && requestsOf(host).empty();
    if (isIdle || elapsed >= stop.drainAfter())
        state.isDraining = true;
    if (elapsed >= stop.abortAfter() - abortLead())
        abortRequests(host, TerminationCause::StopAbort);
    if (elapsed >= stop.exitAfter() || (state.isDraining && requestsOf(host).empty()))
        return exitProcess(host);
    m_fleet.schedule(stopPollInterval, [this, host, process] { checkStop(host, process); });
}

void RequestFleet::abortRequests(const HostId& host, TerminationCause cause)
{
    for (const RequestNumber id : requestsOf(host)) {
        LiveRequest& request = m_requests.at(id);
        bool isEnded = true;
        for (unsigned number = 1; number <= request.attempts.size(); ++number) {
            const LiveAttempt& attempt = request.attempts[number - 1];
            if (attempt.isOver)
                continue;
            isEnded = terminate(request, number, cause, 0) && isEnded;
            m_fleet.end(host, attempt.dispatch, PlacementReport {});
        }
        if (isEnded)
            respond(request, 0);
    }
}

Duration RequestFleet::abortLead() const
{
    return m_options.fault == PromiseFault::AbortsEarly ? abortedEarlyBy : Duration::zero();
}

void RequestFleet::exitProcess(const HostId& host)
{
    abortRequests(host, TerminationCause::StopExit);
    m_fleet.kill(host);
    m_fleet.schedule(restartDelay, [this, host] { startProcess(host); });
}

void RequestFleet::startProcess(const HostId& host)
{
    Host& state = m_hosts.at(host);
    ++state.process;
    state.stopBegan.reset();
    state.isDraining = false;
    state.splitters.clear();
    m_checker.onStart(host);
    m_fleet.startEntry(host, dataCentreOf(state.number), regionOf(state.number));
}

/// PromiseFault::ShortensDeadlines and EndsWithLeader.
void RequestFleet::watchHosts()
{
    m_fleet.schedule(watchInterval, [this] { watchHosts(); });
    for (const auto& [host, state] : m_hosts) {
        if (!m_fleet.isUp(host))
            continue;
        const ControllerClient& client = m_fleet.client(host);
        const Seen seen
            = std::exchange(m_seen[host], Seen { client.config().number, client.hasLeader() });
        if (m_options.fault == PromiseFault::ShortensDeadlines && seen.config
            && seen.config < client.config().number)
            shortenDeadlines(host);
        if (m_options.fault == PromiseFault::EndsWithLeader && seen.hasLeader
            && !client.hasLeader()) {
            for (const RequestNumber id : requestsOf(host))
                giveUp(id, std::nullopt);
        }
    }
}

void RequestFleet::shortenDeadlines(const HostId& host)
{
    for (const RequestNumber id : requestsOf(host)) {
        LiveRequest& request = m_requests.at(id);
        const TimePoint deadline = request.read + routeTimeout(host, '/' + request.plan.route);
        if (deadline >= request.deadline)
            continue;
        request.deadline = std::max(deadline, m_fleet.now());
        m_fleet.schedule(request.deadline - m_fleet.now(), [this, id] { onDeadline(id); });
    }
}

} // namespace laburnum::fakes
