#include "request_handler_pvt.h"

#include <xxhash.h>

#include <laburnumroute/host_name.h>

#include "attempt_log_pvt.h"
#include "claim_wait_pvt.h"
#include "http_status_pvt.h"
#include "request_validation_pvt.h"

namespace laburnum::pvt {

namespace {

    /// Number of leading body bytes that enter the fingerprint of a request with an idempotency
    /// key.
    constexpr std::size_t fingerprintedBytes = std::size_t { 48 } * 1024;

    AttemptResult attemptResult(const AttemptOutcome& outcome)
    {
        switch (outcome.end) {
        case AttemptEnd::Completed:
            return outcome.status < statusServerError ? AttemptResult::Succeeded
                                                      : AttemptResult::Failed;
        case AttemptEnd::NotConnected:
            return AttemptResult::NotConnected;
        case AttemptEnd::Shed:
            return AttemptResult::Shed;
        case AttemptEnd::TimedOut:
        case AttemptEnd::Abandoned:
            return AttemptResult::TimedOut;
        case AttemptEnd::CallerSlow:
        case AttemptEnd::CallerMalformed:
        case AttemptEnd::CallerDisconnected:
            return AttemptResult::CallerFault;
        case AttemptEnd::NoResponse:
        case AttemptEnd::BadResponse:
        case AttemptEnd::Truncated:
        case AttemptEnd::ServerError:
        case AttemptEnd::Buffered:
            return AttemptResult::Failed;
        }
        return AttemptResult::Failed;
    }

    /// The response for a failed attempt of which nothing was sent to the caller.
    LocalResponse responseFor(const AttemptOutcome& outcome)
    {
        const RequestOutcome unknown = RequestOutcome::Unknown;
        switch (outcome.end) {
        case AttemptEnd::NotConnected:
            return { statusUnavailable, RequestOutcome::NotRun, reasons::notConnected };
        case AttemptEnd::Shed: {
            LocalResponse response { statusUnavailable, RequestOutcome::NotRun, reasons::shed };
            if (!outcome.retryAfter.empty())
                response.retryAfter = outcome.retryAfter;
            return response;
        }
        case AttemptEnd::TimedOut:
            return { statusGatewayTimeout, unknown, reasons::deadline };
        case AttemptEnd::CallerSlow:
            return { statusRequestTimeout, unknown, reasons::slowBody };
        case AttemptEnd::CallerMalformed:
            return { statusBadRequest, unknown, reasons::malformedBody };
        case AttemptEnd::BadResponse:
            return { statusBadGateway, unknown, reasons::badAnswer };
        default:
            return { statusBadGateway, unknown, reasons::noAnswer };
        }
    }

