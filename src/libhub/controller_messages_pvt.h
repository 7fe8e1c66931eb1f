/// Frames between entry hosts and control hosts, one message per frame. Times are in milliseconds.
#pragma once

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

#include <laburnumroute/fleet_state.h>
#include <laburnumroute/placement_types.h>

#include "codec_pvt.h"

namespace laburnum::pvt {

/// The number of a configuration in a frame. `isPresent` tells 0 from none; a frame of an earlier
/// version of the program has no such field and none of its configurations has the number 0.
inline ConfigNumber configNumberOf(std::uint64_t number, bool isPresent)
{
    return number != 0 || isPresent ? ConfigNumber(number) : std::nullopt;
}

// From entry hosts to control hosts.

struct ActivePlacementRow {
    std::uint32_t dispatch = 0;
    std::string instance;
    std::string service;
    std::uint32_t ageMs = 0;
    std::uint32_t remainingMs = 0;
    MSGPACK_DEFINE(dispatch, instance, service, ageMs, remainingMs)
};

struct LocalUsageRow {
    std::string account;
    std::uint32_t requests = 0;
    /// Time since the latest of them.
    std::uint32_t ageMs = 0;
    MSGPACK_DEFINE(account, requests, ageMs)
};

/// What an entry host placed alone for accounts with a cap.
struct LocalUsageRows {
    /// Time since it heard a leader; 0 when it never did.
    std::uint32_t leaderSilentMs = 0;
    std::vector<LocalUsageRow> rows;
    MSGPACK_DEFINE(leaderSilentMs, rows)
};

/// The first frame on a connection of an entry host: its identity, the versions of its cached data
/// and its active placements.
struct HelloFrame {
    static constexpr std::uint8_t type = 16;
    std::string host;
    std::string dataCentre;
    std::string region;
    std::uint64_t configNumber = 0;
    std::uint64_t instancesIndex = 0;
    bool hasInstances = false;
    std::vector<ActivePlacementRow> activePlacements;
    /// The address at which other entry hosts reach it; empty when they cannot.
    std::string neighbour;
    /// Requests placed alone in the last UsageCaps::window.
    LocalUsageRows usage;
    bool hasConfig = false;
    MSGPACK_DEFINE(host, dataCentre, region, configNumber, instancesIndex, hasInstances,
        activePlacements, neighbour, usage, hasConfig)
};

struct PlacementRequestFrame {
    static constexpr std::uint8_t type = 17;
    std::uint32_t dispatch = 0;
    std::string service;
    std::uint8_t kind = 0;
    std::uint32_t priority = 0;
    std::uint32_t bodyKiB = 0;
    std::uint32_t remainingMs = 0;
    std::uint32_t objectiveMs = 0;
    bool retry = false;
    bool resubmitted = false;
    std::vector<std::string> avoid;
    bool isHedge = false;
    std::string account;
    MSGPACK_DEFINE(dispatch, service, kind, priority, bodyKiB, remainingMs, objectiveMs, retry,
        resubmitted, avoid, isHedge, account)
};

struct AttemptEndFrame {
    static constexpr std::uint8_t type = 18;
    std::uint32_t dispatch = 0;
    std::uint8_t end = 0;
    std::uint32_t latencyMs = 0;
    std::int32_t reportedLoad = -1;
    bool isUnsent = false;
    MSGPACK_DEFINE(dispatch, end, latencyMs, reportedLoad, isUnsent)
};

struct CancelFrame {
    static constexpr std::uint8_t type = 19;
    std::uint32_t dispatch = 0;
    MSGPACK_DEFINE(dispatch)
};

/// The entry host placed this request with its local scheduler.
struct LocalPlacementFrame {
    static constexpr std::uint8_t type = 20;
    ActivePlacementRow placement;
    /// See ActivePlacement::account.
    std::string account;
    MSGPACK_DEFINE(placement, account)
};

/// The versions of the data that the entry host holds. Sent when a difference does not apply to
/// them, and to control hosts that do not lead while the leader cannot be reached; the receiver
/// then sends the updates from these versions on.
struct VersionsFrame {
    static constexpr std::uint8_t type = 21;
    /// None requests the whole configuration.
    std::uint64_t configNumber = 0;
    std::uint64_t instancesIndex = 0;
    bool hasInstances = false;
    bool hasConfig = false;
    MSGPACK_DEFINE(configNumber, instancesIndex, hasInstances, hasConfig)
};

/// Asks the leader to confirm that all configurations it has accepted were sent to this entry host.
struct ConfirmRequestFrame {
    static constexpr std::uint8_t type = 22;
    std::uint64_t number = 0;
    MSGPACK_DEFINE(number)
};

/// Requests placed alone since the HelloFrame of the connection; the answer to a WelcomeFrame.
struct LocalUsageFrame {
    static constexpr std::uint8_t type = 23;
    LocalUsageRows usage;
    MSGPACK_DEFINE(usage)
};

struct DelayRow {
    std::string dataCentre;
    std::uint32_t oneWayUs = 0;
    MSGPACK_DEFINE(dataCentre, oneWayUs)
};

/// Measured delays from the entry host's data centre to others. Sent on change if the leader asked
/// for it, at most each 10 s.
struct DelaysFrame {
    static constexpr std::uint8_t type = 24;
    std::vector<DelayRow> delays;
    MSGPACK_DEFINE(delays)
};

struct RateLimitRow {
    std::string instance;
    std::uint64_t incarnation = 0;
    /// False: the instance named no limit.
    bool isLimited = false;
    double perSecond = 0.0;
    /// Time since the request was sent, and since the head of its response arrived.
    std::uint32_t sentAgeMs = 0;
    std::uint32_t headAgeMs = 0;
    MSGPACK_DEFINE(instance, incarnation, isLimited, perSecond, sentAgeMs, headAgeMs)
};

/// What an entry host heard from instances about their rate limits: all that it knows in answer to
/// a WelcomeFrame, a single statement later.
struct RateLimitsFrame {
    static constexpr std::uint8_t type = 25;
    /// Number of entry hosts, as a leader told it.
    std::uint32_t hosts = 0;
    std::vector<RateLimitRow> rows;
    MSGPACK_DEFINE(hosts, rows)
};

// From control hosts to entry hosts.

/// This control host is the leader and serves placement requests from now on. Sent again when the
/// control hosts have changed.
struct WelcomeFrame {
    static constexpr std::uint8_t type = 32;
    std::vector<std::string> controlHosts;
    /// The entry host should send DelaysFrames.
    bool wantsDelays = false;
    MSGPACK_DEFINE(controlHosts, wantsDelays)
};

/// This control host is not the leader.
struct RedirectFrame {
    static constexpr std::uint8_t type = 33;
    /// Empty while no leader is known.
    std::string leader;
    std::vector<std::string> controlHosts;
    MSGPACK_DEFINE(leader, controlHosts)
};

struct ConfigFrame {
    static constexpr std::uint8_t type = 34;
    std::uint64_t number = 0;
    /// Number of the configuration that `delta` refers to (text_delta_pvt.h).
    std::uint64_t base = 0;
    std::string delta;
    bool hasBase = false;
    MSGPACK_DEFINE(number, base, delta, hasBase)
};

struct InstancesFrame {
    static constexpr std::uint8_t type = 35;
    std::uint64_t index = 0;
    /// `instances` replaces the whole set of the receiver.
    bool full = false;
    std::vector<InstanceRow> instances;
    std::vector<std::string> removed;
    /// The changes after this index are included; the receiver must hold at least it. Unused if
    /// `full`.
    std::uint64_t base = 0;
    MSGPACK_DEFINE(index, full, instances, removed, base)
};

struct GrantedFrame {
    static constexpr std::uint8_t type = 36;
    std::uint32_t dispatch = 0;
    std::string instance;
    MSGPACK_DEFINE(dispatch, instance)
};

struct RefusedFrame {
    static constexpr std::uint8_t type = 37;
    std::uint32_t dispatch = 0;
    std::uint8_t refusal = 0;
    std::uint32_t delayMs = 0;
    MSGPACK_DEFINE(dispatch, refusal, delayMs)
};

struct WaitingFrame {
    static constexpr std::uint8_t type = 38;
    std::uint32_t dispatch = 0;
    std::uint32_t limitMs = 0;
    MSGPACK_DEFINE(dispatch, limitMs)
};

/// Sent at regular intervals while this host is the leader and holds its lease.
struct HeartbeatFrame {
    static constexpr std::uint8_t type = 39;
    /// `doubtful` is present and replaces the list sent before.
    bool includesDoubtful = false;
    std::vector<std::string> doubtful;
    /// Number of entry hosts.
    std::uint32_t hosts = 0;
    MSGPACK_DEFINE(includesDoubtful, doubtful, hosts)
};

/// Entry hosts of the same region, which exchange outcomes of attempts while they have no leader.
struct NeighboursFrame {
    static constexpr std::uint8_t type = 40;
    std::vector<std::string> addresses;
    MSGPACK_DEFINE(addresses)
};

/// The answer to the ConfirmRequestFrame with this number. The sender led and held its lease, and
/// every configuration accepted before has been sent on this connection.
struct ConfirmFrame {
    static constexpr std::uint8_t type = 41;
    std::uint64_t number = 0;
    MSGPACK_DEFINE(number)
};

/// The rate limits of instances that the leader knows, and those that ended lately: all of them
/// after the WelcomeFrame, and with a heartbeat those that have changed.
struct RateLimitListFrame {
    static constexpr std::uint8_t type = 42;
    /// `rows` replaces what the receiver had of the sender.
    bool full = false;
    std::vector<RateLimitRow> rows;
    MSGPACK_DEFINE(full, rows)
};

// Between entry hosts, as datagrams.

/// An attempt of the sender failed or timed out.
struct PeerOutcomeFrame {
    static constexpr std::uint8_t type = 64;
    std::string instance;
    std::uint8_t end = 0;
    MSGPACK_DEFINE(instance, end)
};

/// An instance named a rate limit in a response to the sender, or none any more.
struct PeerRateLimitFrame {
    static constexpr std::uint8_t type = 65;
    RateLimitRow row;
    MSGPACK_DEFINE(row)
};

/// The sender has no leader, and asks for the control hosts that the receiver knows.
struct ControlHostsQueryFrame {
    static constexpr std::uint8_t type = 66;
    /// Time for which it has had none.
    std::uint32_t searchMs = 0;
    MSGPACK_DEFINE(searchMs)
};

/// The answer of an entry host that has a leader.
struct ControlHostsFrame {
    static constexpr std::uint8_t type = 67;
    std::vector<std::string> controlHosts;
    MSGPACK_DEFINE(controlHosts)
};

// Between control hosts.

/// A message of the replicated log.
struct LogMessageFrame {
    static constexpr std::uint8_t type = 48;
    std::string from;
    std::string method;
    std::string json;
    MSGPACK_DEFINE(from, method, json)
};

/// A call that a control host forwards to the leader.
struct ForwardedCallFrame {
    static constexpr std::uint8_t type = 49;
    std::string from;
    std::uint64_t call = 0;
    std::uint8_t kind = 0;
    InstanceRow instance;
    std::uint32_t coldMs = 0;
    std::uint64_t number = 0;
    std::string content;
    /// The instance stated the incarnation that it deregisters.
    bool isStated = true;
    MSGPACK_DEFINE(from, call, kind, instance, coldMs, number, content, isStated)
};

struct CallResultFrame {
    static constexpr std::uint8_t type = 50;
    std::uint64_t call = 0;
    bool done = false;
    std::uint64_t number = 0;
    std::string content;
    bool hasConfig = false;
    MSGPACK_DEFINE(call, done, number, content, hasConfig)
};

/// 49.7 days at most; longer times are sent as that.
inline std::uint32_t wireMs(Duration d)
{
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(toMillis(d), 0, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace laburnum::pvt
