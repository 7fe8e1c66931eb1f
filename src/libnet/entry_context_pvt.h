/// What all sessions of an entry server share.
#pragma once

#include <atomic>

#include <asio/io_context.hpp>

#include <laburnumroute/entry_server.h>

#include "slot_waiters_pvt.h"
#include "upstream_pool_pvt.h"

namespace laburnum::pvt {

/// Safe from any thread.
struct EntryContext {
    EntryContext(asio::io_context& c, SynchronizedDispatcher* t, PlacementProvider* d,
        DecisionLog* l, const EntryOptions& o, ClaimClient* g)
        : io(c)
        , table(t)
        , desk(d)
        , log(l)
        , options(o)
        , claims(g)
        , pool(o.idlePerInstance, o.upstreamIdleTimeout)
    {
    }

    asio::io_context& io;
    /// One of these two decides where requests go; the other is null.
    SynchronizedDispatcher* table;
    PlacementProvider* desk;
    /// Set with the desk.
    DecisionLog* log;
    const EntryOptions options;
    /// May be null.
    ClaimClient* claims;
    UpstreamPool pool;
    SlotWaiters waiters;
    RequestMetrics metrics;
    std::atomic<bool> draining { false };
    /// Callers are asked to go elsewhere; all is served still.
    std::atomic<bool> leaving { false };
    /// True when connections are to end after the answers under way.
    bool closing() const { return draining || leaving; }
    std::atomic<std::size_t> inFlight { 0 };
};

} // namespace laburnum::pvt
