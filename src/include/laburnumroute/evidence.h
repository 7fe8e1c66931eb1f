/// Evidence on the health of instances: what hosts count of real outcomes and send to the service's
/// owner.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <vector>

#include <json/value.h>

#include <laburnumroute/clock.h>
#include <laburnumroute/error.h>
#include <laburnumroute/ids.h>

namespace laburnum {

/// Counts of latencies in buckets whose bounds grow by the fourth root of two, from 16 us.
class LatencyHistogram {
public:
    static constexpr std::size_t bucketCount = 96;

    /// Index of the bucket that holds `latency`.
    static std::size_t bucketOf(Duration latency) noexcept;
    /// Lower bound of bucket `bucket`.
    static Duration lowerBound(std::size_t bucket) noexcept;

    void add(Duration latency) { m_counts[bucketOf(latency)] += 1.0; }
    void addToBucket(std::size_t bucket, double count) { m_counts[bucket] += count; }
    void merge(const LatencyHistogram& other, double sign = 1.0);
    /// Multiplies every count by `factor`, with which old counts fade.
    void scale(double factor);
    double count(std::size_t bucket) const { return m_counts[bucket]; }
    double total() const;
    /// Latencies in `bucket` and above.
    double countFrom(std::size_t bucket) const;
    /// The bucket that holds quantile `q`, 0 to 1; 0 when empty.
    std::size_t quantileBucket(double q) const;

private:
    std::array<double, bucketCount> m_counts {};
};

/// Outcomes of attempts at one instance. Shed answers and the caller's faults are not among the
/// errors.
struct OutcomeCounts {
    std::uint32_t succeeded = 0;
    /// Server errors that the instance answered.
    std::uint32_t failed = 0;
    /// Broken or malformed answers.
    std::uint32_t broken = 0;
    std::uint32_t timedOut = 0;
    std::uint32_t notConnected = 0;
    std::uint32_t shed = 0;
    /// Time to the head of whole answers, and the age of attempts that are overdue.
    LatencyHistogram latency;

    /// Errors that a bad path can cause as well as a bad instance.
    std::uint32_t pathErrors() const { return broken + timedOut + notConnected; }
    std::uint32_t errors() const { return failed + pathErrors(); }
    std::uint32_t judged() const { return succeeded + errors(); }
    bool empty() const { return judged() == 0 && shed == 0 && latency.total() == 0.0; }
};

/// What one host counted for one service since its previous delta.
struct EvidenceDelta {
    ServiceId service;
    /// Data centre of the host that observed.
    DataCentreId observer;
    /// Drawn anew at each start of the observing process.
    std::uint64_t incarnation = 0;
    /// Grows with each delta of an incarnation; older deltas are dropped as repeats.
    std::uint64_t sequence = 0;
    /// The observer's own clock when it sent this, in nanoseconds; the owner echoes it.
    std::int64_t sentAt = 0;
    std::map<InstanceId, OutcomeCounts> instances;
};

/// Encodes for the wire; decodeEvidence() is the inverse.
Json::Value encodeEvidence(const EvidenceDelta& delta);
/// InvalidArgument when a member is missing or wrong.
Expected<EvidenceDelta> decodeEvidence(const Json::Value& value);

} // namespace laburnum
