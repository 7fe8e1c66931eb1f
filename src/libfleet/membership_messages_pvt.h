/// Messages of the failure detection.
#pragma once

#include <optional>
#include <vector>

#include <json/value.h>

#include <laburnumroute/error.h>
#include <laburnumroute/host_membership.h>

namespace laburnum::pvt {

/// Asks the receiver for an acknowledgement.
constexpr const char* methodMemberPing = "member.ping";
/// Answers a ping, directly or through a helper.
constexpr const char* methodMemberAck = "member.ack";
/// Asks the receiver to ping `target` and pass on its answer.
constexpr const char* methodMemberRequest = "member.request";

/// What the sender thinks of one host.
struct MemberNews {
    HostId host;
    MemberState state = MemberState::Alive;
    std::uint64_t incarnation = 0;
};

/// Body of all three messages.
struct MemberPing {
    /// The asker's number of the ping, which the acknowledgement repeats.
    std::uint64_t number = 0;
    /// The host to ping, in member.request.
    std::optional<HostId> target;
    std::vector<MemberNews> news;
};

Json::Value encodeMemberPing(const MemberPing& ping);
Expected<MemberPing> decodeMemberPing(const Json::Value& value);

} // namespace laburnum::pvt
