/// Messages of ownership by leases.
#pragma once

#include <json/value.h>

#include <laburnumroute/clock.h>
#include <laburnumroute/error.h>
#include <laburnumroute/ids.h>

namespace laburnum::pvt {

/// A candidate or owner asks a voter for the lease.
constexpr const char* methodLeaseRequest = "lease.request";
/// The voter's answer.
constexpr const char* methodLeaseReply = "lease.reply";
/// A candidate or owner gives its grant back.
constexpr const char* methodLeaseRelease = "lease.release";
/// A host asks a voter who the owner is.
constexpr const char* methodLeaseAsk = "lease.ask";
/// The answer to it.
constexpr const char* methodLeaseOwner = "lease.owner";

/// Body of lease.request, lease.release and lease.ask (the latter without numbers).
struct LeaseRequest {
    ServiceId service;
    /// The sender's process life and its round within it.
    std::uint64_t epoch = 0;
    std::uint64_t round = 0;
};

/// Body of lease.reply and lease.owner.
struct LeaseReply {
    ServiceId service;
    std::uint64_t epoch = 0;
    std::uint64_t round = 0;
    bool granted = false;
    /// Who holds the voter's grant, empty when nobody, and for how long yet.
    HostId owner;
    Duration remaining {};
};

Json::Value encodeLeaseRequest(const LeaseRequest& request);
Expected<LeaseRequest> decodeLeaseRequest(const Json::Value& value);
Json::Value encodeLeaseReply(const LeaseReply& reply);
Expected<LeaseReply> decodeLeaseReply(const Json::Value& value);

} // namespace laburnum::pvt
