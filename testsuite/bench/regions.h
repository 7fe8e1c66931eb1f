/// Topology of cases with many hosts: six data centres in three regions, and the delays between
/// them.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include <laburnumroute/host_location.h>

#include "bench.h"

namespace laburnum::bench {

constexpr unsigned dataCentreCount = 6;
constexpr unsigned regionCount = 3;

/// Host ids `h0`, `h1`, ...; host i is in data centre i modulo 6.
inline std::vector<HostId> hostIds(unsigned count)
{
    std::vector<HostId> ids;
    ids.reserve(count);
    for (unsigned i = 0; i < count; ++i)
        ids.push_back(HostId("h" + std::to_string(i)));
    return ids;
}

inline unsigned dataCentreOf(const HostId& host)
{
    return static_cast<unsigned>(std::stoul(host.value().substr(1))) % dataCentreCount;
}

/// Locations of the same hosts; data centre i is in region i modulo 3.
inline std::vector<HostLocation> hostLocations(unsigned count)
{
    std::vector<HostLocation> locations;
    for (const auto& id : hostIds(count)) {
        const unsigned dataCentre = dataCentreOf(id);
        locations.push_back({ id, DataCentreId("dc" + std::to_string(dataCentre)),
            RegionId("r" + std::to_string(dataCentre % regionCount)) });
    }
    return locations;
}

/// One-way delay: 20 ms between regions, 1 ms within a region.
inline Duration regionalDelay(const HostId& from, const HostId& to)
{
    const bool sameRegion = dataCentreOf(from) % regionCount == dataCentreOf(to) % regionCount;
    return std::chrono::milliseconds(sameRegion ? 1 : 20);
}

/// Reports the median and the maximum of `millis`, which must not be empty.
inline void reportSpread(
    const Reporter& reporter, const std::string& name, std::vector<double> millis)
{
    std::sort(millis.begin(), millis.end());
    reporter.report({ name + "/median", millis[millis.size() / 2], "ms", "" });
    reporter.report({ name + "/worst", millis.back(), "ms", "" });
}

} // namespace laburnum::bench
