/// The HTTP calls of a laburnumd process besides the request path: announcements, health and
/// metrics on the open listener, operators' calls on the signed one (docs/operators-api.md).
#pragma once

#include <atomic>
#include <functional>

#include <laburnumroute/admin_server.h>
#include <laburnumroute/synchronized_dispatcher.h>

#include "control_role.h"
#include "fleet_role.h"

namespace laburnum {

/// What the calls work on; null where the process does not have the role.
struct ApiParts {
    const Settings& settings;
    FleetRole& fleet;
    ControlRole* control = nullptr;
    SynchronizedDispatcher& table;
    /// False from the moment of a planned stop on.
    const std::atomic<bool>& serving;
    /// Prometheus text of everything that the process counts.
    std::function<std::string()> renderMetrics;
};

/// Registers announcements, health, readiness, metrics and status.
void registerOpenCalls(AdminServer& server, const ApiParts& parts);
/// Registers operators' calls; `parts.control` is not null.
void registerOperatorCalls(AdminServer& server, const ApiParts& parts);

} // namespace laburnum
