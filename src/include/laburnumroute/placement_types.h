/// Data that entry hosts and the fleet scheduler exchange about one attempt.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include <laburnumroute/clock.h>
#include <laburnumroute/configuration.h>
#include <laburnumroute/ids.h>

namespace laburnum {

/// Identifies an entry host's connection at a control host.
using LinkId = StrongId<struct LinkTag, std::uint64_t>;
/// Identifies one dispatch: an attempt's request for a slot and the placement granted for it.
/// Unique within an entry host's process.
using DispatchId = StrongId<struct DispatchTag, std::uint32_t>;

/// Identifies a dispatch at a control host.
struct DispatchKey {
    LinkId link;
    DispatchId dispatch;

    friend auto operator<=>(const DispatchKey&, const DispatchKey&) = default;
};

/// A request for a slot at an instance.
struct PlacementRequest {
    DispatchKey key;
    ServiceId service;
    RequestKind kind = RequestKind::Unsafe;
    /// 0 is the highest priority.
    std::uint32_t priority = 0;
    /// Size of the request's body as far as known, in KiB.
    std::uint32_t bodyKiB = 0;
    /// Time until the request's deadline.
    Duration remaining {};
    /// Latency objective of the route; zero when not declared.
    Duration objective {};
    /// The request has reached an instance before; counts against the retry budget.
    bool retry = false;
    /// The request was dispatched before, whether or not it reached an instance.
    bool resubmitted = false;
    /// Another attempt of the request is in flight. The hedge takes a free slot or is refused, but
    /// never waits: the request does not depend on it.
    bool isHedge = false;
    /// Location of the requesting entry host.
    DataCentreId dataCentre;
    RegionId region;
    /// Instances to exclude.
    std::vector<InstanceId> avoid;
    /// The caller's account; empty without one.
    ClientAccountId account;
};

/// Why a placement was refused.
enum class PlacementRefusal : std::uint8_t {
    None = 0,
    /// No instance of the service is known and serving.
    NoInstance = 1,
    /// No slot is expected to be free in time.
    Busy = 2,
    /// The fleet's retry budget is used up.
    NoBudget = 3,
    /// The account has used up its cap.
    OverCap = 4,
    /// The account asks for more than its share of what is free in time.
    OverShare = 5,
    /// The instances that serve named rate limits, which are used up.
    RateLimited = 6,
};

/// Stable name of `refusal` in logs and answers.
const char* placementRefusalName(PlacementRefusal refusal) noexcept;

enum class PlacementReplyKind : std::uint8_t { Granted = 0, Refused = 1, Waiting = 2 };

/// The reply to a dispatch.
struct PlacementReply {
    PlacementReplyKind kind = PlacementReplyKind::Granted;
    DispatchKey key;
    /// Set when granted.
    InstanceId instance;
    /// Set when refused.
    PlacementRefusal refusal = PlacementRefusal::None;
    /// Refused: time after which to retry. Waiting: maximum wait.
    Duration delay {};
};

/// How a placed attempt ended.
enum class PlacementOutcome : std::uint8_t {
    /// A complete answer that is no failure of the instance.
    Success = 0,
    /// A server error, or a truncated or malformed answer.
    Failure = 1,
    /// The instance declined and did not run the request.
    Shed = 2,
    /// No answer within the time allowed.
    TimedOut = 3,
    /// The connection was refused.
    Refused = 4,
    /// The connection was not established in time.
    Unreachable = 5,
    /// The caller disconnected, or the slot was not used; no evidence about the instance.
    Unused = 6,
};

/// The report that ends a placement.
struct PlacementReport {
    PlacementOutcome end = PlacementOutcome::Unused;
    /// From the attempt's start to the response head, or to the attempt's end without one.
    Duration latency {};
    /// Requests running and queued, as the instance reported; negative when not reported.
    std::int32_t reportedLoad = -1;
    /// The instance responded that it is leaving.
    bool isLeaving = false;
    /// The instance responded that it accepts no requests of this host for this long.
    Duration pause {};
    /// Time that a new connection to the instance took to open; zero if there was none.
    Duration connectTime {};
    /// Nothing of the request was sent, and it ends here: an account's cap does not count it.
    bool isUnsent = false;
};

/// A placement in use, reported by its entry host to a new leader.
struct ActivePlacement {
    DispatchKey key;
    InstanceId instance;
    ServiceId service;
    /// Time since the attempt started.
    Duration age {};
    /// Time until the attempt's deadline.
    Duration remaining {};
    /// The account whose cap counts the request: only if its host placed it alone and it was not
    /// placed before.
    ClientAccountId account;
};

} // namespace laburnum
