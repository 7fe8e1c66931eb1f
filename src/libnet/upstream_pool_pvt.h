/// Pool of idle keep-alive connections to instances.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <mutex>

#include <laburnumroute/ids.h>

#include "http_stream_pvt.h"
#include "watchdog_pvt.h"

namespace laburnum::pvt {

/// Holds connections after a complete exchange, up to a maximum number per instance. Thread-safe;
/// its lock is a leaf lock.
class UpstreamPool {
public:
    UpstreamPool(std::size_t idlePerInstance, Duration idleTimeout)
        : m_idlePerInstance(idlePerInstance)
        , m_idleTimeout(idleTimeout)
    {
    }

    /// Returns the most recently used connection to `instance` if it has been idle for at most
    /// `maxIdle`, otherwise null. Connections that the instance has closed or sent data on are
    /// dropped.
    std::shared_ptr<HttpStream> take(const InstanceId& instance, Duration maxIdle);
    /// Adds `stream` for reuse.
    void put(const InstanceId& instance, std::shared_ptr<HttpStream> stream);
    /// Closes connections that have exceeded the idle timeout or are no longer usable.
    void sweep();
    /// Closes all connections.
    void clear();

private:
    struct IdleConnection {
        std::shared_ptr<HttpStream> stream;
        SteadyTime idleSince;
        SteadyTime expiry;
    };

    const std::size_t m_idlePerInstance;
    const Duration m_idleTimeout;
    std::mutex m_mutex;
    /// Ordered by idle time, longest first.
    std::map<InstanceId, std::deque<IdleConnection>> m_idle;
};

} // namespace laburnum::pvt
