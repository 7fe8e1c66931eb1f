/// Selects the instance for each request at one host, and records outcomes. A state machine without
/// I/O: time, random seed and instance records are passed in.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <tl/expected.hpp>

#include <laburnumroute/balancer.h>
#include <laburnumroute/clock.h>
#include <laburnumroute/configuration.h>
#include <laburnumroute/cross_region_meter.h>
#include <laburnumroute/decision.h>
#include <laburnumroute/ejection.h>
#include <laburnumroute/explanation.h>
#include <laburnumroute/host_location.h>
#include <laburnumroute/instance.h>
#include <laburnumroute/random.h>
#include <laburnumroute/retry_budget.h>
#include <laburnumroute/route_table.h>
#include <laburnumroute/wait_queue.h>

namespace laburnum {

/// Attributes of a request that determine its route.
struct RequestAttributes {
    std::string method;
    std::string host;
    std::string target;
};

/// Returns true for methods that RFC 9110 defines as idempotent.
bool isIdempotentMethod(std::string_view method) noexcept;

/// Permission for one attempt at one instance; ended by Dispatcher::finish().
struct Assignment {
    AttemptId attempt;
    ServiceId service;
    InstanceId instance;
    Endpoint endpoint;
    /// Time allowed for the whole request from its arrival.
    Duration deadline {};
};

/// Why a request was refused before an attempt. A refused request was not executed.
enum class RefusalReason {
    NoRoute,
    /// No instance of the service is known and serving.
    NoInstance,
    /// All eligible instances are full; the request may wait, see Dispatcher::enqueue().
    NoSlot,
    /// The service's wait queue is full.
    QueueFull,
    /// The expected wait exceeds the time to the request's deadline.
    WaitTooLong,
};

/// Stable name of `reason` in logs and response headers.
const char* refusalName(RefusalReason reason) noexcept;

/// How an attempt ended.
enum class AttemptResult {
    /// A complete answer other than a server error.
    Succeeded,
    /// A server error, or a broken or malformed answer.
    Failed,
    /// No answer within the time allowed.
    TimedOut,
    /// The connection could not be opened; the request did not leave this host.
    NotConnected,
    /// The instance declined because it is full; it did not run the request.
    Shed,
    /// The caller disconnected or sent a malformed body; no evidence about the instance.
    CallerFault,
};

/// The outcome of an attempt.
struct AttemptReport {
    AttemptResult result = AttemptResult::Succeeded;
    /// HTTP status; 0 when no response head arrived.
    unsigned status = 0;
    /// From the attempt's start to the response head, or to the attempt's end without one.
    Duration latency {};
    /// Bytes of heads and bodies in both directions.
    std::uint64_t bytes = 0;
};

namespace pvt {
    class InstancePool;
    struct PooledInstance;
}

/// Not thread-safe; see SynchronizedDispatcher.
class Dispatcher final : public TrafficView {
public:
    Dispatcher(HostLocation location, std::uint64_t seed, DecisionLog& log);
    ~Dispatcher() override;

    /// Applies `configuration` to requests that begin from now on.
    void setConfiguration(const Configuration& configuration);
    /// Adds or updates an instance.
    void upsertInstance(const InstanceRecord& record, TimePoint now);
    /// Removes an instance; attempts in flight at it may still finish.
    void removeInstance(const InstanceId& id, TimePoint now);
    /// Sets the number of hosts that share an instance's connections; default 1.
    void setHostCount(unsigned hosts) noexcept { m_hosts = hosts; }
    /// Sets this host's share of the bandwidth to each other region.
    void setCrossRegionLimit(std::uint64_t bytesPerSecond) { m_meter.setLimit(bytesPerSecond); }

