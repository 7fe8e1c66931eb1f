#include "exchange_pvt.h"

#include <algorithm>
#include <charconv>

#include "asio_endpoint_pvt.h"
#include "http_status_pvt.h"
#include "rate_limit_field_pvt.h"
#include "request_validation_pvt.h"

namespace laburnum::pvt {

namespace {

    using asio::ip::tcp;

    /// Limit on the bytes of an attempt that are not part of its instance's response: interim
    /// heads, responses to other requests, error responses that no instance generated.
    constexpr std::size_t maxUnattributedBytes = std::size_t { 256 } * 1024;

    /// Send buffer of a streamed response that the budget has no room for.
    constexpr int smallSendBufferBytes = 16 * 1024;

    SteadyTime steadyNow() { return std::chrono::steady_clock::now(); }

    SteadyTime deadlineAfter(Duration d)
    {
        return steadyNow() + std::chrono::duration_cast<std::chrono::steady_clock::duration>(d);
    }

    /// A longer Retry-After is taken as this.
    constexpr auto maxPause = std::chrono::hours(24);

    /// Zero unless `text` is a number of seconds, which may have a fraction.
    Duration parseRetryAfter(std::string_view text)
    {
        double seconds = 0.0;
        const auto [end, code] = std::from_chars(
            text.data(), text.data() + text.size(), seconds, std::chars_format::fixed);
        if (code != std::errc() || end != text.data() + text.size() || !(seconds > 0.0))
            return {};
        const std::chrono::duration<double> pause(
            std::min(seconds, std::chrono::duration<double>(maxPause).count()));
        return std::chrono::duration_cast<Duration>(pause);
    }

    void eraseFields(std::vector<HeaderField>& fields, std::string_view name)
    {
        std::erase_if(
            fields, [&](const HeaderField& field) { return equalsIgnoreCase(field.name, name); });
    }

