/// The message with which a service's owner grants and renews ejection permits.
#pragma once

#include <laburnumroute/ejection.h>

namespace laburnum {

/// Methods of the messages between EjectionClient and EjectionOwner.
constexpr const char* methodEvidence = "eject.evidence";
constexpr const char* methodPermits = "eject.permits";

/// Life of a permit, from the host's sending of the evidence that the grant answers. The host's own
/// clock measures it, so that a late or repeated grant never prolongs a permit.
constexpr Duration permitLease = std::chrono::seconds(3);
/// The same life as the owner reckons it from its own sending, with room for clocks of unequal
/// speed.
constexpr Duration permitLeaseAtOwner = std::chrono::milliseconds(3300);

/// All permits of one service, addressed to one host.
struct PermitGrant {
    ServiceId service;
    /// Echo of EvidenceDelta::incarnation and sentAt.
    std::uint64_t incarnation = 0;
    std::int64_t sentAt = 0;
    /// Grows with each change of the permits under one owner.
    std::uint64_t version = 0;
    std::vector<Permit> permits;
};

/// Encodes for the wire; decodePermitGrant() is the inverse.
Json::Value encodePermitGrant(const PermitGrant& grant);
/// InvalidArgument when a member is missing or wrong.
Expected<PermitGrant> decodePermitGrant(const Json::Value& value);

} // namespace laburnum
