/// Messages by which hosts spread the directory of instances.
#pragma once

#include <optional>
#include <set>
#include <vector>

#include <json/value.h>

#include <laburnumroute/clock.h>
#include <laburnumroute/instance.h>

namespace laburnum::pvt {

/// The sender's live instances whose keys lie in a range, as short rows.
constexpr const char* methodInstanceDigest = "instances.digest";
/// Rows, records and requests for records.
constexpr const char* methodInstanceDelta = "instances.delta";

/// One instance in short: stands for its whole record where the content is known.
struct InstanceRow {
    std::uint64_t key = 0;
    std::uint64_t version = 0;
    /// Time since the instance confirmed this version; sent in units of 100 ms.
    Duration age {};
    /// Reported load; sent in steps of a twentieth.
    double load = 0.0;
};

/// Body of instances.digest. Says all that the sender has with `first` <= key <= `last`.
struct InstanceDigest {
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    std::vector<InstanceRow> rows;
    /// Services of which the sender keeps instances; nothing means all.
    std::optional<std::set<ServiceId>> services;
};

/// A whole record and the time since the instance confirmed it.
struct AgedRecord {
    InstanceRecord record;
    Duration age {};
};

/// Body of instances.delta.
struct InstanceDelta {
    std::vector<InstanceRow> rows;
    std::vector<AgedRecord> records;
    /// Keys whose records the sender lacks.
    std::vector<std::uint64_t> wanted;

    bool empty() const noexcept { return rows.empty() && records.empty() && wanted.empty(); }
};

/// More items than this in one list of a message are refused.
constexpr std::size_t maxListItems = 4096;

Json::Value encodeInstanceDigest(const InstanceDigest& digest);
Expected<InstanceDigest> decodeInstanceDigest(const Json::Value& value);
Json::Value encodeInstanceDelta(const InstanceDelta& delta);
Expected<InstanceDelta> decodeInstanceDelta(const Json::Value& value);

} // namespace laburnum::pvt
