#include <algorithm>
#include <tuple>

#include <laburnumroute/ownership_leases.h>

#include "hash_pvt.h"

namespace laburnum {

namespace {

    struct Scored {
        HostLocation place;
        std::uint64_t score = 0;
    };

    std::vector<Scored> scoreHosts(const ServiceId& service, const std::vector<HostLocation>& hosts)
    {
        std::vector<Scored> scored;
        scored.reserve(hosts.size());
        for (const auto& place : hosts)
            scored.push_back(
                { place, pvt::stableHash(service.value() + '\0' + place.host.value()) });
        std::sort(scored.begin(), scored.end(), [](const Scored& a, const Scored& b) {
            return std::pair(a.score, a.place.host) > std::pair(b.score, b.place.host);
        });
        return scored;
    }

} // namespace

std::vector<HostId> voterGroup(
    const ServiceId& service, const std::vector<HostLocation>& hosts, std::size_t size)
{
    std::vector<Scored> candidates = scoreHosts(service, hosts);
    std::map<RegionId, unsigned> perRegion;
    std::map<DataCentreId, unsigned> perDataCentre;
    std::vector<HostId> group;
    while (group.size() < size && !candidates.empty()) {
        // The best score among the hosts of the least used region and data centre.
        const auto best = std::min_element(
            candidates.begin(), candidates.end(), [&](const Scored& a, const Scored& b) {
                return std::pair(perRegion[a.place.region], perDataCentre[a.place.dataCentre])
                    < std::pair(perRegion[b.place.region], perDataCentre[b.place.dataCentre]);
            });
        ++perRegion[best->place.region];
        ++perDataCentre[best->place.dataCentre];
        group.push_back(best->place.host);
        candidates.erase(best);
    }
    return group;
}

} // namespace laburnum
