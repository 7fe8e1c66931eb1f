/// State shared by all sessions of an entry server.
#pragma once

#include <atomic>
#include <optional>

#include <asio/io_context.hpp>

#include <laburnumroute/entry_server.h>
#include <laburnumroute/planned_stop.h>

#include "slot_waiters_pvt.h"
#include "upstream_pool_pvt.h"
#include "watchdog_pvt.h"

namespace laburnum::pvt {

/// Safe from any thread.
struct EntryContext {
    EntryContext(asio::io_context& c, SynchronizedDispatcher* t, PlacementProvider* d,
        DecisionLog* l, const EntryOptions& o, ClaimClient* g)
        : io(c)
        , sharedDispatcher(t)
        , placementProvider(d)
        , log(l)
        , options(o)
        , claims(g)
        , buffers(std::make_shared<BufferBudget>(o.bufferBytes))
        , pool(o.idlePerInstance, o.upstreamIdleTimeout)
    {
    }

    asio::io_context& io;
    /// Exactly one of `sharedDispatcher` and `placementProvider` is set; it selects the instance of
    /// each attempt.
    SynchronizedDispatcher* sharedDispatcher;
    PlacementProvider* placementProvider;
    /// May be null without `placementProvider`.
    DecisionLog* log;
    const EntryOptions options;
    /// May be null.
    ClaimClient* claims;
    const std::shared_ptr<BufferBudget> buffers;
    UpstreamPool pool;
    SlotWaiters waiters;
    RequestMetrics metrics;
    std::atomic<bool> draining { false };
    /// Requests are served as before, but each response asks the caller to close its connection.
    std::atomic<bool> lameDuck { false };
    /// Whether connections are closed after the current response.
    /// Upper bound on what the kernel holds of one direction of an exchange.
    std::size_t kernelBytes() const
    {
        return static_cast<std::size_t>(options.receiveBufferBytes)
            + static_cast<std::size_t>(options.sendBufferBytes);
    }
    bool closesConnections() const { return draining || lameDuck; }
    std::atomic<std::size_t> inFlight { 0 };
    const SteadyClock clock;
    /// Used with fleet placement only, on its single thread.
    SuspensionGuard suspension { clock.now() };
    /// The planned stop in progress and its beginning. Set before `lameDuck`, constant afterwards.
    std::optional<PlannedStop> plannedStop;
    SteadyTime stopBegan;
};

} // namespace laburnum::pvt