    SteadyTime::duration toSteady(Duration d)
    {
        return std::chrono::duration_cast<SteadyTime::duration>(d);
    }

} // namespace

RequestHandler::RequestHandler(
    EntryContext& entry, HttpStream& caller, Watchdog& watchdog, RequestCut& cut, HttpHead request)
    : m_entry(entry)
    , m_stream(caller)
    , m_request(std::move(request))
    , m_body(caller, entry.options.replayBytes, entry.buffers)
    , m_context { entry, caller, m_body, watchdog, m_request, std::chrono::steady_clock::now(), {} }
{
    m_context.cut = &cut;
    m_context.retryable = isIdempotentMethod(m_request.method);
}

asio::awaitable<bool> RequestHandler::run()
{
    if (const auto valid = validateRequest(m_request); !valid) {
        m_request.keepAlive = false;
        co_await respond(malformedRequestResponse(valid.error()));
        co_return false;
    }
    auto assigned = co_await assignFirst();
    if (!assigned) {
        co_await respond(refusalResponse(assigned.error()));
        co_return m_keepAlive;
    }
    m_service = assigned->service;
    const Duration limit = timeLimit(m_request, m_entry.options.names, assigned->deadline);
    m_context.deadline = m_context.arrival + toSteady(limit);
    if (needsClaim()) {
        const auto verdict = co_await acquireClaim(assigned->service);
        if (verdict == ClaimResult::Answered) {
            releaseAttempt(*assigned, { AttemptResult::CallerFault });
            co_return m_keepAlive;
        }
    }
    co_return co_await runAttempts(std::move(*assigned));
}

asio::awaitable<bool> RequestHandler::runAttempts(Assignment assigned)
{
    AttemptOutcome outcome;
    while (true) {
        m_context.replacesServerError = [this, &assigned] { return replaceAfterError(assigned); };
        Exchange exchange(m_context, assigned);
        outcome = co_await exchange.run();
        recordAttempt(assigned, outcome);
        if (m_replacement) {
            ++m_retries;
            assigned = std::move(*m_replacement);
            m_replacement.reset();
            m_body.rewind();
            continue;
        }
        if (!mayRetry(outcome))
            break;
        m_tried.insert(assigned.instance);
        auto another = assign();
        if (!another)
            break;
        ++m_retries;
        assigned = std::move(*another);
        m_body.rewind();
    }
    finishClaim(outcome);
    co_return co_await finishRequest(outcome);
}

RequestHandler::Assigned RequestHandler::assign()
{
    const RequestAttributes facts = attributesOf(m_request);
    return m_entry.sharedDispatcher->with([&](Dispatcher& dispatcher, TimePoint now) {
        return dispatcher.begin(facts, m_tried, now);
    });
}

tl::expected<WaiterId, RefusalReason> RequestHandler::enqueue(Duration limit)
{
    const RequestAttributes facts = attributesOf(m_request);
    return m_entry.sharedDispatcher->with([&](Dispatcher& dispatcher, TimePoint now) {
        return dispatcher.enqueue(facts, now + limit, now);
    });
}

asio::awaitable<RequestHandler::Assigned> RequestHandler::assignFirst()
{
    const Duration limit = std::min(m_entry.options.slotWaitTimeout,
        callerDeadline(m_request, m_entry.options.names).value_or(Duration::max()));
    const SteadyTime until = m_context.arrival + toSteady(limit);
    auto assigned = assign();
    while (!assigned && assigned.error() == RefusalReason::NoSlot) {
        const SteadyTime before = std::chrono::steady_clock::now();
        const auto waiter = enqueue(std::max<Duration>(until - before, Duration::zero()));
        if (!waiter)
            co_return tl::unexpected<RefusalReason>(waiter.error());
        const auto strand = m_stream.socket().get_executor();
        m_stream.watchPeer([this, id = *waiter] { m_entry.waiters.cancel(id); });
        const bool woken = co_await m_entry.waiters.wait(*waiter, strand, until);
        m_stream.unwatchPeer();
        m_waitTime += std::chrono::steady_clock::now() - before;
        if (!woken) {
            m_entry.sharedDispatcher->with(
                [&](Dispatcher& dispatcher, TimePoint) { dispatcher.abandon(*waiter); });
            break;
        }
        assigned = assign();
    }
    co_return assigned;
}

void RequestHandler::recordAttempt(const Assignment& assigned, const AttemptOutcome& outcome)
{
    if (outcome.cause) {
        m_entry.metrics.countTermination(*outcome.cause);
        const bool instanceFailed
            = terminationRule(*outcome.cause).party == TerminationParty::Instance;
        if (instanceFailed && m_entry.log != nullptr)
            m_entry.log->record(attemptDecision(m_context, assigned, outcome));
    }
    m_mayHaveRun = m_mayHaveRun || outcome.mayHaveRun;
    m_waitTime += outcome.instanceWait;
    m_responseBytes += outcome.responseBytes;
    releaseAttempt(assigned,
        { attemptResult(outcome), outcome.status, outcome.latency,
            m_body.bytes() + outcome.responseBytes });
}

void RequestHandler::releaseAttempt(const Assignment& assigned, const AttemptReport& report)
{
    const auto waiters = m_entry.sharedDispatcher->with([&](Dispatcher& dispatcher, TimePoint now) {
        return dispatcher.finish(assigned.attempt, report, now);
    });
    m_entry.waiters.wake(waiters);
}

bool RequestHandler::mayRetry(const AttemptOutcome& outcome)
{
    const bool nothingSent = outcome.end <= AttemptEnd::BadResponse;
    const bool mayRunAgain = isIdempotentMethod(m_request.method) || !m_mayHaveRun;
    return nothingSent && mayRunAgain && takeRetry();
}

bool RequestHandler::takeRetry()
{
    return m_body.replayable() && std::chrono::steady_clock::now() < m_context.deadline
        && m_entry.sharedDispatcher->with([&](Dispatcher& dispatcher, TimePoint now) {
               return dispatcher.takeRetry(m_service, now);
           });
}

bool RequestHandler::replaceAfterError(const Assignment& failed)
{
    if (!isIdempotentMethod(m_request.method) || !takeRetry())
        return false;
    m_tried.insert(failed.instance);
    auto another = assign();
    if (another)
        m_replacement = std::move(*another);
    return m_replacement.has_value();
}

asio::awaitable<bool> RequestHandler::finishRequest(const AttemptOutcome& outcome)
{
    if (outcome.end == AttemptEnd::Completed) {
        recordMetrics(RequestOutcome::Answered, outcome.status);
        co_return outcome.keepAlive;
    }
    if (outcome.end == AttemptEnd::Truncated || outcome.end == AttemptEnd::CallerDisconnected) {
        recordMetrics(RequestOutcome::Unknown, 0);
        m_stream.close();
        co_return false;
    }
    LocalResponse result = responseFor(outcome);
    if (m_mayHaveRun && result.outcome == RequestOutcome::NotRun)
        result = { statusBadGateway, RequestOutcome::Unknown, reasons::noAnswer };
    co_await respond(std::move(result));
    co_return m_keepAlive;
}

ResponseContext RequestHandler::responseContext() const
{
    return { m_request.method == "HEAD", m_request.versionMinor, m_keepAlive };
}

asio::awaitable<void> RequestHandler::respond(LocalResponse response)
{
    m_keepAlive = m_request.keepAlive && m_body.complete() && !m_entry.closesConnections();
    co_await m_stream.write(renderLocalResponse(response, responseContext()));
    recordMetrics(response.outcome, response.status);
}

void RequestHandler::recordMetrics(RequestOutcome outcome, unsigned status)
{
    RequestSample sample { m_service, outcome, status, m_retries };
    sample.latency = std::chrono::steady_clock::now() - m_context.arrival;
    sample.added = std::max(sample.latency - m_waitTime, Duration::zero());
    sample.bytes = m_body.bytes() + m_responseBytes;
    m_entry.metrics.record(sample);
}

bool RequestHandler::needsClaim() const
{
    return m_entry.claims != nullptr && !isIdempotentMethod(m_request.method)
        && !m_request.field("idempotency-key").empty();
}

std::string RequestHandler::fingerprint() const
{
    const std::string length
        = m_request.contentLength ? std::to_string(*m_request.contentLength) : "-";
    const std::string host = formatHostName(parseHostName(m_request.field("host")));
    const std::string text = m_request.method + '\n' + host + '\n' + m_request.target + '\n'
        + length + '\n' + m_body.buffered().substr(0, fingerprintedBytes);
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    std::array<char, 33> digits {};
    std::snprintf(digits.data(), digits.size(), "%016llx%016llx",
        static_cast<unsigned long long>(hash.high64), static_cast<unsigned long long>(hash.low64));
    return digits.data();
}

asio::awaitable<bool> RequestHandler::readFingerprintedBody()
{
    if (expectsContinue(m_request) && m_body.bytes() == 0 && !m_body.complete()) {
        m_context.continueSent = true;
        co_await m_stream.write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    m_context.watchdog.watch(m_context.deadline, [this] { m_stream.cancel(); });
    const auto body = co_await m_body.readAhead(fingerprintedBytes);
    m_context.watchdog.clear();
    if (body)
        co_return true;
    const bool malformed = body.error().code != ErrorCode::Closed;
    m_request.keepAlive = false;
    LocalResponse refusal { statusRequestTimeout, RequestOutcome::NotRun, reasons::slowBody };
    if (malformed)
        refusal = { statusBadRequest, RequestOutcome::NotRun, reasons::malformedBody };
    co_await respond(std::move(refusal));
    co_return false;
}

asio::awaitable<ClaimDecision> RequestHandler::requestClaim(const ServiceId& service)
{
    const SteadyTime before = std::chrono::steady_clock::now();
    ClaimSpec spec;
    spec.key = { service, IdempotencyKey(std::string(m_request.field("idempotency-key"))) };
    spec.fingerprint = fingerprint();
    // The deadline applies to the start of the response; its body may take longer.
    spec.deadline = std::max<Duration>(m_context.deadline - before, Duration::zero())
        + m_entry.options.bodyIdleTimeout;
    auto wait = std::make_shared<ClaimWaiter>(m_stream.socket().get_executor(), *m_entry.claims);
    wait->submit(spec);
    auto decision = co_await wait->awaitDecision(m_context.deadline);
    m_waitTime += std::chrono::steady_clock::now() - before;
    co_return std::move(decision).value_or(ClaimDecision {});
}

asio::awaitable<RequestHandler::ClaimResult> RequestHandler::acquireClaim(const ServiceId& service)
{
    if (!co_await readFingerprintedBody())
        co_return ClaimResult::Answered;
    const ClaimDecision decision = co_await requestClaim(service);
    if (decision.verdict == ClaimVerdict::Run) {
        m_claim = decision.claim;
        m_context.captureResponse = true;
        co_return ClaimResult::Run;
    }
    co_await respondToClaim(decision);
    co_return ClaimResult::Answered;
}

asio::awaitable<void> RequestHandler::respondToClaim(const ClaimDecision& decision)
{
    const bool replays = decision.verdict == ClaimVerdict::Replay;
    if (replays && isFinalStatus(decision.answer.status)) {
        m_keepAlive = m_request.keepAlive && m_body.complete() && !m_entry.closesConnections();
        co_await m_stream.write(renderReplay(decision.answer, responseContext()));
        recordMetrics(RequestOutcome::Answered, decision.answer.status);
        co_return;
    }
    const RequestOutcome unknown = RequestOutcome::Unknown;
    LocalResponse refusal { statusUnavailable, RequestOutcome::NotRun, reasons::claimsUnreachable };
    if (decision.verdict == ClaimVerdict::InProgress)
        refusal = { statusConflict, unknown, reasons::inProgress };
    else if (decision.verdict == ClaimVerdict::Unknown)
        refusal = { statusConflict, unknown, reasons::claimUnknown };
    else if (replays || decision.verdict == ClaimVerdict::ResponseNotStored)
        refusal = { statusConflict, unknown, reasons::answeredWithoutCopy };
    else if (decision.verdict == ClaimVerdict::Mismatch)
        refusal = { statusConflict, RequestOutcome::NotRun, reasons::keyReused };
    co_await respond(std::move(refusal));
}

void RequestHandler::finishClaim(const AttemptOutcome& outcome)
{
    if (!m_claim)
        return;
    ClaimOutcome end = ClaimOutcome::Unknown;
    if (!m_mayHaveRun)
        end = ClaimOutcome::NotRun;
    else if (outcome.captured || outcome.end == AttemptEnd::Completed)
        end = ClaimOutcome::Answered;
    m_entry.claims->finish(*m_claim, end, outcome.captured ? &*outcome.captured : nullptr);
}

asio::awaitable<bool> serveWithDispatcher(
    EntryContext& entry, HttpStream& caller, Watchdog& watchdog, RequestCut& cut, HttpHead request)
{
    RequestHandler handler(entry, caller, watchdog, cut, std::move(request));
    co_return co_await handler.run();
}

} // namespace laburnum::pvt
