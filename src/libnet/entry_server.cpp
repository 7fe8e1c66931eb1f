#include <laburnumroute/entry_server.h>

#include <mutex>
#include <unordered_map>

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/strand.hpp>

#include "asio_endpoint_pvt.h"
#include "session_pvt.h"

namespace laburnum {

using asio::ip::tcp;
using pvt::Session;

/// Accepts connections on its own strand. The registry of sessions is guarded by a leaf lock.
struct EntryServer::Impl : std::enable_shared_from_this<EntryServer::Impl> {
    Impl(asio::io_context& c, std::shared_ptr<pvt::EntryContext> context)
        : entry(std::move(context))
        , strand(asio::make_strand(c))
        , acceptor(strand)
        , drainTimer(strand)
        , sweepTimer(strand)
    {
    }

    asio::awaitable<void> acceptLoop()
    {
        const auto self = shared_from_this();
        while (acceptor.is_open()) {
            auto [code, socket]
                = co_await acceptor.async_accept(asio::make_strand(entry->io), pvt::useTuple);
            if (!code)
                startSession(std::move(socket));
        }
    }

    void startSession(tcp::socket socket)
    {
        const auto executor = socket.get_executor();
        auto session = std::make_shared<Session>(entry, std::move(socket));
        {
            const std::lock_guard lock(mutex);
            sessions[session.get()] = session;
        }
        asio::co_spawn(
            executor, [session] { return session->run(); },
            [self = shared_from_this(), key = session.get()](const std::exception_ptr& failure) {
                if (failure)
                    self->recordFailure(failure);
                self->endSession(key);
            });
    }

    void recordFailure(const std::exception_ptr& failure)
    {
        entry->metrics.countInternalError();
        if (entry->log == nullptr)
            return;
        Decision decision { "session", "failed" };
        try {
            std::rethrow_exception(failure);
        } catch (const std::exception& error) {
            decision.facts["message"] = error.what();
        } catch (...) {
            decision.facts["message"] = "";
        }
        entry->log->record(decision);
    }

    void endSession(Session* session)
    {
        {
            const std::lock_guard lock(mutex);
            sessions.erase(session);
        }
        asio::post(strand, [self = shared_from_this()] { self->finishDrain(); });
    }

    template <class Function> void forEachSession(Function&& function)
    {
        const std::lock_guard lock(mutex);
        for (const auto& [key, weak] : sessions) {
            if (const auto session = weak.lock())
                function(*session);
        }
    }

    /// Accepts the connections that are still in the listen backlog, which would be reset when the
    /// acceptor is closed.
    void acceptPending()
    {
        std::error_code code;
        acceptor.non_blocking(true, code);
        while (!code) {
            tcp::socket socket(asio::make_strand(entry->io));
            acceptor.accept(socket, code);
            if (!code)
                startSession(std::move(socket));
        }
    }

    void startDrain(std::function<void(DrainReport)> done)
    {
        if (entry->draining) {
            if (done)
                onDrained.push_back(std::move(done));
            abortInFlight(TerminationCause::SecondSignal, { 2, sinceDrain() });
            return;
        }
        onDrained.push_back(std::move(done));
        entry->draining = true;
        drainBegan = std::chrono::steady_clock::now();
        acceptPending();
        std::error_code ignored;
        acceptor.close(ignored);
        sweepTimer.cancel();
        forEachSession([](Session& session) { session.drain(); });
        drainTimer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(
            entry->options.drainTimeout));
        drainTimer.async_wait([self = shared_from_this()](std::error_code code) {
            if (!code)
                self->abortInFlight(TerminationCause::StopAbort, { 1, self->sinceDrain() });
        });
        finishDrain();
    }

    Duration sinceDrain() const { return std::chrono::steady_clock::now() - drainBegan; }

    TerminationState stopState(const StopProgress& progress) const
    {
        TerminationState state;
        state.stopSignals = progress.signals;
        state.sinceStop = progress.elapsed;
        state.abortAfter = entry->options.drainTimeout;
        if (entry->lameDuck && entry->plannedStop) {
            state.abortAfter = entry->plannedStop->abortAfter();
            state.exitAfter = entry->plannedStop->exitAfter();
        }
        return state;
    }

    void recordRefused(TerminationCause cause, const StopProgress& progress) const
    {
        entry->metrics.countRefusedTermination(cause);
        if (entry->log == nullptr)
            return;
        Decision decision { "stop", "abort-refused" };
        decision.alwaysLog = true;
        decision.facts["cause"] = terminationCauseName(cause);
        decision.facts["stop_ms"] = Json::Int64(toMillis(progress.elapsed));
        entry->log->record(decision);
    }

