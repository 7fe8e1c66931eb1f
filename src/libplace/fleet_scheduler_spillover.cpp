// What FleetScheduler tells its SpilloverPolicy and asks of it.

#include <algorithm>

#include <laburnumroute/fleet_scheduler.h>

#include "placement_cost_pvt.h"

namespace laburnum {

void FleetScheduler::onDelay(
    const DataCentreId& one, const DataCentreId& other, bool isSameRegion, Duration oneWay)
{
    m_spillover.onDelay(one, other, isSameRegion, oneWay);
}

/// Called at each tick.
void FleetScheduler::updateSpillover(const ServiceId& id, const Service& service, TimePoint now)
{
    if (!m_spillover.isOn())
        return;
    std::map<DataCentreId, SpilloverPolicy::CentreLoad> loads;
    for (const auto& [requestClass, queue] : service.classes) {
        auto& load = loads[requestClass.dataCentre];
        load.region = requestClass.region;
        load.waiting += static_cast<double>(queue.waiters.size());
    }
    for (const Instance* instance : service.instances) {
        auto& load = loads[instance->record.dataCentre];
        load.region = instance->record.region;
        if (usable(*instance, now)
            && healthOf(*instance, now).failureProbability <= pvt::graveProbability)
            load.slots += instance->record.slots + instance->transitSlots;
    }
    std::vector<SpilloverPolicy::CentreLoad> list;
    for (auto& [centre, load] : loads) {
        load.centre = centre;
        list.push_back(std::move(load));
    }
    m_spillover.update(id, list, now);
}

/// The network cost of a slot at `instance`, and, for a slot that the request has no need to use,
/// the cost of the failures that its record does not rule out.
double FleetScheduler::awayCost(
    const Instance& instance, const PlacementRequest& request, double probability) const
{
    const InstanceRecord& record = instance.record;
    if (!m_spillover.isOn())
        return pvt::distanceCost(record, request.dataCentre, request.region, request.bodyKiB);
    const SpilloverPath path
        = m_spillover.path(request.service, request.dataCentre, record.dataCentre);
    const double cost = m_spillover.cost(path, request.dataCentre, record.dataCentre,
        record.region == request.region, request.bodyKiB);
    if (path != SpilloverPath::Closed)
        return cost;
    const double bound = std::max(instance.health->failureBound, probability);
    return cost + pvt::failureCost(request.kind, bound - probability);
}

} // namespace laburnum
