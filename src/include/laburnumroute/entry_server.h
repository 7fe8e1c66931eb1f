/// The HTTP front end of an entry host: accepts connections from callers, selects an instance for
/// each request and proxies request and response.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include <asio/io_context.hpp>

#include <laburnumroute/attempt_termination.h>
#include <laburnumroute/buffer_budget.h>
#include <laburnumroute/claim_client.h>
#include <laburnumroute/endpoint.h>
#include <laburnumroute/header_names.h>
#include <laburnumroute/placement_provider.h>
#include <laburnumroute/planned_stop.h>
#include <laburnumroute/request_metrics.h>
#include <laburnumroute/suspension_guard.h>
#include <laburnumroute/synchronized_dispatcher.h>

namespace laburnum {

/// Limits of the request path.
struct EntryOptions {
    /// Limit from the first byte of a request to the end of its head.
    Duration callerHeadTimeout = std::chrono::seconds(10);
    /// Idle limit of a caller's keep-alive connection between two requests.
    Duration callerIdleTimeout = std::chrono::seconds(75);
    /// Limit on the wait for a free slot.
    Duration slotWaitTimeout = std::chrono::seconds(1);
    /// Limit for opening a connection to an instance.
    Duration connectTimeout = std::chrono::seconds(1);
    /// A response that makes no progress for this long is aborted.
    Duration bodyIdleTimeout = std::chrono::seconds(30);
    /// How long an upload may continue after its response has been sent, and how long a closing
    /// connection lingers so that the caller receives everything.
    Duration lingerTimeout = std::chrono::seconds(2);
    /// Idle limit of a pooled connection to an instance.
    Duration upstreamIdleTimeout = std::chrono::seconds(4);
    /// The same for requests that must not run twice: an idle connection may have been closed
    /// unnoticed, and a request that is lost on it cannot be retried. Zero disables reuse.
    Duration unsafeReuseTimeout {};
    /// A drain aborts the requests that are still in flight after this time.
    Duration drainTimeout = std::chrono::minutes(30);
    /// Maximum number of idle connections per instance.
    std::size_t idlePerInstance = 8;
    /// Maximum size of a request body, in bytes, that is buffered for retries.
    std::size_t replayBytes = std::size_t { 64 } * 1024;
    /// Bound on the bytes held for all connections together, besides a free share for each.
    std::size_t bufferBytes = std::size_t { 32 } * 1024 * 1024;
    /// Sizes of the kernel's buffers of each connection; zero leaves them to the system, which may
    /// let each grow to megabytes.
    int receiveBufferBytes = 0;
    int sendBufferBytes = 0;
    /// Names of the header fields.
    HeaderNames names;
};

/// Result of a drain.
struct DrainReport {
    /// Number of requests aborted.
    std::size_t cut = 0;
};

/// How far a stop has come.
struct StopProgress {
    /// Signals to stop so far.
    unsigned signals = 0;
    /// Since the first one.
    Duration elapsed {};
};

/// HTTP server for callers on one endpoint. Runs on the threads of an io_context.
class EntryServer {
public:
    /// Selects instances with the local dispatcher. With null `claims`, requests with an
    /// idempotency key run without a claim. Attempts that an instance failed are logged to `log`
    /// unless it is null. `dispatcher`, `claims` and `log` must outlive the io_context's last
    /// handler.
    EntryServer(asio::io_context& context, SynchronizedDispatcher& dispatcher,
        const EntryOptions& options = {}, ClaimClient* claims = nullptr,
        DecisionLog* log = nullptr);
    /// Requests a placement for each attempt from the fleet's scheduler through `provider`.
    /// `provider` and `log` must outlive the io_context's last handler; the io_context must run on
    /// one thread.
    EntryServer(asio::io_context& context, PlacementProvider& provider, DecisionLog& log,
        const EntryOptions& options);
    ~EntryServer();

    /// Starts to accept connections. Port 0 selects a free port. Fails with Io and the address in
    /// the message if the endpoint cannot be bound.
    Expected<void> listen(const Endpoint& endpoint);
    /// The bound endpoint.
    Endpoint localEndpoint() const;
    /// Continues to serve requests, but sends `Connection: close` with each response so that
    /// callers move to other hosts. `stop` decides which attempts may still start; the request of
    /// one that may not is refused as not run if no attempt was started before. `elapsed` is the
    /// longest time that may have passed since the stop signal was sent. Without `stop` all are
    /// served. Only the first call has an effect.
    void startLameDuck(
        const std::optional<PlannedStop>& stop = std::nullopt, Duration elapsed = Duration::zero());
    /// Must be told several times a second that the event loop runs. With fleet placement only.
    SuspensionGuard& suspension() noexcept;
    /// Number of open connections from callers.
    std::size_t openConnections() const;
    /// Stops accepting and closes idle connections; requests in flight are completed. `done` is
    /// called when no connection is left. The drain timeout or a second call aborts the requests
    /// in flight.
    void drain(std::function<void(DrainReport)> done);
    void drain(std::function<void()> done);
    /// Aborts the requests in flight for a cause of the stop, and logs each. Does nothing and
    /// returns false if mayTerminate() forbids it. With fleet placement only, on the thread of the
    /// io_context.
    bool abort(TerminationCause cause, const StopProgress& progress);
    /// Number of requests being served.
    std::size_t inFlight() const noexcept;
    /// Lives as long as the server.
    RequestMetrics& metrics() noexcept;
    /// The bytes held for connections. Lives as long as the server.
    const BufferBudget& buffers() const noexcept;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace laburnum
