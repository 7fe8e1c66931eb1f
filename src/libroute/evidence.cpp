#include <laburnumroute/evidence.h>

#include <algorithm>
#include <cmath>
#include <numeric>

#include <laburnumroute/json.h>

namespace laburnum {

namespace {

    constexpr double firstBoundMicros = 16.0;
    constexpr double bucketsPerOctave = 4.0;
    constexpr std::uint64_t maxCount = 1'000'000;

    constexpr std::array<std::uint32_t OutcomeCounts::*, 6> counterMembers {
        &OutcomeCounts::succeeded, &OutcomeCounts::failed, &OutcomeCounts::broken,
        &OutcomeCounts::timedOut, &OutcomeCounts::notConnected, &OutcomeCounts::shed
    };

    Json::Value encodeCounts(const OutcomeCounts& counts)
    {
        Json::Value value(Json::objectValue);
        Json::Value& counters = value["n"] = Json::Value(Json::arrayValue);
        for (const auto member : counterMembers)
            counters.append(counts.*member);
        Json::Value& latency = value["l"] = Json::Value(Json::arrayValue);
        for (std::size_t bucket = 0; bucket < LatencyHistogram::bucketCount; ++bucket) {
            if (counts.latency.count(bucket) == 0.0)
                continue;
            latency.append(Json::UInt64(bucket));
            latency.append(Json::UInt64(std::llround(counts.latency.count(bucket))));
        }
        return value;
    }

    bool isCount(const Json::Value& value, std::uint64_t high)
    {
        return value.isUInt64() && value.asUInt64() <= high;
    }

    Expected<OutcomeCounts> decodeCounts(const Json::Value& value)
    {
        const auto malformed = fail(ErrorCode::InvalidArgument, "malformed outcome counts");
        if (!value.isObject() || !value["n"].isArray() || value["n"].size() != counterMembers.size()
            || !value["l"].isArray() || value["l"].size() % 2 != 0)
            return malformed;
        OutcomeCounts counts;
        for (Json::ArrayIndex i = 0; i < counterMembers.size(); ++i) {
            if (!isCount(value["n"][i], maxCount))
                return malformed;
            counts.*counterMembers[i] = value["n"][i].asUInt();
        }
        for (Json::ArrayIndex i = 0; i < value["l"].size(); i += 2) {
            if (!isCount(value["l"][i], LatencyHistogram::bucketCount - 1)
                || !isCount(value["l"][i + 1], maxCount))
                return malformed;
            counts.latency.addToBucket(
                value["l"][i].asUInt(), static_cast<double>(value["l"][i + 1].asUInt64()));
        }
        return counts;
    }

} // namespace

std::size_t LatencyHistogram::bucketOf(Duration latency) noexcept
{
    const double micros = std::chrono::duration<double, std::micro>(latency).count();
    if (micros <= firstBoundMicros)
        return 0;
    const double bucket = std::floor(std::log2(micros / firstBoundMicros) * bucketsPerOctave);
    return std::min(static_cast<std::size_t>(bucket), bucketCount - 1);
}

Duration LatencyHistogram::lowerBound(std::size_t bucket) noexcept
{
    const double micros
        = firstBoundMicros * std::exp2(static_cast<double>(bucket) / bucketsPerOctave);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::micro>(micros));
}

void LatencyHistogram::merge(const LatencyHistogram& other, double sign)
{
    for (std::size_t i = 0; i < bucketCount; ++i)
        m_counts[i] += sign * other.m_counts[i];
}

void LatencyHistogram::scale(double factor)
{
    for (double& count : m_counts)
        count *= factor;
}

double LatencyHistogram::total() const { return countFrom(0); }

double LatencyHistogram::countFrom(std::size_t bucket) const
{
    const auto first
        = m_counts.begin() + static_cast<std::ptrdiff_t>(std::min(bucket, bucketCount));
    return std::accumulate(first, m_counts.end(), 0.0);
}

std::size_t LatencyHistogram::quantileBucket(double q) const
{
    const double above = total() * (1.0 - q);
    double seen = 0.0;
    for (std::size_t i = bucketCount; i-- > 0;) {
        seen += m_counts[i];
        if (seen > above)
            return i;
    }
    return 0;
}

Json::Value encodeEvidence(const EvidenceDelta& delta)
{
    Json::Value value(Json::objectValue);
    value["service"] = delta.service.value();
    value["observer"] = delta.observer.value();
    value["incarnation"] = Json::UInt64(delta.incarnation);
    value["sequence"] = Json::UInt64(delta.sequence);
    value["sent_at"] = Json::UInt64(delta.sentAt);
    Json::Value& instances = value["instances"] = Json::Value(Json::objectValue);
    for (const auto& [id, counts] : delta.instances)
        instances[id.value()] = encodeCounts(counts);
    return value;
}

Expected<EvidenceDelta> decodeEvidence(const Json::Value& value)
{
    const auto service = stringMember(value, "service");
    const auto observer = stringMember(value, "observer");
    const auto incarnation = unsignedMember(value, "incarnation");
    const auto sequence = unsignedMember(value, "sequence");
    const auto sentAt = unsignedMember(value, "sent_at");
    if (!service || !observer || !incarnation || !sequence || !sentAt || *sentAt > INT64_MAX
        || !value["instances"].isObject())
        return fail(ErrorCode::InvalidArgument, "malformed evidence delta");
    EvidenceDelta delta { ServiceId(*service), DataCentreId(*observer), *incarnation, *sequence,
        static_cast<std::int64_t>(*sentAt), {} };
    for (const auto& name : value["instances"].getMemberNames()) {
        auto counts = decodeCounts(value["instances"][name]);
        if (!counts)
            return tl::unexpected<Error>(counts.error());
        delta.instances[InstanceId(name)] = *counts;
    }
    return delta;
}

} // namespace laburnum
