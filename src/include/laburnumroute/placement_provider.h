/// Interface through which the request path gets a placement for each attempt in a fleet with
/// control hosts.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include <laburnumroute/configuration.h>
#include <laburnumroute/instance.h>
#include <laburnumroute/placement_types.h>

namespace laburnum {

/// How to serve a request according to its route.
struct RequestPlan {
    /// The route's name, for logs.
    std::string route;
    ServiceId service;
    RequestKind kind = RequestKind::Unsafe;
    Duration timeout {};
    Duration objective {};
    std::uint32_t priority = 0;
    std::uint32_t attempts = 1;
    /// Number of the configuration that the route belongs to; empty without one.
    std::optional<std::uint64_t> configNumber;
    /// Empty when the request needs no account.
    ClientAccountId account;
    /// Identifies the account key in logs; empty without an account.
    std::string keyFingerprint;
    /// The configuration has accounts: instances get neither the account key nor an account name
    /// that the caller sent.
    bool removesAccountFields = false;
};

/// What plan() needs to know about a request.
struct PlanQuery {
    std::string method;
    /// Host name in the request; may have a port.
    std::string host;
    std::string target;
    /// Values of the request's account key fields.
    std::vector<std::string_view> accountKeys;
};

/// Why a request has no plan.
enum class PlanRefusal {
    /// No configuration is in force yet.
    NoConfiguration,
    /// No route matches.
    NoRoute,
    /// The route needs an account key and the request has none.
    KeyMissing,
    /// The request has more than one account key.
    KeyRepeated,
    /// The account key belongs to no account.
    KeyUnknown,
    /// The latest confirmation that the account keys are up to date is too old.
    KeyUnconfirmed,
    /// As KeyUnconfirmed, but the first confirmation is expected within a round trip.
    KeyConfirmationPending,
};

/// The result of one dispatch.
struct AttemptPlacement {
    DispatchId dispatch;
    /// Empty when refused.
    std::optional<InstanceRecord> instance;
    PlacementRefusal refusal = PlacementRefusal::None;
    /// Time after which to retry, if refused.
    Duration delay {};
    /// Placed locally, without the fleet scheduler.
    bool alone = false;
};

/// To be used from the request path's thread only.
class PlacementProvider {
public:
    using Done = std::function<void(const AttemptPlacement&)>;

    virtual ~PlacementProvider() = default;
    virtual tl::expected<RequestPlan, PlanRefusal> plan(const PlanQuery& query) = 0;
    /// Requests a placement. `done` is called once, possibly before this returns, unless cancel()
    /// is called first.
    virtual DispatchId dispatch(PlacementRequest request, Done done) = 0;
    virtual void cancel(DispatchId dispatch) = 0;
    /// Reports that the attempt is still without an answer after `elapsed`, its hedge delay.
    virtual void reportOverdue(DispatchId dispatch, Duration elapsed) = 0;
    /// The head of a response to the placed attempt, which was sent `sinceSent` ago, named this
    /// rate limit of its instance, or none.
    virtual void reportRateLimit(
        DispatchId /*dispatch*/, std::optional<double> /*perSecond*/, Duration /*sinceSent*/)
    {
    }
    /// Ends a placed attempt.
    virtual void end(DispatchId dispatch, const PlacementReport& report) = 0;
    /// Calls `ready` at the next change of the configuration or first confirmation of its account
    /// keys; stopWaiting() with the returned id cancels.
    virtual std::uint64_t awaitConfiguration(std::function<void()> ready) = 0;
    virtual void stopWaiting(std::uint64_t waiter) = 0;
    /// Number of the configuration in force, if there is one.
    virtual std::optional<std::uint64_t> configNumber() const { return std::nullopt; }
    /// Limits on what callers may send, from the configuration in force.
    virtual CallerLimits limits() const = 0;
};

} // namespace laburnum
