/// Evidence on the health of instances: outcomes of real requests, counted by each host and sent to
/// the owner of the service.
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

/// Latency histogram. Bucket bounds start at 16 us and grow by the fourth root of two.
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
    /// Multiplies every count by `factor`, to decay old counts.
    void scale(double factor);
    double count(std::size_t bucket) const { return m_counts[bucket]; }
    double total() const;
    /// Number of latencies in `bucket` and above.
    double countFrom(std::size_t bucket) const;
    /// The bucket that holds quantile `q`, 0 to 1; 0 when empty.
    std::size_t quantileBucket(double q) const;

private:
    std::array<double, bucketCount> m_counts {};
};

/// Outcomes of attempts at one instance. Shed requests and faults of the caller are not errors.
struct OutcomeCounts {
    std::uint32_t succeeded = 0;
    /// Server errors answered by the instance.
    std::uint32_t failed = 0;
    /// Broken or malformed answers.
    std::uint32_t broken = 0;
    std::uint32_t timedOut = 0;
    std::uint32_t notConnected = 0;
    std::uint32_t shed = 0;
    /// Time to the response head of complete answers, and the age of overdue attempts.
    LatencyHistogram latency;

    /// Errors that may be caused by the network path as well as by the instance.
    std::uint32_t pathErrors() const { return broken + timedOut + notConnected; }
    std::uint32_t errors() const { return failed + pathErrors(); }
    std::uint32_t judged() const { return succeeded + errors(); }
    bool empty() const { return judged() == 0 && shed == 0 && latency.total() == 0.0; }
};

/// Outcomes that one host counted for one service since its previous delta.
struct EvidenceDelta {
    ServiceId service;
    /// Data centre of the observing host.
    DataCentreId observer;
    /// Random number drawn at each start of the observing process.
    std::uint64_t incarnation = 0;
    /// Increases with each delta of an incarnation; older ones are dropped as duplicates.
    std::uint64_t sequence = 0;
    /// Sending time by the observer's clock, in nanoseconds; echoed by the owner.
    std::int64_t sentAt = 0;
    std::map<InstanceId, OutcomeCounts> instances;
};

/// Encodes `delta` for the wire; decodeEvidence() is the inverse.
Json::Value encodeEvidence(const EvidenceDelta& delta);
/// Fails with InvalidArgument if a member is missing or malformed.
Expected<EvidenceDelta> decodeEvidence(const Json::Value& value);

} // namespace laburnum
