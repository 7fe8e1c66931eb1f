#include <algorithm>
#include <tuple>

#include <laburnumroute/ownership_leases.h>

#include "hash_pvt.h"

namespace laburnum {

namespace {

    struct ScoredHost {
        HostLocation location;
        std::uint64_t score = 0;
    };

    std::vector<ScoredHost> scoreHosts(
        const ServiceId& service, const std::vector<HostLocation>& hosts)
    {
        std::vector<ScoredHost> scored;
        scored.reserve(hosts.size());
        for (const auto& location : hosts)
            scored.push_back(
                { location, pvt::stableHash(service.value() + '\0' + location.host.value()) });
        std::sort(scored.begin(), scored.end(), [](const ScoredHost& a, const ScoredHost& b) {
            return std::pair(a.score, a.location.host) > std::pair(b.score, b.location.host);
        });
        return scored;
    }

} // namespace

std::vector<HostId> voterGroup(
    const ServiceId& service, const std::vector<HostLocation>& hosts, std::size_t size)
{
    std::vector<ScoredHost> candidates = scoreHosts(service, hosts);
    std::map<RegionId, unsigned> perRegion;
    std::map<DataCentreId, unsigned> perDataCentre;
    std::vector<HostId> group;
    while (group.size() < size && !candidates.empty()) {
        // The host with the highest score in the least used region and data centre.
        const auto best = std::min_element(
            candidates.begin(), candidates.end(), [&](const ScoredHost& a, const ScoredHost& b) {
                return std::pair(perRegion[a.location.region], perDataCentre[a.location.dataCentre])
                    < std::pair(perRegion[b.location.region], perDataCentre[b.location.dataCentre]);
            });
        ++perRegion[best->location.region];
        ++perDataCentre[best->location.dataCentre];
        group.push_back(best->location.host);
        candidates.erase(best);
    }
    return group;
}

} // namespace laburnum
