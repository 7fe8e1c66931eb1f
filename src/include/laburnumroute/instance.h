/// What an upstream says of itself: one record per instance.
#pragma once

#include <cstdint>

#include <json/value.h>

#include <laburnumroute/clock.h>
#include <laburnumroute/endpoint.h>
#include <laburnumroute/error.h>
#include <laburnumroute/ids.h>

namespace laburnum {

/// Phase of an instance's life as it announces it.
enum class InstancePhase { Serving, Draining };

/// One announcement. The upstream chooses `incarnation` once at its start, higher than at any
/// earlier start (its start time in milliseconds will do), and raises `version` with each
/// announcement. Draining is final within an incarnation. supersedes() orders records.
struct InstanceRecord {
    InstanceId id;
    ServiceId service;
    Endpoint endpoint;
    DataCentreId dataCentre;
    RegionId region;
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
    InstancePhase phase = InstancePhase::Serving;
    /// Requests that the instance works on at one time.
    std::uint32_t slots = 1;
    /// Connections that the instance accepts from all hosts together.
    std::uint32_t connections = 1;
    /// Reported share of slots in use, 0 to 1. A hint that can lag or mislead.
    double load = 0.0;
    /// Time after which the record lapses unless renewed.
    Duration lease = std::chrono::seconds(6);
};

/// True when `record` is newer than `other` of the same instance: by incarnation, then a draining
/// record before a serving one, then by version. Late or repeated records never supersede.
bool supersedes(const InstanceRecord& record, const InstanceRecord& other) noexcept;

/// Encodes for the wire; decodeInstance() is the inverse.
Json::Value encodeInstance(const InstanceRecord& record);
/// A missing incarnation counts as 0. InvalidArgument names the member that is missing or wrong.
Expected<InstanceRecord> decodeInstance(const Json::Value& value);

} // namespace laburnum
