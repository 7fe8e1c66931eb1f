#include "session_pvt.h"

#include <asio/post.hpp>

#include "fleet_request_pvt.h"
#include "http_status_pvt.h"
#include "request_handler_pvt.h"

namespace laburnum::pvt {

namespace {

    /// Counts a request as in flight while it is being served.
    class InFlight {
    public:
        explicit InFlight(EntryContext& entry)
            : m_entry(entry)
        {
            ++m_entry.inFlight;
        }
        ~InFlight() { --m_entry.inFlight; }
        InFlight(const InFlight&) = delete;
        InFlight& operator=(const InFlight&) = delete;

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
    m_answered = true;
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
    m_watchdog.watch(limits.idleTimeout, [this] { m_caller.close(); });
    const auto started = co_await m_caller.awaitMessage();
    m_idle = false;
    if (!started) {
        co_await refuse(started.error());
        co_return false;
    }
    m_watchdog.watch(limits.headTimeout, [this] {
        m_slowHead = true;
        m_caller.cancel();
    });
    auto head = co_await m_caller.readHead();
    m_watchdog.clear();
    if (!head) {
        co_await refuse(head.error());
        co_return false;
    }
    const InFlight inFlight(*m_entry);
    const bool kept = co_await serve(std::move(*head));
    co_return kept;
}

asio::awaitable<bool> Session::serve(HttpHead head)
{
    return m_entry->desk == nullptr ? serveAlone(*m_entry, m_caller, m_watchdog, std::move(head))
                                    : serveInFleet(*m_entry, m_caller, m_watchdog, std::move(head));
}

CallerLimits Session::callerLimits() const
{
    if (m_entry->desk != nullptr)
        return m_entry->desk->limits();
    CallerLimits limits;
    limits.headTimeout = m_entry->options.callerHeadTimeout;
    limits.idleTimeout = m_entry->options.callerIdleTimeout;
    return limits;
}

asio::awaitable<void> Session::refuse(const Error& error)
{
    m_watchdog.clear();
    OwnAnswer answer = malformedAnswer(error);
    if (error.code == ErrorCode::TooLarge) {
        answer.status = statusHeadTooLarge;
        answer.reason = reasons::headTooLarge;
    } else if (m_slowHead) {
        answer = { statusRequestTimeout, RequestOutcome::NotRun, reasons::slowHead };
    } else if (error.code != ErrorCode::InvalidArgument) {
        m_caller.close();
        co_return;
    }
    co_await m_caller.write(renderAnswer(answer, {}));
    m_entry->metrics.record({ ServiceId(), answer.outcome, answer.status });
}

void Session::closeIfIdle()
{
    // A request that is already on its way is still served.
    if (m_entry->draining && m_idle && m_caller.isIdle())
        m_caller.close();
}

void Session::drain()
{
    asio::post(
        m_caller.socket().get_executor(), [self = shared_from_this()] { self->closeIfIdle(); });
}

void Session::cut()
{
    asio::post(m_caller.socket().get_executor(), [self = shared_from_this()] {
        // A reset would discard the part of an answer that is still on its way.
        if (self->m_answered)
            self->m_caller.close();
        else
            self->m_caller.reset();
    });
}

} // namespace laburnum::pvt
