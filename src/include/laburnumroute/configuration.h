/// The declared configuration: what operators create and every host puts in force.
/// Aggregates only; readConfiguration() fills them, printConfiguration() writes them back.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <laburnumroute/clock.h>
#include <laburnumroute/findings.h>
#include <laburnumroute/ids.h>

namespace laburnum {

/// How a service weighs detection time against false ejections.
enum class DetectionWeighting {
    /// Eject on strong evidence only.
    FewFalseEjections,
    /// Eject early; a wrong ejection costs less than a slow one.
    QuickDetection,
};

/// One service and the rules for its capacity.
struct ServiceSpec {
    ServiceId name;
    /// Healthy capacity, in slots, below which ejections never take the service.
    std::uint32_t floorSlots = 0;
    DetectionWeighting weighting = DetectionWeighting::FewFalseEjections;
    /// Name of a registered balancer.
    std::string balancer = "least-in-flight";
    /// Time after which a request without an answer is given up.
    Duration deadline = std::chrono::seconds(10);
    /// Retries allowed, as a percentage of requests.
    std::uint32_t retryPercent = 10;
    /// Requests that one host lets wait for a free slot.
    std::uint32_t queueLimit = 16;

    friend bool operator==(const ServiceSpec&, const ServiceSpec&) = default;
};

/// What may be repeated of a route's requests.
enum class RequestKind {
    /// By the request's method, as RFC 9110 says.
    ByMethod,
    /// May run more than once.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// Runs at most once and has a large body.
    Upload,
};

/// One part of a route that divides its requests.
struct WeightedService {
    ServiceId service;
    /// Relative to the sum of all parts' weights.
    std::uint32_t weight = 1;

    friend bool operator==(const WeightedService&, const WeightedService&) = default;
};

/// Sends requests that match to a service. The longest matching prefix wins.
struct RouteSpec {
    /// Host name of the request, without port; empty matches every host.
    std::string host;
    /// Path prefix, matched at segment borders.
    std::string prefix = "/";
    /// Methods; empty matches every method.
    std::vector<std::string> methods;
    /// Empty when the route is split.
    ServiceId service;
    /// The operators' name of the route, for logs; may be empty.
    std::string name;
    /// Parts among which requests are divided; empty when the route has one service.
    std::vector<WeightedService> split;
    RequestKind kind = RequestKind::ByMethod;
    /// Longest time that a caller is kept waiting; zero takes the service's deadline.
    Duration timeout {};
    /// Time within which an answer has its full value; zero when not declared.
    Duration objective {};
    /// Rank when there is not room for all; 0 goes first.
    std::uint32_t priority = 0;
    /// Most instances that one request may run on.
    std::uint32_t attempts = 2;

    friend bool operator==(const RouteSpec&, const RouteSpec&) = default;
};

/// What a caller may send, and how long it may take or stay idle.
struct CallerLimits {
    std::uint32_t headBytes = 32 * 1024;
    /// Bytes of a request's body; 0 sets no limit.
    std::uint64_t bodyBytes = 0;
    Duration headTimeout = std::chrono::seconds(10);
    Duration idleTimeout = std::chrono::seconds(75);

    friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/// Everything that one revision declares.
struct Configuration {
    std::vector<ServiceSpec> services;
    std::vector<RouteSpec> routes;
    CallerLimits limits;

    friend bool operator==(const Configuration&, const Configuration&) = default;
};

/// What the reader is told besides the text. Checks whose facts are missing are left out.
struct ConfigContext {
    /// Names of the linked balancers; empty when they are not known.
    std::vector<std::string> balancers;
    /// Slots that the instances of each service announced, as a control host knows them.
    std::map<ServiceId, std::uint64_t> announcedSlots;
};

/// Reads TOML `text`. Every problem goes to `findings` with its place in `fileName`; the result is
/// usable only when `findings` has no errors.
Configuration readConfiguration(std::string_view text, const std::string& fileName,
    Findings& findings, const ConfigContext& context = {});

/// Writes `configuration` as TOML that readConfiguration() reads back to the same value.
std::string printConfiguration(const Configuration& configuration);

/// The spelling of `kind` in TOML.
const char* requestKindName(RequestKind kind) noexcept;
/// The spelling of `weighting` in TOML.
const char* detectionWeightingName(DetectionWeighting weighting) noexcept;

} // namespace laburnum
