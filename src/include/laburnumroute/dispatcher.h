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
#include <laburnumroute/decision.h>
#include <laburnumroute/host_place.h>
#include <laburnumroute/instance.h>
#include <laburnumroute/random.h>
#include <laburnumroute/retry_budget.h>
#include <laburnumroute/route_table.h>
#include <laburnumroute/wait_queue.h>

namespace laburnum {

/// What the dispatcher needs to know of a request.
struct RequestFacts {
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

/// Not thread-safe; the shell serializes calls.
class Dispatcher {
public:
    Dispatcher(HostPlace place, std::uint64_t seed, DecisionLog& log);
    ~Dispatcher();

    /// Puts `configuration` in force for the requests that begin from now on.
    void setConfiguration(const Configuration& configuration);
    /// Adds or renews an instance.
    void upsertInstance(const InstanceRecord& record, TimePoint now);
    /// Forgets an instance; attempts in flight at it may still finish.
    void removeInstance(const InstanceId& id, TimePoint now);

    /// Chooses an instance, excluding those in `tried`.
    tl::expected<Assignment, RefusalReason> begin(
        const RequestFacts& request, const std::set<InstanceId>& tried, TimePoint now);
    /// Ends an attempt that begin() granted and returns the waiters that should call begin() now;
    /// they wait no longer. Unknown attempts are ignored.
    std::vector<WaiterId> finish(AttemptId attempt, const AttemptReport& report, TimePoint now);
    /// Takes one retry from the service's budget; false when the budget is used up. Call it before
    /// each begin() of a request after its first.
    bool takeRetry(const ServiceId& service, TimePoint now);

    /// Lets a request wait after begin() refused it with NoSlot, or refuses it at once (QueueFull,
    /// WaitTooLong). The waiter waits until finish() returns it, abandon() or `deadline`; a waiter
    /// whose begin() is refused again may enqueue again.
    tl::expected<WaiterId, RefusalReason> enqueue(
        const RequestFacts& request, TimePoint deadline, TimePoint now);
    /// Takes a waiter out of its queue; for callers that went away and deadlines that passed.
    void abandon(WaiterId waiter);

private:
    struct Service;
    struct Instance;
    struct Attempt {
        ServiceId service;
        InstanceId instance;
    };

    std::vector<Candidate> candidatesOf(
        const Service& service, const std::set<InstanceId>& tried) const;
    bool hasInstance(const ServiceId& service) const;
    void recordRoute(
        const RequestFacts& request, const Assignment& assignment, std::size_t candidates);
    void recordRefusal(const RequestFacts& request, RefusalReason reason);

    HostPlace m_place;
    Random m_random;
    DecisionLog& m_log;
    RouteTable m_routes;
    std::map<ServiceId, Service> m_services;
    std::map<InstanceId, Instance> m_instances;
    std::unordered_map<AttemptId, Attempt> m_attempts;
    AttemptId m_lastAttempt;
    WaiterId m_lastWaiter;
};

} // namespace laburnum
