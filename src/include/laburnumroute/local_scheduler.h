/// Selects instances with the knowledge of one host: while the fleet scheduler is unreachable, and
/// to keep requests off network paths that only this host finds broken. No I/O.
///
/// Load pattern: many hosts lose the control hosts at once for many seconds, while instances turn
/// gray. Each host estimates the health of instances from its own outcomes and those that its
/// neighbours report, and draws among the good instances at random, so that hosts with the same
/// estimates do not all select the same instance.
///
/// Load pattern: requests fail everywhere while all hosts place locally (lost answers, instances
/// that fail in turn). Hosts only learn of failures, treat most of a service as doubtful and crowd
/// onto the rest, while recovered instances stay idle. Therefore a share of each host's requests
/// goes to all instances regardless of cost, except within three seconds of a failure.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <laburnumroute/health_estimator.h>
#include <laburnumroute/host_location.h>
#include <laburnumroute/instance.h>
#include <laburnumroute/local_rate_limits.h>
#include <laburnumroute/placement_types.h>
#include <laburnumroute/random.h>
#include <laburnumroute/retry_window.h>

namespace laburnum {

/// Not thread-safe; `now` never goes back.
class LocalScheduler {
public:
    LocalScheduler(HostLocation location, std::uint64_t seed);

    void upsert(const InstanceRecord& record);
    void remove(const InstanceId& id);
    const InstanceRecord* find(const InstanceId& id) const;
    const std::map<InstanceId, InstanceRecord>& instances() const noexcept { return m_records; }
    /// Replaces the fleet scheduler's latest list of doubtful instances.
    void setDoubtfulInstances(const std::vector<InstanceId>& ids, TimePoint now);

    /// An attempt of this host at `id` began, or ended.
    void begin(const InstanceId& id) { ++m_inFlight[id]; }
    void end(const InstanceId& id, const PlacementReport& report, TimePoint now);
    /// An attempt of this host at `id` is still without an answer after `elapsed`.
    void reportOverdue(const InstanceId& id, Duration elapsed, TimePoint now);
    /// Another host reported how its attempt at `id` ended.
    void onPeerOutcome(const InstanceId& id, PlacementOutcome outcome, TimePoint now);
    /// Instances that did not answer this host, or refused its connection, in the last few
    /// seconds, without a success since. Other hosts' reports do not count.
    std::vector<InstanceId> unreachableInstances(TimePoint now) const;

    /// Whether the instance itself wants no requests of this host: it responded that it is leaving,
    /// until it starts again, or that it pauses, until then. Holds whoever places the request.
    bool isClosed(const InstanceId& id, TimePoint now) const;
    /// The known instances of `service` for which isClosed() holds.
    std::vector<InstanceId> closedInstances(const ServiceId& service, TimePoint now) const;

    /// Whether the statement is of the known start of its instance.
    bool isCurrent(const InstanceRateLimit& limit) const;
    LocalRateLimits& rateLimits() noexcept { return m_rateLimits; }
    const LocalRateLimits& rateLimits() const noexcept { return m_rateLimits; }

    /// Draws an instance for `request`, preferring low cost.
    std::optional<InstanceId> choose(const PlacementRequest& request, TimePoint now);
    /// After choose() found none: if rate limits are the reason, the time after which some host may
    /// place a request at one of the instances.
    std::optional<Duration> rateLimitDelay(const PlacementRequest& request, TimePoint now) const;
    /// Sets the retry budget of the whole fleet; to be called before the first request.
    void setRetryBudget(const RetryBudgetLimits& budget) { m_retryBudget = budget; }
    /// Takes one retry from this host's share of the budget (RetryBudgetShares).
    bool takeRetry(const ServiceId& service, TimePoint now);
    /// Counts a new request: in full when choose() follows at the same time, otherwise as one that
    /// was sent to the fleet scheduler.
    void onRequest(const ServiceId& service, TimePoint now);

private:
    void recordClosure(const InstanceId& id, const PlacementReport& report, TimePoint now);
    void recordOutcome(const InstanceId& id, const PlacementReport& report, TimePoint now);
    bool fits(const InstanceRecord& record, const PlacementRequest& request, TimePoint now) const;
    RetryWindow& retryWindow(const ServiceId& service);
    double cost(const InstanceRecord& record, const PlacementRequest& request, TimePoint now) const;
    std::uint32_t inFlight(const InstanceId& id) const;
    bool isPathBroken(const InstanceId& id, TimePoint now) const;
    double explorationWeight(const InstanceRecord& record, TimePoint now) const;

    /// Retries per request that the fleet's budget allows unless it is set.
    static constexpr double defaultRetryRatio = 0.2;

    HostLocation m_location;
    Random m_random;
    std::map<InstanceId, InstanceRecord> m_records;
    std::map<InstanceId, std::uint32_t> m_inFlight;
    std::map<InstanceId, HealthEstimator> m_estimators;
    std::map<InstanceId, TimePoint> m_pathBrokenUntil;
    std::map<InstanceId, TimePoint> m_lastFailure;
    /// Incarnation of each instance that responded that it is leaving.
    std::map<InstanceId, std::uint64_t> m_leaving;
    std::map<InstanceId, TimePoint> m_pausedUntil;
    LocalRateLimits m_rateLimits;
    std::set<InstanceId> m_doubtful;
    TimePoint m_doubtfulAt {};
    RetryBudgetLimits m_retryBudget { defaultRetryRatio };
    std::map<ServiceId, RetryWindow> m_retryWindows;
    std::optional<std::pair<ServiceId, TimePoint>> m_latestRequest;
};

} // namespace laburnum
