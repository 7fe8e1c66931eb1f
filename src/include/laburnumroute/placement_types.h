/// What entry hosts and the fleet's view of instances say to each other about one attempt.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include <laburnumroute/clock.h>
#include <laburnumroute/configuration.h>
#include <laburnumroute/ids.h>

namespace laburnum {

/// A connection of an entry host, as the control host numbers it.
using LinkId = StrongId<struct LinkTag, std::uint64_t>;
/// One dispatch for a place; unique within an entry host's process.
using DispatchId = StrongId<struct AskTag, std::uint32_t>;

/// An dispatch at a control host.
struct DispatchKey {
    LinkId link;
    DispatchId dispatch;

    friend auto operator<=>(const DispatchKey&, const DispatchKey&) = default;
};

/// What is asked for.
struct PlacementRequest {
    DispatchKey key;
    ServiceId service;
    RequestKind kind = RequestKind::Unsafe;
    /// 0 goes first.
    std::uint32_t priority = 0;
    /// Size of the request's body as far as it is known, in KiB.
    std::uint32_t bodyKiB = 0;
    /// Time until the caller gives up.
    Duration remaining {};
    /// Time within which an answer has its full value; zero when not declared.
    Duration objective {};
    /// The request has reached an instance before.
    bool retry = false;
    /// The request asked before, also without reaching an instance.
    bool resubmitted = false;
    /// An attempt of the request is at work. A place isHedge it is taken only where one is free;
    /// without one the request has lost nothing.
    bool isHedge = false;
    /// Where the asking host stands.
    DataCentreId dataCentre;
    RegionId region;
    /// Instances that the request must not go to.
    std::vector<InstanceId> avoid;
};

/// Why there is no place.
enum class PlacementRefusal : std::uint8_t {
    None = 0,
    /// No instance of the service is known and serving.
    NoInstance = 1,
    /// Nothing can be free in time.
    Busy = 2,
    /// The fleet's budget of repeats is used up.
    NoBudget = 3,
};

/// The stable word for `refusal` in logs.
const char* placementRefusalName(PlacementRefusal refusal) noexcept;

enum class PlacementReplyKind : std::uint8_t { Granted = 0, Refused = 1, Waiting = 2 };

/// An answer to an dispatch.
struct PlacementReply {
    PlacementReplyKind kind = PlacementReplyKind::Granted;
    DispatchKey key;
    /// Set when granted.
    InstanceId instance;
    /// Set when refused.
    PlacementRefusal refusal = PlacementRefusal::None;
    /// When to come back, if refused; how long the wait may take, if waiting.
    Duration delay {};
};

/// How an attempt ended, as the fleet's view needs to know.
enum class PlacementOutcome : std::uint8_t {
    /// A whole answer that is no failure of the instance.
    Success = 0,
    /// A server error, a broken or malformed answer.
    Failure = 1,
    /// The instance said that it did not run the request.
    Shed = 2,
    /// The time ran out without an answer.
    TimedOut = 3,
    /// The connection was refused.
    Refused = 4,
    /// No connection was opened in time.
    Unreachable = 5,
    /// The caller left, or the place was not used: says nothing of the instance.
    Unused = 6,
};

/// The report that ends a place.
struct PlacementReport {
    PlacementOutcome end = PlacementOutcome::Unused;
    /// From the attempt's start to the head of the answer, or to its end without one.
    Duration latency {};
    /// Requests that the instance said it runs and keeps waiting; negative when it said nothing.
    std::int32_t reportedLoad = -1;
};

/// A place in use that its host tells to a new leader.
struct ActivePlacement {
    DispatchKey key;
    InstanceId instance;
    ServiceId service;
    /// How long the attempt has run.
    Duration age {};
    /// Time until the attempt ends at the latest.
    Duration remaining {};
};

} // namespace laburnum
