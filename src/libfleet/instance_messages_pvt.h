/// Messages of instance gossip and their codecs.
#pragma once

#include <optional>
#include <set>
#include <vector>

#include <json/value.h>

#include <laburnumroute/clock.h>
#include <laburnumroute/instance.h>

namespace laburnum::pvt {

/// Rows of the sender's live instances whose keys lie in a range.
constexpr const char* methodInstanceDigest = "instances.digest";
/// Rows, records and requests for records.
constexpr const char* methodInstanceDelta = "instances.delta";

/// Short form of an instance record, for a receiver that knows the content with `key`.
struct InstanceRow {
    std::uint64_t key = 0;
    std::uint64_t version = 0;
    /// Time since the instance announced this version; encoded in units of 100 ms.
    Duration age {};
    /// Reported load; encoded in steps of 0.05.
    double load = 0.0;
};

/// Body of instances.digest: all live instances of the sender with `first` <= key <= `last`.
struct InstanceDigest {
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    std::vector<InstanceRow> rows;
    /// Services whose instances the sender accepts; nullopt means all.
    std::optional<std::set<ServiceId>> services;
};

/// A complete record and the time since the instance announced it.
struct AgedRecord {
    InstanceRecord record;
    Duration age {};
};

/// Body of instances.delta.
struct InstanceDelta {
    std::vector<InstanceRow> rows;
    std::vector<AgedRecord> records;
    /// Keys of the records that the sender requests.
    std::vector<std::uint64_t> wanted;

    bool empty() const noexcept { return rows.empty() && records.empty() && wanted.empty(); }
};

/// Messages with a longer list are rejected.
constexpr std::size_t maxListItems = 4096;

Json::Value encodeInstanceDigest(const InstanceDigest& digest);
Expected<InstanceDigest> decodeInstanceDigest(const Json::Value& value);
Json::Value encodeInstanceDelta(const InstanceDelta& delta);
Expected<InstanceDelta> decodeInstanceDelta(const Json::Value& value);

} // namespace laburnum::pvt
