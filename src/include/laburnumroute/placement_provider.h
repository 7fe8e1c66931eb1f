/// Where the request path asks for the place of each attempt when the whole fleet decides.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include <tl/expected.hpp>

#include <laburnumroute/configuration.h>
#include <laburnumroute/instance.h>
#include <laburnumroute/placement_types.h>

namespace laburnum {

/// What the route of a request says.
struct RequestPlan {
    /// The route's name, for logs.
    std::string route;
    ServiceId service;
    RequestKind kind = RequestKind::Unsafe;
    Duration timeout {};
    Duration objective {};
    std::uint32_t priority = 0;
    std::uint32_t attempts = 1;
    /// Number of the configuration that said so.
    std::uint64_t configNumber = 0;
};

/// Why there is no plan.
enum class PlanRefusal {
    /// No configuration is known yet.
    NoConfiguration,
    /// No route matches.
    NoRoute,
};

/// The answer to one dispatch.
struct AttemptPlacement {
    DispatchId dispatch;
    /// Nothing when refused.
    std::optional<InstanceRecord> instance;
    PlacementRefusal refusal = PlacementRefusal::None;
    Duration delay {};
    bool alone = false;
};

/// Used from the request path's thread only.
class PlacementProvider {
public:
    using Done = std::function<void(const AttemptPlacement&)>;

    virtual ~PlacementProvider() = default;
    virtual tl::expected<RequestPlan, PlanRefusal> plan(
        const std::string& method, const std::string& host, const std::string& target)
        = 0;
    /// Asks for a place; `done` is called once, maybe before this returns, unless cancel() goes
    /// first.
    virtual DispatchId dispatch(PlacementRequest demand, Done done) = 0;
    virtual void cancel(DispatchId dispatch) = 0;
    /// The attempt has had no answer for `silence`, longer than attempts take, and goes on.
    virtual void reportOverdue(DispatchId dispatch, Duration silence) = 0;
    /// Ends an attempt that was placed.
    virtual void end(DispatchId dispatch, const PlacementReport& report) = 0;
    /// Calls `ready` once as soon as a configuration is in force, until stopWaiting().
    virtual std::uint64_t awaitConfiguration(std::function<void()> ready) = 0;
    virtual void stopWaiting(std::uint64_t waiter) = 0;
    /// What callers may send now.
    virtual CallerLimits limits() const = 0;
};

} // namespace laburnum
