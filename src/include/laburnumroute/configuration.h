/// The configuration that operators declare and every host applies. Its parts are aggregates that
/// readConfiguration() reads from TOML and printConfiguration() writes back.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <laburnumroute/clock.h>
#include <laburnumroute/findings.h>
#include <laburnumroute/ids.h>

namespace laburnum {

/// A service's trade-off between the time to detect gray instances and false ejections; the key
/// `weighting` in TOML.
enum class DetectionWeighting {
    /// Ejects on strong evidence only.
    FewFalseEjections,
    /// Ejects early: for this service a false ejection costs less than a late one.
    QuickDetection,
};

/// One service with its limits and policies.
struct ServiceSpec {
    ServiceId name;
    /// Healthy capacity in slots; ejections never reduce the service below it.
    std::uint32_t floorSlots = 0;
    DetectionWeighting weighting = DetectionWeighting::FewFalseEjections;
    /// Name of a balancer in the BalancerRegistry.
    std::string balancer = "least-in-flight";
    /// A request that is not answered within this time fails.
    Duration deadline = std::chrono::seconds(10);
    /// Retry budget, as a percentage of requests.
    std::uint32_t retryPercent = 10;
    /// Most requests that may wait for a free slot at one host.
    std::uint32_t queueLimit = 16;

    friend bool operator==(const ServiceSpec&, const ServiceSpec&) = default;
};

/// Whether a route's requests may be retried after an instance may have run them.
enum class RequestKind {
    /// Depends on the request's method, by RFC 9110.
    ByMethod,
    /// May run more than once.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// Runs at most once and has a large body.
    Upload,
};

/// One service of a route that splits its requests among several.
struct WeightedService {
    ServiceId service;
    /// Its share of the requests, relative to the sum of the weights in the split.
    std::uint32_t weight = 1;

    friend bool operator==(const WeightedService&, const WeightedService&) = default;
};

/// Assigns matching requests to a service, or splits them among services. The longest matching
/// prefix wins.
struct RouteSpec {
    /// Host of the request, with or without a port (host_name.h); empty matches every host.
    std::string host;
    /// Path prefix; matches whole path segments.
    std::string prefix = "/";
    /// Methods; empty matches every method.
    std::vector<std::string> methods;
    /// Empty when the route has a split.
    ServiceId service;
    /// Name of the route in logs; may be empty.
    std::string name;
    /// Services among which the requests are split; empty when the route has one service.
    std::vector<WeightedService> split;
    RequestKind kind = RequestKind::ByMethod;
    /// Deadline of a request; zero stands for the service's deadline.
    Duration timeout {};
    /// Target response time; a later answer is worth less to the caller. Zero when not declared.
    Duration objective {};
    /// Rank of the requests when slots are short; 0 is served first.
    std::uint32_t priority = 0;
    /// Most instances that may run one request, the first attempt included.
    std::uint32_t attempts = 2;
    /// Requests need no account key. Without accounts in the configuration no route needs one.
    bool anonymous = false;

    friend bool operator==(const RouteSpec&, const RouteSpec&) = default;
};

/// A client account: callers that share keys and a usage cap.
struct ClientAccountSpec {
    ClientAccountId name;
    /// Secrets; each belongs to one account only.
    std::vector<std::string> keys;
    /// Goes before the priority of the route.
    std::optional<std::uint32_t> priority;
    /// Requests per second over all hosts; 0 sets no cap.
    std::uint32_t ratePerSecond = 0;
    /// Requests allowed beyond the rate at once.
    std::uint32_t burst = 0;

    friend bool operator==(const ClientAccountSpec&, const ClientAccountSpec&) = default;
};

/// Limits on a caller's connection and requests; the table `[limits]` in TOML.
struct CallerLimits {
    /// Most bytes of a request's head: the request line and the header fields.
    std::uint32_t headBytes = 32 * 1024;
    /// Most bytes of a request's body; 0 sets no limit.
    std::uint64_t bodyBytes = 0;
    /// Time within which a request's head must arrive.
    Duration headTimeout = std::chrono::seconds(10);
    /// Time after which a connection without a request is closed.
    Duration idleTimeout = std::chrono::seconds(75);

    friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// The content of one configuration revision.
struct Configuration {
    std::vector<ServiceSpec> services;
    std::vector<RouteSpec> routes;
    CallerLimits limits;
    /// Empty when requests need no account.
    std::vector<ClientAccountSpec> accounts;

    friend bool operator==(const Configuration&, const Configuration&) = default;
};

/// What readConfiguration() checks the text against. A check whose data is missing is skipped.
struct ConfigContext {
    /// Names of the registered balancers; empty when they are not known.
    std::vector<std::string> balancers;
    /// Total slots announced by the instances of each service, as known to a control host.
    std::map<ServiceId, std::uint64_t> announcedSlots;
    /// Set by hosts of a listed fleet, which does not enforce accounts: accounts and anonymous
    /// routes are errors.
    bool refusesAccounts = false;
};

/// Reads TOML `text`. Problems go to `findings` with their location in `fileName`; the result is
/// usable only when `findings` has no errors.
Configuration readConfiguration(std::string_view text, const std::string& fileName,
    Findings& findings, const ConfigContext& context = {});

/// Prints `configuration` as TOML; readConfiguration() reads an equal configuration from it.
std::string printConfiguration(const Configuration& configuration);

/// The value of the key `kind` in TOML.
const char* requestKindName(RequestKind kind) noexcept;
/// The value of the key `weighting` in TOML.
const char* detectionWeightingName(DetectionWeighting weighting) noexcept;

} // namespace laburnum
