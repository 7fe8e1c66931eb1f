#include "exchange_pvt.h"

#include <algorithm>
#include <charconv>

#include "asio_endpoint_pvt.h"
#include "http_status_pvt.h"
#include "request_validation_pvt.h"

namespace laburnum::pvt {

namespace {

    using asio::ip::tcp;

    /// Bytes of an attempt that belong to no answer of its instance: interim heads, answers to
    /// other requests, errors that no instance made.
    constexpr std::size_t strayBytes = std::size_t { 256 } * 1024;

    SteadyTime steadyNow() { return std::chrono::steady_clock::now(); }

    SteadyTime after(Duration d)
    {
        return steadyNow() + std::chrono::duration_cast<std::chrono::steady_clock::duration>(d);
    }

    void eraseFields(std::vector<HeaderField>& fields, std::string_view name)
    {
        std::erase_if(
            fields, [&](const HeaderField& field) { return equalsIgnoreCase(field.name, name); });
    }

    /// Statuses with which an instance says that it failed at this request, and another may not.
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

Exchange::Exchange(CallerSide& caller, const Assignment& assigned)
    : m_caller(caller)
    , m_assigned(assigned)
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
        if (!connected || callerLeft()) {
            m_caller.stream.unwatchPeer();
            if (connected)
                m_upstream->close();
            m_outcome.end = callerLeft() ? AttemptEnd::CallerGone
                                         : m_abandonedAs.value_or(AttemptEnd::NotConnected);
            break;
        }
        co_await sendRequest();
        co_await passAnswer();
        co_await settle();
        // An instance may close an idle connection at the moment it is used again.
        // Where the fleet counts repeats, whoever placed the attempt decides on another one.
        const bool stale = m_reused && m_caller.entry.desk == nullptr && m_caller.repeatable
            && m_outcome.end == AttemptEnd::NoAnswer && !m_upstream->messageStarted()
            && m_caller.body.replayable();
        if (!stale)
            break;
        m_caller.body.rewind();
        mayReuse = false;
    }
    m_outcome.latency = m_outcome.status != 0 ? m_outcome.latency : Duration(steadyNow() - m_start);
    co_return std::move(m_outcome);
}

void Exchange::abandon(AttemptEnd end)
{
    m_abandonedAs = end;
    if (m_upstream)
        m_upstream->close();
    else
        m_caller.watchdog.expire();
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
            m_caller.repeatable ? options.upstreamIdleTimeout : options.unsafeReuseTimeout);
        m_reused = m_upstream != nullptr;
        if (m_reused)
            co_return true;
    }
    const auto endpoint = toAsio(m_assigned.endpoint);
    if (!endpoint)
        co_return false;
    auto socket = std::make_shared<tcp::socket>(m_caller.entry.io);
    const auto limit = std::min(m_caller.deadline, after(m_caller.entry.options.connectTimeout));
    m_caller.watchdog.watch(limit, [socket] {
        std::error_code ignored;
        socket->close(ignored);
    });
    m_connecting = socket;
    const auto [code] = co_await socket->async_connect(*endpoint, useTuple);
    m_connecting = nullptr;
    m_caller.watchdog.clear();
    m_outcome.refused = code == asio::error::connection_refused;
    if (code || !socket->is_open())
        co_return false;
    m_upstream = std::make_shared<HttpStream>(std::move(*socket), MessageKind::Response);
    co_return true;
}

std::string Exchange::renderRequest()
{
    const HttpHead& request = m_caller.request;
    auto fields = endToEndFields(request);
    // The caller is told to go on by this host, so that it never waits for an instance that
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
    return renderRequestHead(request, fields);
}