    /// Selects an instance, excluding those in `tried`, and starts an attempt.
    tl::expected<Assignment, RefusalReason> begin(
        const RequestAttributes& request, const std::set<InstanceId>& tried, TimePoint now);
    /// Ends an attempt started by begin(). Returns the waiters that should call begin() now; they
    /// have left the queue. Unknown attempts are ignored.
    std::vector<WaiterId> finish(AttemptId attempt, const AttemptReport& report, TimePoint now);
    /// Takes one retry from the service's budget; returns false if the budget is used up. To be
    /// called before every begin() of a request but the first.
    bool takeRetry(const ServiceId& service, TimePoint now);

    /// Queues a request that begin() refused with NoSlot, or refuses it at once (QueueFull,
    /// WaitTooLong). The waiter stays queued until finish() or wakeWaiters() returns it, abandon()
    /// is called, or `deadline` passes. A waiter whose begin() is refused again may enqueue again.
    tl::expected<WaiterId, RefusalReason> enqueue(
        const RequestAttributes& request, TimePoint deadline, TimePoint now);
    /// Removes a waiter whose caller disconnected or whose deadline passed.
    void abandon(WaiterId waiter);
    /// Returns the waiters for which capacity became available other than by finish(), as through a
    /// new instance or an expired permit; they have left the queue. To be called about every 50 ms.
    std::vector<WaiterId> wakeWaiters(TimePoint now);

    /// Explains how begin() would select an instance for `request` now, without side effects.
    Explanation explain(const RequestAttributes& request, TimePoint now) const;
    /// Bytes sent to and received from other regions, by region.
    std::map<RegionId, std::uint64_t> crossRegionBytes() const { return m_meter.totals(); }

    std::vector<ServiceSpec> declaredServices() const override;
    ServingSlots servingSlots(const ServiceId& service) const override;
    std::vector<EvidenceDelta> takeEvidence(TimePoint now) override;
    void applyPermits(const ServiceId& service, const PermitSet& permits, TimePoint now) override;

private:
    struct Service;
    struct Attempt {
        ServiceId service;
        InstanceId instance;
        RegionId region;
        TimePoint start;
        /// Already counted as slow while in flight.
        bool overdue = false;
    };
    /// Result of select().
    struct Selection {
        std::vector<Candidate> candidates;
        std::size_t distance = 0;
        bool anyServing = false;
        bool onTrial = false;
    };

    pvt::InstancePool& poolOf(const ServiceId& service);
    Service* serviceOf(const RequestAttributes& request);
    void refreshStandings(const ServiceId& service, TimePoint now);
    Selection select(const Service& service, const RequestAttributes& request,
        const std::set<InstanceId>& tried, TimePoint now);
    std::vector<Candidate> candidatesAt(const std::vector<pvt::PooledInstance*>& tier,
        bool idempotent, const std::set<InstanceId>& tried, TimePoint now);
    pvt::PooledInstance* dueTrial(const Service& service, TimePoint now);
    std::size_t freeSlots(const ServiceId& service, TimePoint now) const;
    void countOutcome(const Attempt& attempt, pvt::PooledInstance& instance,
        const AttemptReport& report, TimePoint now);
    void countOverdue(TimePoint now);
    void recordRoute(const RequestAttributes& request, const Assignment& assignment,
        const Selection& selection, const Candidate& candidate);
    void recordRefusal(
        const RequestAttributes& request, RefusalReason reason, const Service* service);
    void recordStanding(const ServiceId& service, const pvt::PooledInstance& instance);

    HostLocation m_location;
    Random m_random;
    DecisionLog& m_log;
    RouteTable m_routes;
    unsigned m_hosts = 1;
    CrossRegionMeter m_meter;
    std::map<ServiceId, Service> m_services;
    std::map<ServiceId, std::unique_ptr<pvt::InstancePool>> m_pools;
    std::unordered_map<InstanceId, ServiceId> m_serviceOfInstance;
    std::unordered_map<AttemptId, Attempt> m_attempts;
    AttemptId m_lastAttempt;
    WaiterId m_lastWaiter;
};

} // namespace laburnum
