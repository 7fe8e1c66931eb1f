/// Idle keep-alive connections to instances.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <mutex>

#include <laburnumroute/ids.h>

#include "http_stream_pvt.h"
#include "watchdog_pvt.h"

namespace laburnum::pvt {

/// Holds connections that finished an exchange whole, a bounded number for each instance. Safe from
/// any thread; its lock is a leaf.
class UpstreamPool {
public:
    UpstreamPool(std::size_t idlePerInstance, Duration idleTimeout)
        : m_idlePerInstance(idlePerInstance)
        , m_idleTimeout(idleTimeout)
    {
    }

    /// The connection to `instance` that became idle last, no longer than `idleAtMost` ago, or
    /// null. Connections that the instance closed meanwhile, or on which it sent anything, are
    /// dropped.
    std::shared_ptr<HttpStream> take(const InstanceId& instance, Duration idleAtMost);
    /// Keeps `stream` for the next exchange.
    void put(const InstanceId& instance, std::shared_ptr<HttpStream> stream);
    /// Closes what was idle too long.
    void sweep();
    /// Closes everything.
    void clear();

private:
    struct Idle {
        std::shared_ptr<HttpStream> stream;
        SteadyTime since;
        SteadyTime until;
    };

    const std::size_t m_idlePerInstance;
    const Duration m_idleTimeout;
    std::mutex m_mutex;
    /// The oldest connection first.
    std::map<InstanceId, std::deque<Idle>> m_idle;
};

} // namespace laburnum::pvt