    /// Statuses that indicate a failure of the instance that another one may not have.
    bool isServerFailure(unsigned status)
    {
        constexpr unsigned internalError = 500;
        constexpr unsigned badGateway = 502;
        constexpr unsigned unavailable = 503;
        constexpr unsigned gatewayTimeout = 504;
        return status == internalError || status == badGateway || status == unavailable
            || status == gatewayTimeout;
    }

} // namespace

Exchange::Exchange(CallerContext& caller, const Assignment& assigned)
    : m_caller(caller)
    , m_assigned(assigned)
    , m_share(caller.entry.buffers)
    , m_start(steadyNow())
{
}

asio::awaitable<AttemptOutcome> Exchange::run()
{
    bool mayReuse = true;
    while (true) {
        watchCaller();
        bool connected = false;
        if (!m_abandonedAs)
            connected = co_await connect(mayReuse);
        if (!connected || callerDisconnected()) {
            m_caller.stream.unwatchPeer();
            if (connected)
                m_upstream->close();
            m_outcome.end = callerDisconnected() ? AttemptEnd::CallerDisconnected
                                                 : m_abandonedAs.value_or(AttemptEnd::NotConnected);
            break;
        }
        co_await sendRequest();
        co_await relayResponse();
        co_await releaseConnection();
        // An instance may close an idle connection just as it is reused. With fleet placement,
        // retries are budgeted by the scheduler, so the retry is left to the caller of run().
        const bool stale = m_reused && m_caller.entry.placementProvider == nullptr
            && m_caller.retryable && m_outcome.end == AttemptEnd::NoResponse
            && !m_upstream->messageStarted() && m_caller.body.replayable();
        if (!stale)
            break;
        m_caller.body.rewind();
        m_outcome.cause.reset();
        m_outcome.error.clear();
        mayReuse = false;
    }
    m_outcome.latency = m_outcome.status != 0 ? m_outcome.latency : Duration(steadyNow() - m_start);
    co_return std::move(m_outcome);
}

bool Exchange::abandon(const TerminationStep& step)
{
    const bool callerLeft = step.cause == TerminationCause::CallerDisconnected;
    if (m_upstream) {
        TerminationState state;
        state.otherStatus = step.otherStatus;
        state.handlingFailed = step.cause == TerminationCause::InternalError;
        const bool permitted = callerLeft ? terminateForCaller() : terminate(step.cause, state);
        if (!permitted)
            return false;
    }
    m_abandonedAs = callerLeft ? AttemptEnd::CallerDisconnected : AttemptEnd::Abandoned;
    if (!m_upstream)
        m_caller.watchdog.expire();
    return true;
}

bool Exchange::terminate(TerminationCause cause, TerminationState state)
{
    const bool isAtWork = m_outcome.mayHaveRun && !m_responseComplete;
    if (isAtWork) {
        const SteadyTime limit = m_streaming ? m_caller.responseDeadline : m_caller.deadline;
        state.now = steadyNow() - m_caller.arrival;
        state.deadline = limit == SteadyTime::max() ? maxDuration : limit - m_caller.arrival;
        state.idleLimit = m_caller.entry.options.bodyIdleTimeout;
        state.ownStatus = m_outcome.status;
        if (!mayTerminate(cause, state)) {
            recordRefusedTermination(cause);
            return false;
        }
        if (!m_outcome.cause)
            m_outcome.cause = cause;
    }
    m_upstream->close();
    return true;
}

bool Exchange::terminateForCaller()
{
    if (m_caller.cut != nullptr && m_caller.cut->cause)
        return terminate(*m_caller.cut->cause, m_caller.cut->state);
    TerminationState state;
    state.callerClosed = true;
    return terminate(TerminationCause::CallerDisconnected, state);
}

void Exchange::recordRefusedTermination(TerminationCause cause) const
{
    m_caller.entry.metrics.countRefusedTermination(cause);
    if (m_caller.entry.log == nullptr)
        return;
    Decision decision { "attempt", "termination-refused" };
    decision.alwaysLog = true;
    decision.facts["id"]
        = std::string(m_caller.request.field(m_caller.entry.options.names.requestId));
    decision.facts["instance"] = m_assigned.instance.value();
    decision.facts["cause"] = terminationCauseName(cause);
    m_caller.entry.log->record(decision);
}

bool Exchange::sent() const
{
    return m_uploader ? m_uploader->phase() == Uploader::Phase::Sent
                      : m_outcome.mayHaveRun && m_caller.body.finished();
}

asio::awaitable<bool> Exchange::connect(bool mayReuse)
{
    m_uploader = nullptr;
    m_reused = false;
    if (mayReuse) {
        const auto& options = m_caller.entry.options;
        m_upstream = m_caller.entry.pool.take(m_assigned.instance,
            m_caller.retryable ? options.upstreamIdleTimeout : options.unsafeReuseTimeout);
        m_reused = m_upstream != nullptr;
        if (m_reused)
            co_return true;
    }
    const auto endpoint = toAsio(m_assigned.endpoint);
    if (!endpoint)
        co_return false;
    auto socket = std::make_shared<tcp::socket>(m_caller.entry.io);
    std::error_code openFailed;
    socket->open(endpoint->protocol(), openFailed);
    if (openFailed)
        co_return false;
    const EntryOptions& options = m_caller.entry.options;
    setSocketBuffers(*socket, options.receiveBufferBytes, options.sendBufferBytes);
    const auto limit
        = std::min(m_caller.deadline, deadlineAfter(m_caller.entry.options.connectTimeout));
    m_caller.watchdog.watch(limit, [socket] {
        std::error_code ignored;
        socket->close(ignored);
    });
    m_connecting = socket;
    const auto begin = steadyNow();
    const auto [code] = co_await socket->async_connect(*endpoint, useTuple);
    m_connecting = nullptr;
    m_caller.watchdog.clear();
    m_outcome.connectionRefused = code == asio::error::connection_refused;
    if (code || !socket->is_open())
        co_return false;
    m_outcome.connectTime = steadyNow() - begin;
    m_upstream = std::make_shared<HttpStream>(std::move(*socket), MessageKind::Response);
    co_return true;
}

std::string Exchange::renderRequest()
{
    const HttpHead& request = m_caller.request;
    auto fields = endToEndFields(request);
    // This host sends `100 Continue` itself, so that the caller does not wait for an instance that
    // ignores the expectation.
    if (expectsContinue(request))
        eraseFields(fields, "expect");
    if (request.versionMinor == 0 && request.field("host").empty()) {
        eraseFields(fields, "host");
        fields.insert(fields.begin(), { "Host", formatEndpoint(m_assigned.endpoint) });
    }
    if (request.chunked)
        fields.push_back({ "Transfer-Encoding", "chunked" });
    const HeaderNames& names = m_caller.entry.options.names;
    const auto remaining = std::max(m_caller.deadline - steadyNow(), SteadyTime::duration::zero());
    eraseFields(fields, names.deadline);
    fields.push_back({ names.deadline, std::to_string(toMillis(remaining)) });
    if (!names.expectedInstance.empty()) {
        eraseFields(fields, names.expectedInstance);
        fields.push_back({ names.expectedInstance, m_assigned.instance.value() });
    }
    if (m_caller.removesAccountFields)
        setAccountFields(fields);
    return renderRequestHead(request, fields);
}

void Exchange::setAccountFields(std::vector<HeaderField>& fields) const
{
    const HeaderNames& names = m_caller.entry.options.names;
    eraseFields(fields, names.accountKey);
    eraseFields(fields, names.account);
    if (!m_caller.account.empty() && !names.account.empty())
        fields.push_back({ names.account, m_caller.account });
}

asio::awaitable<void> Exchange::sendRequest()
{
    m_outcome.mayHaveRun = true;
    m_upstream->setExpectNoBody(m_caller.request.method == "HEAD");
    m_upstream->setReadLimit(maxUnattributedBytes);
    armDeadline();
    const auto framing = m_caller.request.chunked ? BodyFraming::Chunked : BodyFraming::Identity;
    std::string bytes = renderRequest();
    bytes += frameBodyPart(framing, m_caller.body.takeBuffered());
    const bool complete = m_caller.body.finished();
    if (complete)
        bytes += frameBodyEnd(framing, m_caller.body.trailers());
    BufferShare sending(m_caller.entry.buffers);
    sending.set(bytes.size());
    // A failed write is ignored: the instance may have responded before it closed the connection.
    co_await m_upstream->write(std::move(bytes));
    sending.set(0);
    if (complete)
        co_return;
    if (expectsContinue(m_caller.request) && !m_caller.continueSent && m_caller.body.bytes() == 0) {
        m_caller.continueSent = true;
        co_await writeInterim("HTTP/1.1 100 Continue\r\n\r\n");
    }
    startUpload(framing);
}

void Exchange::startUpload(BodyFraming framing)
{
    BufferShare share(m_caller.entry.buffers);
    share.set(BufferBudget::freeShareBytes + m_caller.entry.kernelBytes());
    m_uploader = std::make_shared<Uploader>(
        m_caller.stream, m_caller.body, m_upstream, framing, std::move(share));
    m_uploader->start(
        [this] {
            if (m_streaming)
                armIdleTimeout();
        },
        [this] {
            if (m_uploader->phase() != Uploader::Phase::CallerFailed)
                return;
            TerminationState state;
            state.callerMalformed = m_uploader->callerError()->code != ErrorCode::Closed;
            if (state.callerMalformed)
                terminate(TerminationCause::CallerMalformed, state);
            else
                terminateForCaller();
        });
}

void Exchange::armDeadline()
{
    m_caller.watchdog.watch(m_caller.deadline, [this] {
        if (terminate(TerminationCause::Deadline, {}))
            m_timedOut = true;
        else
            armDeadline();
    });
}

void Exchange::armIdleTimeout()
{
    m_bytesAtProgress = m_upstream->bytesRead();
    m_lastProgress = steadyNow();
    const SteadyTime limit = std::min(
        m_caller.responseDeadline, deadlineAfter(m_caller.entry.options.bodyIdleTimeout));
    m_caller.watchdog.watch(limit, [this] { endIdle(); });
}

void Exchange::endIdle()
{
    const bool writerWaits = m_writer && m_writer->waitsForCaller();
    TerminationState state;
    state.idle = steadyNow() - m_lastProgress;
    // One that sends bytes without end, none of them of the body, is not silent.
    state.isSilent = m_upstream->bytesRead() == m_bytesAtProgress;
    state.waitsForCaller = writerWaits || m_upstream->messageComplete()
        || (m_uploader && m_uploader->phase() == Uploader::Phase::ReadingCaller);
    const bool hasDeadline = m_caller.responseDeadline != SteadyTime::max();
    TerminationCause cause = TerminationCause::InstanceStalled;
    if (steadyNow() >= m_caller.responseDeadline)
        cause = TerminationCause::Deadline;
    else if (state.waitsForCaller)
        cause = TerminationCause::CallerStalled;
    else if (hasDeadline && state.isSilent)
        return armIdleTimeout();
    if (!terminate(cause, state))
        return armIdleTimeout();
    m_timedOut = true;
    m_callerStalled = writerWaits;
    m_caller.stream.reset();
}

void Exchange::watchCaller()
{
    m_caller.stream.watchPeer([this] {
        m_callerDisconnected = true;
        std::error_code ignored;
        if (m_connecting)
            m_connecting->close(ignored);
        if (m_upstream)
            terminateForCaller();
        if (m_caller.onCallerDisconnect)
            m_caller.onCallerDisconnect();
    });
}

bool Exchange::callerDisconnected()
{
    m_callerDisconnected = m_callerDisconnected || m_caller.stream.peerClosed();
    return m_callerDisconnected;
}

AttemptEnd Exchange::endForError(const Error& error)
{
    if (m_callerDisconnected)
        return AttemptEnd::CallerDisconnected;
    if (m_abandonedAs)
        return *m_abandonedAs;
    if (m_uploader && m_uploader->phase() == Uploader::Phase::CallerFailed)
        return m_uploader->callerError()->code == ErrorCode::Closed ? AttemptEnd::CallerDisconnected
                                                                    : AttemptEnd::CallerMalformed;
    if (m_timedOut) {
        const bool callerSlow = m_uploader && m_uploader->phase() == Uploader::Phase::ReadingCaller;
        return callerSlow ? AttemptEnd::CallerSlow : AttemptEnd::TimedOut;
    }
    m_outcome.error = error.message;
    TerminationState state;
    if (error.code == ErrorCode::Closed) {
        state.connectionClosed = true;
        terminate(TerminationCause::ConnectionLost, state);
        return AttemptEnd::NoResponse;
    }
    state.tooLong = error.code == ErrorCode::TooLarge;
    state.notHttp = !state.tooLong;
    terminate(state.tooLong ? TerminationCause::TooLong : TerminationCause::NotHttp, state);
    return AttemptEnd::BadResponse;
}

asio::awaitable<Expected<HttpHead>> Exchange::readFinalHead()
{
    while (true) {
        auto head = co_await m_upstream->readHead();
        if (!head)
            co_return head;
        if (head->status >= statusOk && !belongsToOtherRequest(*head))
            co_return head;
        if (head->status >= statusOk) {
            const auto skipped = co_await discardResponse();
            if (!skipped)
                co_return tl::unexpected<Error>(skipped.error());
            continue;
        }
        if (head->status == statusSwitchingProtocols)
            co_return fail(ErrorCode::InvalidArgument, "unexpected 101 Switching Protocols");
        if (head->status == statusContinue || m_caller.request.versionMinor == 0
            || !m_caller.forwardsInterim)
            continue;
        co_await writeInterim(renderResponseHead(*head, endToEndFields(*head)));
    }
}

/// A caller that does not read the interim head cannot delay the attempt beyond its deadline.
asio::awaitable<void> Exchange::writeInterim(std::string bytes)
{
    m_caller.watchdog.watch(m_caller.deadline, [this] {
        if (!terminate(TerminationCause::Deadline, {}))
            return;
        m_callerDisconnected = true;
        m_caller.stream.reset();
    });
    co_await m_caller.stream.write(std::move(bytes));
    armDeadline();
}

/// Instances repeat the request id in their responses. One with another id is a late response to an
/// earlier request. So is one without id on a connection that has carried others.
bool Exchange::belongsToOtherRequest(const HttpHead& head) const
{
    const std::string& name = m_caller.entry.options.names.requestId;
    if (name.empty())
        return false;
    const std::string_view own = m_caller.request.field(name);
    const std::string_view named = head.field(name);
    return named.empty() ? m_reused && !own.empty() : named != own;
}

asio::awaitable<Expected<void>> Exchange::discardResponse()
{
    while (!m_upstream->messageComplete()) {
        const auto part = co_await m_upstream->readBodyPart();
        if (!part)
            co_return tl::unexpected<Error>(part.error());
    }
    m_upstream->takeBufferedBody();
    co_return Expected<void> {};
}

bool Exchange::provesNotRun(const HttpHead& head) const
{
    const HeaderNames& names = m_caller.entry.options.names;
    return head.field(outcomeHeader) == outcomeName(RequestOutcome::NotRun)
        || (!names.notRun.empty() && !head.field(names.notRun).empty());
}

void Exchange::recordResponseHead(const HttpHead& head)
{
    m_outcome.status = head.status;
    m_outcome.latency = steadyNow() - m_start;
    m_upstreamKeepAlive = head.keepAlive;
    // Format: "RUNNING,WAITING,SLOTS".
    const std::string_view load = head.field(m_caller.entry.options.names.load);
    unsigned running = 0;
    unsigned waiting = 0;
    const auto first = std::from_chars(load.data(), load.data() + load.size(), running);
    if (load.empty() || first.ec != std::errc())
        return;
    if (first.ptr != load.data() + load.size())
        std::from_chars(first.ptr + 1, load.data() + load.size(), waiting);
    m_outcome.reportedLoad = static_cast<std::int32_t>(running + waiting);
}

void Exchange::recordClosure(const HttpHead& head)
{
    const std::string& leaving = m_caller.entry.options.names.leaving;
    m_outcome.isLeaving = !leaving.empty() && head.field(leaving) == "1";
    if (head.status == statusUnavailable && isFromInstance(head))
        m_outcome.pause = parseRetryAfter(head.field("retry-after"));
}

bool Exchange::isFromInstance(const HttpHead& head) const
{
    const std::string& responseStamp = m_caller.entry.options.names.responseStamp;
    return provesNotRun(head) || (!responseStamp.empty() && !head.field(responseStamp).empty());
}

void Exchange::reportRateLimit(const HttpHead& head) const
{
    const std::string& name = m_caller.entry.options.names.rateLimit;
    // A 421 comes from another instance.
    if (name.empty() || m_caller.entry.placementProvider == nullptr
        || head.status == statusMisdirected || !isFromInstance(head))
        return;
    const RateLimitField field = readRateLimitField(head, name);
    if (field.isUnreadable) {
        m_caller.entry.metrics.countUnreadableRateLimit();
        if (m_caller.entry.log != nullptr)
            m_caller.entry.log->record(unreadableRateLimit(head, name, m_assigned.instance));
        return;
    }
    // An instance that declines a request may be too busy to say more.
    if (!field.perSecond && provesNotRun(head))
        return;
    m_caller.entry.placementProvider->reportRateLimit(
        DispatchId(static_cast<std::uint32_t>(m_assigned.attempt.value())), field.perSecond,
        steadyNow() - m_start);
}

/// Reads a short response completely before anything is sent to the caller.
asio::awaitable<void> Exchange::bufferResponse(HttpHead head)
{
    BufferedResponse buffered { std::move(head), m_upstream->takeBufferedBody(),
        std::move(m_share) };
    while (!m_upstream->messageComplete()) {
        const auto part = co_await m_upstream->readBodyPart();
        if (!part) {
            m_outcome.end = endForError(part.error());
            co_return;
        }
        buffered.body += *part;
        buffered.share.set(std::max(buffered.share.bytes(), buffered.body.size()));
    }
    m_responseComplete = true;
    buffered.share.set(buffered.body.size());
    m_outcome.responseBytes += buffered.body.size();
    m_outcome.buffered = std::move(buffered);
    m_outcome.end = AttemptEnd::Buffered;
}

asio::awaitable<void> Exchange::relayResponse()
{
    const SteadyTime sent = steadyNow();
    auto head = co_await readFinalHead();
    m_outcome.instanceWait += steadyNow() - sent;
    if (!head) {
        m_outcome.end = endForError(head.error());
        co_return;
    }
    recordResponseHead(*head);
    recordClosure(*head);
    reportRateLimit(*head);
    if (provesNotRun(*head)) {
        m_outcome.end = AttemptEnd::Shed;
        m_outcome.mayHaveRun = false;
        m_outcome.retryAfter = head->field("retry-after");
        co_return;
    }
    const std::string& responseStamp = m_caller.entry.options.names.responseStamp;
    const bool proven = responseStamp.empty() || !head->field(responseStamp).empty();
    m_outcome.hasStamp = proven;
    if (!proven && head->status < statusMultipleChoices) {
        TerminationState state;
        state.hasStamp = false;
        terminate(TerminationCause::NoStamp, state);
        m_outcome.end = AttemptEnd::BadResponse;
        m_upstreamKeepAlive = false;
        co_return;
    }
    if (proven)
        m_upstream->clearReadLimit();
    if (buffersResponse(*head, proven)) {
        co_await bufferResponse(std::move(*head));
        co_return;
    }
    if (isServerFailure(head->status) && m_caller.replacesServerError
        && m_caller.replacesServerError()) {
        TerminationState state;
        state.replaced = true;
        terminate(TerminationCause::ServerErrorReplaced, state);
        m_outcome.end = AttemptEnd::ServerError;
        m_upstreamKeepAlive = false;
        co_return;
    }
    co_await streamResponse(std::move(*head));
}

/// A response that the budget has no room for is relayed as it arrives. One that no instance
/// stamped is limited by the read limit.
bool Exchange::buffersResponse(const HttpHead& head, bool proven)
{
    if (m_caller.responseBufferBytes == 0)
        return false;
    const std::uint64_t length = head.contentLength.value_or(SIZE_MAX);
    return m_upstream->messageComplete() || !proven
        || (length <= m_caller.responseBufferBytes && m_share.tryGrow(length));
}

BodyFraming Exchange::responseFraming(const HttpHead& head) const
{
    if (m_caller.request.method == "HEAD" || isBodiless(head.status))
        return BodyFraming::None;
    if (head.contentLength || m_caller.request.versionMinor == 0)
        return BodyFraming::Identity;
    return BodyFraming::Chunked;
}

std::vector<HeaderField> Exchange::responseFields(const HttpHead& head, BodyFraming framing) const
{
    auto fields = endToEndFields(head);
    if (head.status == statusNoContent)
        eraseFields(fields, "content-length");
    const bool chunkedHead
        = head.chunked && m_caller.request.method == "HEAD" && m_caller.request.versionMinor > 0;
    if (framing == BodyFraming::Chunked || chunkedHead)
        fields.push_back({ "Transfer-Encoding", "chunked" });
    fields.push_back({ outcomeHeader, outcomeName(RequestOutcome::Answered) });
    return fields;
}

asio::awaitable<void> Exchange::streamResponse(HttpHead head)
{
    if (m_caller.awaitRelayGrant) {
        const bool granted = co_await m_caller.awaitRelayGrant(head.status);
        if (!granted || m_timedOut || m_callerDisconnected) {
            m_outcome.end
                = endForError({ ErrorCode::Closed, "another attempt's response is relayed" });
            co_return;
        }
        // Another attempt that ended in the meantime has removed the watch on the caller.
        if (sent())
            watchCaller();
    }
    const BodyFraming framing = responseFraming(head);
    const bool untilClose = framing == BodyFraming::Identity && !head.contentLength;
    const bool uploaded = m_caller.body.complete();
    m_outcome.keepAlive = m_caller.request.keepAlive && !untilClose && uploaded
        && !m_caller.entry.closesConnections();
    auto fields = responseFields(head, framing);
    if (m_caller.captureResponse) {
        m_outcome.captured = StoredResponse { head.status, endToEndFields(head), {} };
    }
    addConnectionField(fields, { false, m_caller.request.versionMinor, m_outcome.keepAlive });
    m_streaming = true;
    *m_caller.responseStarted = true;
    armIdleTimeout();
    if (m_caller.captureResponse)
        m_caller.stream.unwatchPeer();
    co_await streamBody(renderResponseHead(head, fields), framing);
    if (m_outcome.end == AttemptEnd::Truncated && untilClose)
        m_caller.stream.reset();
}

asio::awaitable<void> Exchange::streamBody(std::string bytes, BodyFraming framing)
{
    m_outcome.end = AttemptEnd::Completed;
    std::string part = m_upstream->takeBufferedBody();
    while (true) {
        const bool last = m_upstream->messageComplete();
        m_responseComplete = last;
        captureBodyPart(part);
        bytes += frameBodyPart(framing, std::move(part));
        if (last)
            bytes += frameBodyEnd(framing, m_upstream->trailers());
        if (m_caller.cut != nullptr)
            m_caller.cut->isResponseRead = last;
        if (m_outcome.end == AttemptEnd::Completed && !bytes.empty()) {
            const bool sent = co_await sendToCaller(std::move(bytes), last);
            if (!sent) {
                m_outcome.end = AttemptEnd::Truncated;
                m_outcome.callerFailed = true;
            }
        }
        // A response that is captured is read to its end even if the caller has disconnected.
        if (last || (m_outcome.end == AttemptEnd::Truncated && !m_outcome.captured)) {
            if (!last && !m_outcome.cause)
                terminateForCaller();
            break;
        }
        // Once the caller has disconnected, the idle timeout is no longer extended, and the rest
        // must arrive within one idle timeout.
        if (m_outcome.end == AttemptEnd::Completed)
            armIdleTimeout();
        const SteadyTime before = steadyNow();
        auto next = co_await m_upstream->readBodyPart();
        m_outcome.instanceWait += steadyNow() - before;
        if (!next) {
            if (!m_outcome.cause)
                endForError(next.error());
            m_outcome.end = AttemptEnd::Truncated;
            m_outcome.callerFailed = m_outcome.callerFailed || callerFailed();
            m_outcome.captured.reset();
            break;
        }
        part = std::move(*next);
        bytes.clear();
    }
    co_await finishWriting();
}

asio::awaitable<bool> Exchange::sendToCaller(std::string bytes, bool last)
{
    const auto progress = [this] { armIdleTimeout(); };
    if (last && !m_writer) {
        const auto sent = co_await m_caller.stream.write(std::move(bytes), progress);
        co_return sent.has_value();
    }
    if (!m_writer)
        startWriter(progress);
    const bool accepted = co_await m_writer->append(std::move(bytes));
    co_return accepted;
}

/// Without room in the budget for its socket buffers, the exchange gets a small send buffer. The
/// receive buffer is full already.
void Exchange::startWriter(std::function<void()> onProgress)
{
    const EntryOptions& options = m_caller.entry.options;
    BufferShare share(m_caller.entry.buffers);
    std::size_t kernelBytes = m_caller.entry.kernelBytes();
    m_smallSendBuffer
        = options.sendBufferBytes > smallSendBufferBytes && !share.tryGrow(kernelBytes);
    if (m_smallSendBuffer) {
        kernelBytes -= static_cast<std::size_t>(options.sendBufferBytes - smallSendBufferBytes);
        setSocketBuffers(m_caller.stream.socket(), 0, smallSendBufferBytes);
    }
    share.set(kernelBytes);
    m_writer = std::make_shared<ResponseWriter>(m_caller.stream, std::move(share), kernelBytes);
    m_writer->start(std::move(onProgress));
}

asio::awaitable<void> Exchange::finishWriting()
{
    if (!m_writer)
        co_return;
    if (m_callerDisconnected || m_timedOut)
        m_writer->abort();
    const bool sent = co_await m_writer->finish();
    m_writer = nullptr;
    if (m_smallSendBuffer)
        setSocketBuffers(m_caller.stream.socket(), 0, m_caller.entry.options.sendBufferBytes);
    if (sent)
        co_return;
    m_outcome.callerFailed = m_outcome.callerFailed || m_callerStalled || !m_timedOut;
    m_outcome.end = AttemptEnd::Truncated;
}

bool Exchange::callerFailed() const
{
    return m_callerDisconnected || m_callerStalled
        || (m_uploader && m_uploader->phase() == Uploader::Phase::CallerFailed);
}

void Exchange::captureBodyPart(const std::string& part)
{
    m_outcome.responseBytes += part.size();
    if (!m_outcome.captured)
        return;
    if (m_outcome.captured->body.size() + part.size() > ClaimClient::maxStoredBodyBytes)
        m_outcome.captured.reset();
    else
        m_outcome.captured->body += part;
}

asio::awaitable<void> Exchange::releaseConnection()
{
    m_caller.stream.unwatchPeer();
    const bool succeeded
        = m_outcome.end == AttemptEnd::Completed || m_outcome.end == AttemptEnd::Buffered;
    if (m_uploader) {
        m_caller.watchdog.clear();
        if (!succeeded)
            m_upstream->close();
        // A buffered response is not delayed by the rest of an upload that the instance did not
        // read.
        const bool lingers = m_outcome.end == AttemptEnd::Completed;
        const Duration limit = lingers ? m_caller.entry.options.lingerTimeout : Duration::zero();
        co_await m_uploader->join(limit);
    }
    m_caller.watchdog.clear();
    const bool sentWhole = !m_uploader || m_uploader->phase() == Uploader::Phase::Sent;
    if (succeeded && sentWhole && m_upstreamKeepAlive && m_upstream->messageComplete()
        && m_upstream->readBufferEmpty())
        m_caller.entry.pool.put(m_assigned.instance, m_upstream);
    else
        m_upstream->close();
}

} // namespace laburnum::pvt
