/// What entry hosts and control hosts say to each other, one frame each. Times are in
/// milliseconds.
#pragma once

#include <utility>
#include <vector>

#include <laburnumroute/placement_types.h>

#include "codec_pvt.h"

namespace laburnum::pvt {

// From an entry host.

struct OpenPlaceRow {
    std::uint32_t dispatch = 0;
    std::string instance;
    std::string service;
    std::uint32_t ageMs = 0;
    std::uint32_t remainingMs = 0;
    MSGPACK_DEFINE(dispatch, instance, service, ageMs, remainingMs)
};

/// The first frame of an entry host: who it is, what it holds, what it has under way.
struct HelloFrame {
    static constexpr std::uint8_t type = 16;
    std::string host;
    std::string dataCentre;
    std::string region;
    std::uint64_t configNumber = 0;
    std::uint64_t instancesIndex = 0;
    bool holdsInstances = false;
    std::vector<OpenPlaceRow> open;
    /// Where other entry hosts reach it; empty when they cannot.
    std::string neighbour;
    MSGPACK_DEFINE(
        host, dataCentre, region, configNumber, instancesIndex, holdsInstances, open, neighbour)
};

struct AskFrame {
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
    MSGPACK_DEFINE(dispatch, service, kind, priority, bodyKiB, remainingMs, objectiveMs, retry,
        resubmitted, avoid, isHedge)
};

struct EndFrame {
    static constexpr std::uint8_t type = 18;
    std::uint32_t dispatch = 0;
    std::uint8_t end = 0;
    std::uint32_t latencyMs = 0;
    std::int32_t reportedLoad = -1;
    MSGPACK_DEFINE(dispatch, end, latencyMs, reportedLoad)
};

struct LeaveFrame {
    static constexpr std::uint8_t type = 19;
    std::uint32_t dispatch = 0;
    MSGPACK_DEFINE(dispatch)
};

/// The host placed the dispatch by itself.
struct AdoptFrame {
    static constexpr std::uint8_t type = 20;
    OpenPlaceRow place;
    MSGPACK_DEFINE(place)
};

// To an entry host.

/// This control host leads; it answers asks from now on.
struct WelcomeFrame {
    static constexpr std::uint8_t type = 32;
    std::vector<std::string> controlHosts;
    MSGPACK_DEFINE(controlHosts)
};

/// This control host does not lead.
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
    /// The number whose content is the dictionary; 0 for none.
    std::uint64_t base = 0;
    std::string deflated;
    MSGPACK_DEFINE(number, base, deflated)
};

struct InstancesFrame {
    static constexpr std::uint8_t type = 35;
    std::uint64_t index = 0;
    /// Replaces all that is held.
    bool whole = false;
    std::vector<InstanceRow> held;
    std::vector<std::string> gone;
    MSGPACK_DEFINE(index, whole, held, gone)
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

/// Sent at short intervals while this host leads and a majority confirms it.
struct PulseFrame {
    static constexpr std::uint8_t type = 39;
    /// `doubtful` is told anew.
    bool tells = false;
    std::vector<std::string> doubtful;
    MSGPACK_DEFINE(tells, doubtful)
};

/// Entry hosts of the same region, which share what they see while they are alone.
struct NeighboursFrame {
    static constexpr std::uint8_t type = 40;
    std::vector<std::string> addresses;
    MSGPACK_DEFINE(addresses)
};

// Between entry hosts, as datagrams.

/// An attempt of the sender failed.
struct EvidenceFrame {
    static constexpr std::uint8_t type = 64;
    std::string instance;
    std::uint8_t end = 0;
    MSGPACK_DEFINE(instance, end)
};

// Between control hosts.

/// A message of the replicated log.
struct PeerFrame {
    static constexpr std::uint8_t type = 48;
    std::string from;
    std::string method;
    std::string json;
    MSGPACK_DEFINE(from, method, json)
};

/// A call that a control host passes to the leader.
struct CallFrame {
    static constexpr std::uint8_t type = 49;
    std::string from;
    std::uint64_t call = 0;
    std::uint8_t kind = 0;
    InstanceRow instance;
    std::uint32_t coldMs = 0;
    std::uint64_t number = 0;
    std::string content;
    MSGPACK_DEFINE(from, call, kind, instance, coldMs, number, content)
};

struct ResultFrame {
    static constexpr std::uint8_t type = 50;
    std::uint64_t call = 0;
    bool done = false;
    std::uint64_t number = 0;
    std::string content;
    MSGPACK_DEFINE(call, done, number, content)
};

inline std::uint32_t wireMs(Duration d)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(toMillis(d), 0));
}

} // namespace laburnum::pvt
