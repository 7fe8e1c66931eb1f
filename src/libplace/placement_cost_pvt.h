/// Cost of a placement in milliseconds of expected delay; shared by FleetScheduler and
/// LocalScheduler.
#pragma once

#include <laburnumroute/configuration.h>
#include <laburnumroute/health_estimator.h>
#include <laburnumroute/instance.h>
#include <laburnumroute/placement_types.h>

namespace laburnum::pvt {

/// Cost of a failed attempt that cannot be repeated: the caller loses all of its time and has to
/// find out whether the request was executed.
inline constexpr double unsafeFailureMs = 14000.0;
/// Cost of a failed attempt that can be repeated at another instance, as long as the retry budget
/// lasts.
inline constexpr double safeFailureMs = 5000.0;
/// Cost of an attempt that is not run: the time until a connection is given up, another placement,
/// and a share of the retry budget.
inline constexpr double declinedMs = 1200.0;
/// Another data centre: one or two milliseconds each way, over shared links.
inline constexpr double otherDataCentreMs = 15.0;
inline constexpr double otherDataCentreMsPerKib = 8.0;
/// Another region: 40 ms round trip, over links that whole regions share.
inline constexpr double otherRegionMs = 400.0;
inline constexpr double otherRegionMsPerKib = 40.0;

/// An instance that fails with at least this probability is likely to be in a gray spell. Above
/// what the worst long-term record alone gives (HealthEstimator).
inline constexpr double graveProbability = 0.45;

/// Expected cost of failure for an attempt that fails with `probability`.
inline double failureCost(RequestKind kind, double probability)
{
    return probability * (kind == RequestKind::Safe ? safeFailureMs : unsafeFailureMs);
}

/// Expected cost of an attempt that the instance declines with `probability`.
inline double declineCost(double probability) { return probability * declinedMs; }

/// Network cost from a host at `dataCentre` in `region` to the instance.
inline double distanceCost(const InstanceRecord& record, const DataCentreId& dataCentre,
    const RegionId& region, std::uint32_t bodyKiB)
{
    double cost = 0.0;
    if (record.dataCentre != dataCentre)
        cost += otherDataCentreMs + otherDataCentreMsPerKib * bodyKiB;
    if (record.region != region)
        cost += otherRegionMs + otherRegionMsPerKib * bodyKiB;
    return cost;
}

/// Updates `estimator` with the outcome of an attempt. `typical` is the service's typical latency.
inline void updateEstimator(
    HealthEstimator& estimator, const PlacementReport& report, Duration typical, TimePoint now)
{
    switch (report.end) {
    case PlacementOutcome::Success:
        return estimator.onSuccess(report.latency, typical, now);
    case PlacementOutcome::Failure:
        return estimator.onFailure(now);
    case PlacementOutcome::Shed:
        return estimator.onShed(now);
    case PlacementOutcome::TimedOut:
        return estimator.onTimeout(report.latency, typical, now);
    case PlacementOutcome::Refused:
        return estimator.onRefused(now);
    case PlacementOutcome::Unreachable:
        return estimator.onUnreachable(now);
    case PlacementOutcome::Unused:
        return;
    }
}

} // namespace laburnum::pvt
