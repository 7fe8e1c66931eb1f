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
#include <laburnumroute/route_table.h>

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

/// Why a request was refused before any attempt.
enum class RefusalReason { NoRoute, NoInstance, NoSlot };

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
    /// Ends an attempt that begin() granted. Unknown attempts are ignored.
    void finish(AttemptId attempt, AttemptResult result, TimePoint now);

private:
    struct Service;
    struct Instance;
    struct Attempt {
        ServiceId service;
        InstanceId instance;
    };

    std::vector<Candidate> candidatesOf(
        const Service& service, const std::set<InstanceId>& tried) const;
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
};

} // namespace laburnum
