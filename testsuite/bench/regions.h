/// Six data centres in three regions, and the delays between them, for cases with many hosts.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include <laburnumroute/host_location.h>

#include "bench.h"

namespace laburnum::bench {

constexpr unsigned dataCentreCount = 6;
constexpr unsigned regionCount = 3;

/// Host ids `h0`, `h1`, ...; host i stands in data centre i modulo 6.
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

/// Places of the same hosts; data centre i stands in region i modulo 3.
inline std::vector<HostLocation> hostPlaces(unsigned count)
{
    std::vector<HostLocation> places;
    for (const auto& id : hostIds(count)) {
        const unsigned dataCentre = dataCentreOf(id);
        places.push_back({ id, DataCentreId("dc" + std::to_string(dataCentre)),
            RegionId("r" + std::to_string(dataCentre % regionCount)) });
    }
    return places;
}

/// One-way delay: 20 ms between regions, 1 ms inside.
inline Duration regionalDelay(const HostId& from, const HostId& to)
{
    const bool sameRegion = dataCentreOf(from) % regionCount == dataCentreOf(to) % regionCount;
    return std::chrono::milliseconds(sameRegion ? 1 : 20);
}

/// Reports the median and the worst of `millis`, which is not empty.
inline void reportSpread(
    const Reporter& reporter, const std::string& name, std::vector<double> millis)
{
    std::sort(millis.begin(), millis.end());
    reporter.report({ name + "/median", millis[millis.size() / 2], "ms", "" });
    reporter.report({ name + "/worst", millis.back(), "ms", "" });
}

} // namespace laburnum::bench
