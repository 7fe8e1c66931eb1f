/// Messages of host failure detection and their codecs.
#pragma once

#include <optional>
#include <vector>

#include <json/value.h>

#include <laburnumroute/error.h>
#include <laburnumroute/host_membership.h>

namespace laburnum::pvt {

/// Requests an acknowledgement from the receiver.
constexpr const char* methodMemberPing = "member.ping";
/// Acknowledges a ping, directly or relayed by another host.
constexpr const char* methodMemberAck = "member.ack";
/// Asks the receiver to ping `target` and relay the acknowledgement.
constexpr const char* methodMemberRequest = "member.request";

/// State of one host in the sender's view.
struct MemberUpdate {
    HostId host;
    MemberState state = MemberState::Alive;
    std::uint64_t incarnation = 0;
};

/// Body of all three messages.
struct MemberPing {
    /// Sequence number of the ping, echoed by the acknowledgement.
    std::uint64_t sequence = 0;
    /// The host to ping; only in member.request.
    std::optional<HostId> target;
    std::vector<MemberUpdate> updates;
};

Json::Value encodeMemberPing(const MemberPing& ping);
Expected<MemberPing> decodeMemberPing(const Json::Value& value);

} // namespace laburnum::pvt
