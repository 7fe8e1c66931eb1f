/// The request path of an entry host: accepts callers, asks the dispatcher, passes bytes through.
#pragma once

#include <functional>
#include <memory>

#include <asio/io_context.hpp>

#include <laburnumroute/claim_client.h>
#include <laburnumroute/endpoint.h>
#include <laburnumroute/header_names.h>
#include <laburnumroute/placement_provider.h>
#include <laburnumroute/request_metrics.h>
#include <laburnumroute/synchronized_dispatcher.h>

namespace laburnum {

/// Limits of the request path.
struct EntryOptions {
    /// Time from the first byte of a request to the end of its head.
    Duration callerHeadTimeout = std::chrono::seconds(10);
    /// Time that a caller's connection may stay open between two requests.
    Duration callerIdleTimeout = std::chrono::seconds(75);
    /// Time that a request may wait for a free slot.
    Duration slotWaitTimeout = std::chrono::seconds(1);
    /// Time to open a connection to an instance.
    Duration connectTimeout = std::chrono::seconds(1);
    /// Time without progress after which an answer under way is given up.
    Duration bodyIdleTimeout = std::chrono::seconds(30);
    /// Time that an upload may go on after its answer, and a closing connection stays to deliver.
    Duration lingerTimeout = std::chrono::seconds(2);
    /// Time that a connection to an instance is kept without a request.
    Duration upstreamIdleTimeout = std::chrono::seconds(4);
    /// As above for requests that must not run twice: an idle connection may have died unnoticed,
    /// and a request that is lost on it cannot be sent again. Zero never uses one again.
    Duration unsafeReuseTimeout {};
    /// Time after which a drain cuts what is still in flight.
    Duration drainTimeout = std::chrono::minutes(30);
    /// Idle connections kept for each instance.
    std::size_t idlePerInstance = 8;
    /// Bytes of a request's body kept for a repeated attempt.
    std::size_t replayBytes = std::size_t { 64 } * 1024;
    /// Names of the header fields.
    HeaderNames names;
};

/// What a drain did.
struct DrainReport {
    /// Requests that were cut off.
    std::size_t cut = 0;
};

/// Serves callers on one endpoint with the threads of an io_context.
class EntryServer {
public:
    /// `claims` may be null: then requests with an idempotency key run unclaimed. Both `table` and
    /// `claims` outlive the io_context's last handler.
    EntryServer(asio::io_context& context, SynchronizedDispatcher& table,
        const EntryOptions& options = {}, ClaimClient* claims = nullptr);
    /// Serves by a desk that places attempts for the whole fleet. `desk` and `log` outlive the
    /// io_context's last handler; the io_context runs on one thread.
    EntryServer(asio::io_context& context, PlacementProvider& desk, DecisionLog& log,
        const EntryOptions& options);
    ~EntryServer();

    /// Starts to accept. Io names the address when it cannot be bound. Port 0 takes a free port.
    Expected<void> listen(const Endpoint& endpoint);
    /// The endpoint listened on.
    Endpoint localEndpoint() const;
    /// Goes on serving, and tells callers with each answer to close their connections.
    void startLameDuck();
    /// Connections of callers that are open.
    std::size_t openConnections() const;
    /// Stops accepting; requests in flight run to their end, idle connections are closed. `done` is
    /// called once none is left. The drain timeout or a second call cuts what is in flight.
    void drain(std::function<void(DrainReport)> done);
    void drain(std::function<void()> done);
    /// Requests that are being served now.
    std::size_t inFlight() const noexcept;
    /// Counters and latencies; lives as long as the server.
    RequestMetrics& metrics() noexcept;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace laburnum
