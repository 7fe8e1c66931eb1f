/// HTTP endpoints of a laburnumd process besides the request path: announcements, health and
/// metrics on the unauthenticated listener, operators' calls on the signed one
/// (docs/operators-api.md).
#pragma once

#include <atomic>
#include <functional>

#include <laburnumroute/admin_server.h>
#include <laburnumroute/synchronized_dispatcher.h>

#include "control_role.h"
#include "fleet_role.h"

namespace laburnum {

/// Objects that the endpoints use; null where the process does not have the role.
struct ApiContext {
    const Settings& settings;
    FleetRole& fleet;
    ControlRole* control = nullptr;
    SynchronizedDispatcher& sharedDispatcher;
    /// False once a planned stop has begun.
    const std::atomic<bool>& serving;
    /// Renders all metrics of the process in the Prometheus text format.
    std::function<std::string()> renderMetrics;
};

/// Registers announcements, health, readiness, metrics and status.
void registerPublicCalls(AdminServer& server, const ApiContext& api);
/// Registers operators' calls; `api.control` must not be null.
void registerOperatorCalls(AdminServer& server, const ApiContext& api);

} // namespace laburnum
