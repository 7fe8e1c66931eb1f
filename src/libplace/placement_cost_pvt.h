/// What a place costs its caller, in milliseconds of expected delay: the weights that the fleet's
/// view and a host alone share.
#pragma once

#include <laburnumroute/configuration.h>
#include <laburnumroute/health_estimator.h>
#include <laburnumroute/instance.h>
#include <laburnumroute/placement_types.h>

namespace laburnum::pvt {

/// What a failed attempt costs a caller whose request cannot be repeated: all of its time, and the
/// caller's work to find out what became of it.
inline constexpr double lostRequestMs = 14000.0;
/// What a failed attempt costs a request that is sent to another instance.
inline constexpr double repeatedRequestMs = 2000.0;
/// Another data centre: a millisecond or two each way, and links that all share.
inline constexpr double otherDataCentreMs = 15.0;
inline constexpr double otherDataCentreMsPerKib = 8.0;
/// Another region: 40 ms there and back, over links that whole regions share.
inline constexpr double otherRegionMs = 400.0;
inline constexpr double otherRegionMsPerKib = 40.0;

/// The cost of an attempt that fails with `chance`.
inline double failureCost(RequestKind kind, double chance)
{
    return chance * (kind == RequestKind::Safe ? repeatedRequestMs : lostRequestMs);
}

/// The cost of the way from a host at `dataCentre` in `region` to the instance.
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

/// Tells `judge` how an attempt ended. `typical` is the service's typical latency.
inline void tellJudge(
    HealthEstimator& judge, const PlacementReport& report, Duration typical, TimePoint now)
{
    switch (report.end) {
    case PlacementOutcome::Success:
        return judge.onSuccess(report.latency, typical, now);
    case PlacementOutcome::Failure:
        return judge.onFailure(now);
    case PlacementOutcome::Shed:
        return judge.onShed(now);
    case PlacementOutcome::TimedOut:
        return judge.onSilence(report.latency, typical, now);
    case PlacementOutcome::Refused:
        return judge.onRefused(now);
    case PlacementOutcome::Unreachable:
        return judge.onUnreachable(now);
    case PlacementOutcome::Unused:
        return;
    }
}

} // namespace laburnum::pvt
