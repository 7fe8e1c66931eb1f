/// Messages of ownership leases and their codecs.
#pragma once

#include <json/value.h>

#include <laburnumroute/clock.h>
#include <laburnumroute/error.h>
#include <laburnumroute/ids.h>

namespace laburnum::pvt {

/// A candidate or owner requests the lease from a voter.
constexpr const char* methodLeaseRequest = "lease.request";
/// The voter's reply.
constexpr const char* methodLeaseReply = "lease.reply";
/// A candidate or owner releases its grant.
constexpr const char* methodLeaseRelease = "lease.release";
/// A host queries a voter for the owner of a service.
constexpr const char* methodLeaseAsk = "lease.ask";
/// Reply to lease.ask.
constexpr const char* methodLeaseOwner = "lease.owner";

/// Body of lease.request, lease.release and lease.ask; the latter leaves epoch and round 0.
struct LeaseRequest {
    ServiceId service;
    /// Identifies the run of the sender's process, and the request within this run.
    std::uint64_t epoch = 0;
    std::uint64_t round = 0;
};

/// Body of lease.reply and lease.owner.
struct LeaseReply {
    ServiceId service;
    std::uint64_t epoch = 0;
    std::uint64_t round = 0;
    bool granted = false;
    /// Holder of the voter's grant, empty when there is none, and the remaining time of the grant.
    HostId owner;
    Duration remaining {};
};

Json::Value encodeLeaseRequest(const LeaseRequest& request);
Expected<LeaseRequest> decodeLeaseRequest(const Json::Value& value);
Json::Value encodeLeaseReply(const LeaseReply& reply);
Expected<LeaseReply> decodeLeaseReply(const Json::Value& value);

} // namespace laburnum::pvt
