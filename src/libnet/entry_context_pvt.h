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
    EntryContext(asio::io_context& c, DispatchTable& t, const EntryOptions& o, ClaimGate* g)
        : io(c)
        , table(t)
        , options(o)
        , claims(g)
        , pool(o.idlePerInstance, o.upstreamIdleTimeout)
    {
    }

    asio::io_context& io;
    DispatchTable& table;
    const EntryOptions options;
    /// May be null.
    ClaimGate* claims;
    UpstreamPool pool;
    SlotWaiters waiters;
    RequestMetrics metrics;
    std::atomic<bool> draining { false };
    std::atomic<std::size_t> inFlight { 0 };
};

/// Converts to Asio's endpoint; InvalidArgument names the address.
Expected<asio::ip::tcp::endpoint> toAsio(const Endpoint& endpoint);

} // namespace laburnum::pvt