    /// Aborts the requests in flight. Returns false if that is not permitted.
    bool abortInFlight(TerminationCause cause, const StopProgress& progress)
    {
        const TerminationState state = stopState(progress);
        if (!mayTerminate(cause, state)) {
            recordRefused(cause, progress);
            return false;
        }
        report.cut += entry->inFlight;
        // With fleet placement there is one thread, so this is the strand of each session.
        const bool isOneThread = entry->placementProvider != nullptr;
        forEachSession([&](Session& session) {
            if (!isOneThread)
                session.postAbort(cause, state);
            else if (!session.abort(cause, state))
                --report.cut;
        });
        finishDrain();
        return true;
    }

    void finishDrain()
    {
        if (!entry->draining)
            return;
        {
            const std::lock_guard lock(mutex);
            if (!sessions.empty())
                return;
        }
        drainTimer.cancel();
        entry->pool.clear();
        for (auto& done : std::exchange(onDrained, {}))
            done(report);
    }

    void scheduleSweep()
    {
        sweepTimer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(
            entry->options.upstreamIdleTimeout));
        sweepTimer.async_wait([self = shared_from_this()](std::error_code code) {
            if (code || self->entry->draining)
                return;
            self->entry->pool.sweep();
            self->scheduleSweep();
        });
    }

    std::shared_ptr<pvt::EntryContext> entry;
    asio::strand<asio::io_context::executor_type> strand;
    tcp::acceptor acceptor;
    asio::steady_timer drainTimer;
    asio::steady_timer sweepTimer;
    std::vector<std::function<void(DrainReport)>> onDrained;
    DrainReport report;
    pvt::SteadyTime drainBegan;
    std::mutex mutex;
    std::unordered_map<Session*, std::weak_ptr<Session>> sessions;
};

EntryServer::EntryServer(asio::io_context& context, SynchronizedDispatcher& dispatcher,
    const EntryOptions& options, ClaimClient* claims, DecisionLog* log)
    : m_impl(std::make_shared<Impl>(context,
        std::make_shared<pvt::EntryContext>(context, &dispatcher, nullptr, log, options, claims)))
{
}

EntryServer::EntryServer(asio::io_context& context, PlacementProvider& provider, DecisionLog& log,
    const EntryOptions& options)
    : m_impl(std::make_shared<Impl>(context,
        std::make_shared<pvt::EntryContext>(context, nullptr, &provider, &log, options, nullptr)))
{
}

EntryServer::~EntryServer() = default;

Expected<void> EntryServer::listen(const Endpoint& endpoint)
{
    if (auto listening = pvt::startListening(m_impl->acceptor, endpoint); !listening)
        return listening;
    const EntryOptions& options = m_impl->entry->options;
    pvt::setSocketBuffers(m_impl->acceptor, options.receiveBufferBytes, options.sendBufferBytes);
    asio::co_spawn(
        m_impl->strand, [impl = m_impl] { return impl->acceptLoop(); }, asio::detached);
    m_impl->scheduleSweep();
    return {};
}

Endpoint EntryServer::localEndpoint() const
{
    std::error_code code;
    const auto local = m_impl->acceptor.local_endpoint(code);
    return { local.address().to_string(), local.port() };
}

void EntryServer::startLameDuck(const std::optional<PlannedStop>& stop, Duration elapsed)
{
    if (m_impl->entry->lameDuck)
        return;
    m_impl->entry->plannedStop = stop;
    m_impl->entry->stopBegan = std::chrono::steady_clock::now()
        - std::chrono::duration_cast<pvt::SteadyTime::duration>(elapsed);
    m_impl->entry->lameDuck = true;
}

SuspensionGuard& EntryServer::suspension() noexcept { return m_impl->entry->suspension; }

std::size_t EntryServer::openConnections() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->sessions.size();
}

void EntryServer::drain(std::function<void(DrainReport)> done)
{
    asio::post(m_impl->strand,
        [impl = m_impl, done = std::move(done)]() mutable { impl->startDrain(std::move(done)); });
}

void EntryServer::drain(std::function<void()> done)
{
    drain(std::function<void(DrainReport)>([done = std::move(done)](DrainReport) { done(); }));
}

bool EntryServer::abort(TerminationCause cause, const StopProgress& progress)
{
    return m_impl->abortInFlight(cause, progress);
}

std::size_t EntryServer::inFlight() const noexcept { return m_impl->entry->inFlight; }

RequestMetrics& EntryServer::metrics() noexcept { return m_impl->entry->metrics; }

const BufferBudget& EntryServer::buffers() const noexcept { return *m_impl->entry->buffers; }

} // namespace laburnum
