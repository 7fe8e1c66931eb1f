/// Announcement of an upstream instance: one record per instance.
#pragma once

#include <cstdint>

#include <json/value.h>

#include <laburnumroute/clock.h>
#include <laburnumroute/endpoint.h>
#include <laburnumroute/error.h>
#include <laburnumroute/ids.h>

namespace laburnum {

/// Lifecycle phase announced by an instance.
enum class InstancePhase { Serving, Draining };

/// One announcement. The instance chooses `incarnation` once at its start, higher than at any
/// earlier start (for example its start time in milliseconds), and increases `version` with each
/// announcement. Draining is final within an incarnation. Records are ordered by supersedes().
struct InstanceRecord {
    InstanceId id;
    ServiceId service;
    Endpoint endpoint;
    DataCentreId dataCentre;
    RegionId region;
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
    InstancePhase phase = InstancePhase::Serving;
    /// Number of requests that the instance processes concurrently.
    std::uint32_t slots = 1;
    /// Number of connections that the instance accepts from all hosts together.
    std::uint32_t connections = 1;
    /// Reported share of slots in use, 0 to 1. May be outdated or wrong.
    double load = 0.0;
    /// Time after which the record expires unless it is renewed.
    Duration lease = std::chrono::seconds(6);
};

/// Whether `record` is newer than `other` of the same instance. Records are ordered by incarnation,
/// then phase (draining after serving), then version, so that delayed or duplicate records never
/// supersede.
bool supersedes(const InstanceRecord& record, const InstanceRecord& other) noexcept;

/// Encodes a record for the wire; decodeInstance() is the inverse.
Json::Value encodeInstance(const InstanceRecord& record);
/// A missing incarnation is decoded as 0. InvalidArgument names the missing or invalid member.
Expected<InstanceRecord> decodeInstance(const Json::Value& value);

} // namespace laburnum
