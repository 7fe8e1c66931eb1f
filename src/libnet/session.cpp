#include "session_pvt.h"

#include <asio/post.hpp>

#include "asio_endpoint_pvt.h"
#include "fleet_request_pvt.h"
#include "http_status_pvt.h"
#include "request_handler_pvt.h"
#include "response_writer_pvt.h"

namespace laburnum::pvt {

namespace {

    /// Counts a request as in flight for the lifetime of the guard.
    class InFlightGuard {
    public:
        explicit InFlightGuard(EntryContext& entry)
            : m_entry(entry)
        {
            ++m_entry.inFlight;
        }
        ~InFlightGuard() { --m_entry.inFlight; }
        InFlightGuard(const InFlightGuard&) = delete;
        InFlightGuard& operator=(const InFlightGuard&) = delete;

    private:
        EntryContext& m_entry;
    };

} // namespace

Session::Session(std::shared_ptr<EntryContext> entry, asio::ip::tcp::socket socket)
    : m_entry(std::move(entry))
    , m_caller(std::move(socket), MessageKind::Request)
    , m_watchdog(m_caller.socket().get_executor())
{
}

asio::awaitable<void> Session::run()
{
    const auto self = shared_from_this();
    bool keep = true;
    while (keep)
        keep = co_await serveNext();
    if (!m_caller.socket().is_open())
        co_return;
    m_finalResponseSent = true;
    m_watchdog.watch(m_entry->options.lingerTimeout, [this] { m_caller.close(); });
    co_await m_caller.lingeringClose();
    m_watchdog.clear();
}

asio::awaitable<bool> Session::serveNext()
{
    m_idle = true;
    closeIfIdle();
    const CallerLimits limits = callerLimits();
    m_caller.setHeadLimit(limits.headBytes);
    m_idleSince = std::chrono::steady_clock::now();
    watchIdle(m_idleSince);
    const auto started = co_await m_caller.awaitMessage();
    m_idle = false;
    if (!started) {
        co_await reject(started.error());
        co_return false;
    }
    m_watchdog.watch(limits.headTimeout, [this] {
        m_slowHead = true;
        m_caller.cancel();
    });
    auto head = co_await m_caller.readHead();
    m_watchdog.clear();
    if (!head) {
        co_await reject(head.error());
        co_return false;
    }
    // The limit may have passed in the turn in which the head arrived.
    m_slowHead = false;
    const InFlightGuard inFlight(*m_entry);
    const bool kept = co_await serve(std::move(*head));
    co_return kept;
}

void Session::watchIdle(SteadyTime since)
{
    const auto limit = [this, since] {
        return since + std::chrono::duration_cast<SteadyTime::duration>(callerLimits().idleTimeout);
    };
    m_watchdog.watch(limit(), [this, since, limit] {
        // A configuration may have raised the limit since.
        if (limit() > std::chrono::steady_clock::now())
            watchIdle(since);
        else
            m_caller.closeIdle();
    });
}

asio::awaitable<bool> Session::serve(HttpHead head)
{
    return m_entry->placementProvider == nullptr
        ? serveWithDispatcher(*m_entry, m_caller, m_watchdog, m_cut, std::move(head))
        : serveWithFleet(*m_entry, m_caller, m_watchdog, m_cut, std::move(head));
}

CallerLimits Session::callerLimits() const
{
    if (m_entry->placementProvider != nullptr)
        return m_entry->placementProvider->limits();
    CallerLimits limits;
    limits.headTimeout = m_entry->options.callerHeadTimeout;
    limits.idleTimeout = m_entry->options.callerIdleTimeout;
    return limits;
}

asio::awaitable<void> Session::reject(const Error& error)
{
    m_watchdog.clear();
    LocalResponse response = malformedRequestResponse(error);
    if (error.code == ErrorCode::TooLarge) {
        response.status = statusHeadTooLarge;
        response.reason = reasons::headTooLarge;
    } else if (m_slowHead) {
        response = { statusRequestTimeout, RequestOutcome::NotRun, reasons::slowHead };
    } else if (error.code != ErrorCode::InvalidArgument) {
        ConnectionEnd end = ConnectionEnd::Caller;
        if (m_caller.messageStarted())
            end = ConnectionEnd::IncompleteHead;
        else if (m_caller.closesIdle())
            end = ConnectionEnd::Idle;
        endWithoutResponse(end);
        co_return;
    }
    m_watchdog.watch(m_entry->options.bodyIdleTimeout, [this] { m_caller.reset(); });
    co_await m_caller.write(renderLocalResponse(response, {}));
    m_watchdog.clear();
    m_entry->metrics.record({ ServiceId(), response.outcome, response.status });
}

void Session::endWithoutResponse(ConnectionEnd end)
{
    m_entry->metrics.countConnectionEnd(end);
    m_caller.close();
    if (m_entry->placementProvider == nullptr || end == ConnectionEnd::Caller)
        return;
    Decision decision { "session", end == ConnectionEnd::Idle ? "idle" : "incomplete-head" };
    decision.facts["ms"] = Json::Int64(toMillis(std::chrono::steady_clock::now() - m_idleSince));
    decision.facts["limit_ms"] = Json::Int64(toMillis(callerLimits().idleTimeout));
    m_entry->log->record(decision);
}

void Session::closeIfIdle()
{
    // A request whose first bytes have already arrived is still served.
    if (m_entry->draining && m_idle)
        m_caller.closeIdle();
}

void Session::drain()
{
    asio::post(
        m_caller.socket().get_executor(), [self = shared_from_this()] { self->closeIfIdle(); });
}

bool Session::leaveResponseToKernel()
{
    if (m_finalResponseSent || !m_cut.isResponseRead)
        return false;
    const int wanted
        = static_cast<int>(ResponseWriter::readAheadBytes) + m_entry->options.sendBufferBytes;
    std::error_code code;
    asio::socket_base::send_buffer_size current;
    m_caller.socket().get_option(current, code);
    if (!code && current.value() < wanted)
        setSocketBuffers(m_caller.socket(), 0, wanted);
    return true;
}

bool Session::abort(TerminationCause cause, const TerminationState& state)
{
    if (cause == TerminationCause::StopAbort && leaveResponseToKernel())
        return false;
    if (!m_cut.cause) {
        m_cut.cause = cause;
        m_cut.state = state;
        if (m_cut.onCut)
            m_cut.onCut();
    }
    // A reset would discard the part of the response that is still in the send buffer.
    if (m_finalResponseSent)
        m_caller.close();
    else
        m_caller.reset();
    return true;
}

void Session::postAbort(TerminationCause cause, const TerminationState& state)
{
    asio::post(m_caller.socket().get_executor(),
        [self = shared_from_this(), cause, state] { self->abort(cause, state); });
}

} // namespace laburnum::pvt
