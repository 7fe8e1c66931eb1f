/// The message with which a service's owner grants and renews ejection permits.
#pragma once

#include <laburnumroute/ejection.h>

namespace laburnum {

/// Methods of the messages between EjectionClient and EjectionOwner.
constexpr const char* methodEvidence = "eject.evidence";
constexpr const char* methodPermits = "eject.permits";

/// Lifetime of a permit, from the time the host sent the evidence that the grant replies to.
/// Measured by the host's own clock, so that a late or duplicated grant never prolongs a permit.
constexpr Duration permitLease = std::chrono::seconds(3);
/// The lifetime that the owner assumes, from its own sending, with a margin for clock drift.
constexpr Duration permitLeaseAtOwner = std::chrono::milliseconds(3300);

/// All permits of one service, addressed to one host.
struct PermitGrant {
    ServiceId service;
    /// Echoes of EvidenceDelta::incarnation and sentAt.
    std::uint64_t incarnation = 0;
    std::int64_t sentAt = 0;
    /// Increases with each change of the permits under one owner.
    std::uint64_t version = 0;
    std::vector<Permit> permits;
};

/// Encodes `grant` for the wire; decodePermitGrant() is the inverse.
Json::Value encodePermitGrant(const PermitGrant& grant);
/// Fails with InvalidArgument if a member is missing or malformed.
Expected<PermitGrant> decodePermitGrant(const Json::Value& value);

} // namespace laburnum
