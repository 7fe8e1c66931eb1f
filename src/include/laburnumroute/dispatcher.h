/// The dispatcher: decides which instance gets which request at one host, and learns from outcomes.
/// A state machine without I/O: time, randomness and instance records come in as arguments.
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
#include <laburnumroute/host_place.h>
#include <laburnumroute/instance.h>
#include <laburnumroute/random.h>
#include <laburnumroute/retry_budget.h>
#include <laburnumroute/route_table.h>
#include <laburnumroute/wait_queue.h>

namespace laburnum {

/// What the dispatcher needs to know of a request.
struct RequestAttributes {
    std::string method;
    std::string host;
    std::string target;
};

/// True for methods that RFC 9110 defines as idempotent.
bool isIdempotentMethod(std::string_view method) noexcept;

/// Permission for one attempt at one instance; ended by Dispatcher::finish().
struct Assignment {
    AttemptId attempt;
    ServiceId service;
    InstanceId instance;
    Endpoint endpoint;
    /// Time that the whole request may take from its arrival.
    Duration deadline {};
};

/// Why a request was refused before any attempt. A refused request was not run.
enum class RefusalReason {
    NoRoute,
    /// No instance of the service is known and serving.
    NoInstance,
    /// All instances that the request may go to are full; it may wait by Dispatcher::enqueue().
    NoSlot,
    /// As many requests wait already as the service allows.
    QueueFull,
    /// The expected wait is longer than the time that remains to the request's deadline.
    WaitTooLong,
};

/// Stable word for `reason`, as it stands in logs and response headers.
const char* refusalName(RefusalReason reason) noexcept;

/// How an attempt ended.
enum class AttemptResult {
    /// A whole answer that the instance is responsible for and that is no server error.
    Succeeded,
    /// A server error, a broken or malformed answer.
    Failed,
    /// No answer within the time allowed.
    TimedOut,
    /// The connection could not be opened; the request did not leave this host.
    NotConnected,
    /// The instance said that it is full; it did not run the request.
    Shed,
    /// The caller went away or sent a malformed body; says nothing of the instance.
    CallerFault,
};

/// What the shell knows of an attempt that ended.
struct AttemptReport {
    AttemptResult result = AttemptResult::Succeeded;
    /// Status of the answer; 0 when no answer head arrived.
    unsigned status = 0;
    /// Time from the attempt's start to the head of the answer, or to its end without one.
    Duration latency {};
    /// Bytes of bodies and heads that passed both ways.
    std::uint64_t bytes = 0;
};

namespace pvt {
    class InstancePool;
    struct PooledInstance;
}

/// Not thread-safe; the shell serializes calls.
class Dispatcher final : public TrafficView {
public:
    Dispatcher(HostPlace place, std::uint64_t seed, DecisionLog& log);
    ~Dispatcher() override;

    /// Puts `configuration` in force for the requests that begin from now on.
    void setConfiguration(const Configuration& configuration);
    /// Adds or renews an instance.
    void upsertInstance(const InstanceRecord& record, TimePoint now);
    /// Forgets an instance; attempts in flight at it may still finish.
    void removeInstance(const InstanceId& id, TimePoint now);
    /// Number of hosts that share an instance's connections; 1 unless set.
    void setHostCount(unsigned hosts) noexcept { m_hosts = hosts; }
    /// This host's share of the bandwidth to each other region.
    void setCrossRegionLimit(std::uint64_t bytesPerSecond) { m_meter.setLimit(bytesPerSecond); }

    /// Chooses an instance, excluding those in `tried`.
    tl::expected<Assignment, RefusalReason> begin(
        const RequestAttributes& request, const std::set<InstanceId>& tried, TimePoint now);
    /// Ends an attempt that begin() granted and returns the waiters that should call begin() now;
    /// they wait no longer. Unknown attempts are ignored.
    std::vector<WaiterId> finish(AttemptId attempt, const AttemptReport& report, TimePoint now);
    /// Takes one retry from the service's budget; false when the budget is used up. Call it before
    /// each begin() of a request after its first.
    bool takeRetry(const ServiceId& service, TimePoint now);

    /// Lets a request wait after begin() refused it with NoSlot, or refuses it at once (QueueFull,
    /// WaitTooLong). The waiter waits until finish() or wakeWaiters() returns it, abandon() or
    /// `deadline`; a waiter whose begin() is refused again may enqueue again.
    tl::expected<WaiterId, RefusalReason> enqueue(
        const RequestAttributes& request, TimePoint deadline, TimePoint now);
    /// Takes a waiter out of its queue; for callers that went away and deadlines that passed.
    void abandon(WaiterId waiter);
    /// Waiters for whom room came up otherwise than by finish(), such as by a new instance or a
    /// lapsed permit; they wait no longer. To be called every 50 ms or so.
    std::vector<WaiterId> wakeWaiters(TimePoint now);

    /// What begin() would weigh for `request` now. Changes nothing.
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
        /// Counted as slow already while it was still in flight.
        bool overdue = false;
    };
    /// What one look over a service's instances gave.
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

    HostPlace m_place;
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