asio::awaitable<void> Exchange::sendRequest()
{
    m_outcome.mayHaveRun = true;
    m_upstream->setExpectNoBody(m_caller.request.method == "HEAD");
    m_upstream->setReadLimit(strayBytes);
    watchDeadline();
    const auto framing = m_caller.request.chunked ? BodyFraming::Chunked : BodyFraming::Identity;
    std::string bytes = renderRequest();
    bytes += frameBodyPart(framing, m_caller.body.takeAtHand());
    const bool whole = m_caller.body.finished();
    if (whole)
        bytes += frameBodyEnd(framing, m_caller.body.trailers());
    // A failed write is no verdict: the instance may have answered before it closed.
    co_await m_upstream->write(std::move(bytes));
    if (whole)
        co_return;
    if (expectsContinue(m_caller.request) && !m_caller.continued && m_caller.body.bytes() == 0) {
        m_caller.continued = true;
        co_await m_caller.stream.write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    startUpload(framing);
}

void Exchange::startUpload(BodyFraming framing)
{
    m_uploader = std::make_shared<Uploader>(m_caller.stream, m_caller.body, m_upstream, framing);
    m_uploader->start(
        [this] {
            if (m_relaying)
                watchProgress();
        },
        [this] {
            if (m_uploader->phase() == Uploader::Phase::CallerFailed)
                m_upstream->close();
        });
}

void Exchange::watchDeadline()
{
    m_caller.watchdog.watch(m_caller.deadline, [this] {
        m_timedOut = true;
        m_upstream->close();
    });
}

void Exchange::watchProgress()
{
    m_caller.watchdog.watch(m_caller.entry.options.bodyIdleTimeout, [this] {
        m_timedOut = true;
        m_upstream->close();
        m_caller.stream.reset();
    });
}

void Exchange::watchCaller()
{
    m_caller.stream.watchPeer([this] {
        m_callerGone = true;
        std::error_code ignored;
        if (m_connecting)
            m_connecting->close(ignored);
        if (m_upstream)
            m_upstream->close();
        if (m_caller.onCallerGone)
            m_caller.onCallerGone();
    });
}

bool Exchange::callerLeft()
{
    m_callerGone = m_callerGone || m_caller.stream.peerClosed();
    return m_callerGone;
}

AttemptEnd Exchange::endFor(const Error& error) const
{
    if (m_callerGone)
        return AttemptEnd::CallerGone;
    if (m_abandonedAs)
        return *m_abandonedAs;
    if (m_uploader && m_uploader->phase() == Uploader::Phase::CallerFailed)
        return m_uploader->callerError()->code == ErrorCode::Closed ? AttemptEnd::CallerGone
                                                                    : AttemptEnd::CallerMalformed;
    if (m_timedOut) {
        const bool callerSlow = m_uploader && m_uploader->phase() == Uploader::Phase::ReadingCaller;
        return callerSlow ? AttemptEnd::CallerSlow : AttemptEnd::TimedOut;
    }
    return error.code == ErrorCode::Closed ? AttemptEnd::NoAnswer : AttemptEnd::BadAnswer;
}

asio::awaitable<Expected<HttpHead>> Exchange::readFinalHead()
{
    while (true) {
        auto head = co_await m_upstream->readHead();
        if (!head)
            co_return head;
        if (head->status >= statusOk && !isForeign(*head))
            co_return head;
        if (head->status >= statusOk) {
            const auto skipped = co_await skipAnswer();
            if (!skipped)
                co_return tl::unexpected<Error>(skipped.error());
            continue;
        }
        if (head->status == statusSwitchingProtocols)
            co_return fail(ErrorCode::InvalidArgument, "the instance switches protocols unasked");
        if (head->status == statusContinue || m_caller.request.versionMinor == 0
            || !m_caller.passesInterim)
            continue;
        co_await passInterim(*head);
    }
}

/// A caller that takes no interim head does not hold the attempt beyond its time.
asio::awaitable<void> Exchange::passInterim(const HttpHead& head)
{
    m_caller.watchdog.watch(m_caller.deadline, [this] {
        m_callerGone = true;
        m_upstream->close();
        m_caller.stream.reset();
    });
    co_await m_caller.stream.write(renderResponseHead(head, endToEndFields(head)));
    watchDeadline();
}

/// An answer that names another request is a late one of an earlier request.
bool Exchange::isForeign(const HttpHead& head) const
{
    const std::string& name = m_caller.entry.options.names.requestId;
    return !name.empty() && !head.field(name).empty()
        && head.field(name) != m_caller.request.field(name);
}

asio::awaitable<Expected<void>> Exchange::skipAnswer()
{
    while (!m_upstream->messageComplete()) {
        const auto part = co_await m_upstream->readBodyPart();
        if (!part)
            co_return tl::unexpected<Error>(part.error());
    }
    m_upstream->takeBufferedBody();
    co_return Expected<void> {};
}

bool Exchange::saysNotRun(const HttpHead& head) const
{
    const HeaderNames& names = m_caller.entry.options.names;
    return head.field(outcomeHeader) == outcomeName(RequestOutcome::NotRun)
        || (!names.notRun.empty() && !head.field(names.notRun).empty());
}

void Exchange::noteAnswer(const HttpHead& head)
{
    m_outcome.status = head.status;
    m_outcome.latency = steadyNow() - m_start;
    m_upstreamKeepAlive = head.keepAlive;
    // "RUNNING,WAITING,SLOTS"
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

/// Reads a short answer to its end before any of it is passed on.
asio::awaitable<void> Exchange::holdAnswer(HttpHead head)
{
    HeldAnswer held { std::move(head), m_upstream->takeBufferedBody() };
    while (!m_upstream->messageComplete()) {
        const auto part = co_await m_upstream->readBodyPart();
        if (!part) {
            m_outcome.end = endFor(part.error());
            co_return;
        }
        held.body += *part;
    }
    m_outcome.answerBytes += held.body.size();
    m_outcome.held = std::move(held);
    m_outcome.end = AttemptEnd::Held;
}

asio::awaitable<void> Exchange::passAnswer()
{
    const SteadyTime sent = steadyNow();
    auto head = co_await readFinalHead();
    m_outcome.waited += steadyNow() - sent;
    if (!head) {
        m_outcome.end = endFor(head.error());
        co_return;
    }
    noteAnswer(*head);
    if (saysNotRun(*head)) {
        m_outcome.end = AttemptEnd::Shed;
        m_outcome.mayHaveRun = false;
        m_outcome.retryAfter = head->field("retry-after");
        co_return;
    }
    const std::string& responseStamp = m_caller.entry.options.names.responseStamp;
    const bool proven = responseStamp.empty() || !head->field(responseStamp).empty();
    if (!proven && head->status < statusMultipleChoices) {
        m_outcome.end = AttemptEnd::BadAnswer;
        m_upstreamKeepAlive = false;
        co_return;
    }
    if (proven)
        m_upstream->clearReadLimit();
    if (m_upstream->messageComplete() || !proven
        || head->contentLength.value_or(SIZE_MAX) <= m_caller.holdBytes) {
        if (m_caller.holdBytes > 0) {
            co_await holdAnswer(std::move(*head));
            co_return;
        }
    }
    if (isServerFailure(head->status) && m_caller.replacesError && m_caller.replacesError()) {
        m_outcome.end = AttemptEnd::ServerError;
        m_upstreamKeepAlive = false;
        co_return;
    }
    co_await relayAnswer(std::move(*head));
}

BodyFraming Exchange::answerFraming(const HttpHead& head) const
{
    if (m_caller.request.method == "HEAD" || isBodiless(head.status))
        return BodyFraming::None;
    if (head.contentLength || m_caller.request.versionMinor == 0)
        return BodyFraming::Identity;
    return BodyFraming::Chunked;
}

std::vector<HeaderField> Exchange::answerFields(const HttpHead& head, BodyFraming framing) const
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

asio::awaitable<void> Exchange::relayAnswer(HttpHead head)
{
    if (m_caller.awaitTurn) {
        const bool mine = co_await m_caller.awaitTurn(head.status);
        if (!mine || m_timedOut || m_callerGone) {
            m_outcome.end = endFor({ ErrorCode::Closed, "not this attempt's turn" });
            co_return;
        }
        // Another attempt that ended meanwhile has ended the watch.
        if (sent())
            watchCaller();
    }
    const BodyFraming framing = answerFraming(head);
    const bool untilClose = framing == BodyFraming::Identity && !head.contentLength;
    const bool uploaded = m_caller.body.complete();
    m_outcome.keepAlive
        = m_caller.request.keepAlive && !untilClose && uploaded && !m_caller.entry.closing();
    auto fields = answerFields(head, framing);
    if (m_caller.capture) {
        m_outcome.captured = StoredResponse { head.status, endToEndFields(head), {} };
    }
    addConnection(fields, { false, m_caller.request.versionMinor, m_outcome.keepAlive });
    m_relaying = true;
    watchProgress();
    if (m_caller.capture)
        m_caller.stream.unwatchPeer();
    co_await relayBody(renderResponseHead(head, fields), framing);
    if (m_outcome.end == AttemptEnd::Cut && untilClose)
        m_caller.stream.reset();
}

asio::awaitable<void> Exchange::relayBody(std::string bytes, BodyFraming framing)
{
    m_outcome.end = AttemptEnd::Passed;
    std::string part = m_upstream->takeBufferedBody();
    while (true) {
        const bool last = m_upstream->messageComplete();
        capturePart(part);
        bytes += frameBodyPart(framing, std::move(part));
        if (last)
            bytes += frameBodyEnd(framing, m_upstream->trailers());
        if (m_outcome.end == AttemptEnd::Passed && !bytes.empty()) {
            const auto sent = co_await m_caller.stream.write(std::move(bytes));
            if (!sent) {
                m_outcome.end = AttemptEnd::Cut;
                m_outcome.callerBroke = true;
            }
        }
        // An answer that is stored is read to its end even when its caller went away.
        if (last || (m_outcome.end == AttemptEnd::Cut && !m_outcome.captured))
            co_return;
        // Once the caller went away the rest must come within the time of one part.
        if (m_outcome.end == AttemptEnd::Passed)
            watchProgress();
        const SteadyTime before = steadyNow();
        auto next = co_await m_upstream->readBodyPart();
        m_outcome.waited += steadyNow() - before;
        if (!next) {
            m_outcome.end = AttemptEnd::Cut;
            m_outcome.callerBroke = m_outcome.callerBroke || callerBroke();
            m_outcome.captured.reset();
            co_return;
        }
        part = std::move(*next);
        bytes.clear();
    }
}

bool Exchange::callerBroke() const
{
    return m_callerGone || (m_uploader && m_uploader->phase() == Uploader::Phase::CallerFailed);
}

void Exchange::capturePart(const std::string& part)
{
    m_outcome.answerBytes += part.size();
    if (!m_outcome.captured)
        return;
    if (m_outcome.captured->body.size() + part.size() > ClaimClient::maxStoredBodyBytes)
        m_outcome.captured.reset();
    else
        m_outcome.captured->body += part;
}

asio::awaitable<void> Exchange::settle()
{
    m_caller.stream.unwatchPeer();
    const bool passed = m_outcome.end == AttemptEnd::Passed || m_outcome.end == AttemptEnd::Held;
    if (m_uploader) {
        m_caller.watchdog.clear();
        if (!passed)
            m_upstream->close();
        // A held answer must not wait for the rest of an upload that its instance did not want.
        const bool lingers = m_outcome.end == AttemptEnd::Passed;
        const Duration patience = lingers ? m_caller.entry.options.lingerTimeout : Duration::zero();
        co_await m_uploader->join(patience);
    }
    m_caller.watchdog.clear();
    const bool sentWhole = !m_uploader || m_uploader->phase() == Uploader::Phase::Sent;
    if (passed && sentWhole && m_upstreamKeepAlive && m_upstream->messageComplete()
        && m_upstream->readBufferEmpty())
        m_caller.entry.pool.put(m_assigned.instance, m_upstream);
    else
        m_upstream->close();
}

} // namespace laburnum::pvt
