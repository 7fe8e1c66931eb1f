// Placements of FleetScheduler after their grant: how they end, what their outcomes and responses
// say about instances and services, and which of them are adopted, orphaned or overdue.

#include <algorithm>

#include <laburnumroute/fleet_scheduler.h>

#include "fleet_scheduler_pvt.h"
#include "placement_cost_pvt.h"

namespace laburnum {

using namespace pvt;
using std::chrono::milliseconds;

namespace {

    constexpr double typicalGain = 0.05;
    /// Bounds the share of time in transit, which is measured over about a hundred attempts.
    constexpr double maxTransitShare = 0.4;
    constexpr double transitGain = 0.01;
    /// An attempt is overdue after this many typical latencies, but never before overdueFloor.
    constexpr double overdueFactor = 3.0;
    constexpr auto overdueFloor = milliseconds(1000);
    /// Longest time for which attempts of a closed link are assumed to go on.
    constexpr auto orphanTimeout = milliseconds(1000);

} // namespace

void FleetScheduler::release(const Placement& placement)
{
    if (!placement.home.value().empty())
        m_spillover.onRelease(
            placement.service, placement.home, placement.destination, placement.hasLeft);
    const auto instance = m_instances.find(placement.instance);
    if (instance != m_instances.end() && instance->second.busy > 0)
        --instance->second.busy;
}

void FleetScheduler::end(DispatchKey key, const PlacementReport& report, TimePoint now,
    std::vector<PlacementReply>& replies)
{
    const auto found = m_placements.find(key);
    if (found == m_placements.end())
        return;
    const Placement placement = found->second;
    m_placements.erase(found);
    if (report.isUnsent) {
        m_caps.giveBack(key, now);
        m_rateLimits.giveBack(key, now);
    } else {
        m_caps.settle(key);
        m_rateLimits.settle(key);
    }
    release(placement);
    correctCharge(serviceOf(placement.service), placement, now - placement.since);
    recordOutcome(placement, report, now);
    const auto instance = m_instances.find(placement.instance);
    if (instance != m_instances.end())
        offer(serviceOf(instance->second.record.service), instance->second, now, replies);
}

void FleetScheduler::recordOutcome(
    const Placement& placement, const PlacementReport& report, TimePoint now)
{
    Service& service = serviceOf(placement.service);
    const auto found = m_instances.find(placement.instance);
    if (report.end == PlacementOutcome::Success) {
        const double seconds = std::chrono::duration<double>(report.latency).count();
        if (service.typicalSeconds <= 0)
            service.typicalSeconds = initialTypicalSeconds;
        service.typicalSeconds += typicalGain
            * (std::min(seconds, 4 * service.typicalSeconds) - service.typicalSeconds);
        updateTransitShare(service, now - placement.since, report.latency);
    }
    if (found == m_instances.end())
        return;
    Instance& instance = found->second;
    if (report.reportedLoad >= 0) {
        instance.externalLoad
            = std::max(0.0, static_cast<double>(report.reportedLoad) - instance.busy - 1);
        instance.externalLoadAt = now;
    }
    if (report.end != PlacementOutcome::Success && report.end != PlacementOutcome::Unused)
        instance.lastFailure = now;
    if (report.end == PlacementOutcome::Refused || report.end == PlacementOutcome::Unreachable) {
        instance.lastUnreachable = now;
        service.capacity.reset();
    }
    pvt::updateEstimator(instance.estimator, report, typicalLatencyOf(service), now);
    instance.health.reset();
}

void FleetScheduler::onRateLimit(const InstanceRateLimit& limit, TimePoint now)
{
    const auto found = m_instances.find(limit.instance);
    if (found == m_instances.end() || found->second.record.incarnation != limit.incarnation)
        return;
    serviceOf(found->second.record.service).capacity.reset();
    m_rateLimits.onStatement(limit, now);
}

void FleetScheduler::updateTransitShare(Service& service, Duration held, Duration latency)
{
    if (held <= Duration::zero())
        return;
    const double worked = std::chrono::duration<double>(std::min(latency, held)).count();
    const double share = 1.0 - worked / std::chrono::duration<double>(held).count();
    service.transitShare += transitGain * (std::min(share, maxTransitShare) - service.transitShare);
}

/// Called at each tick.
void FleetScheduler::updateTransitSlots(Service& service)
{
    const double perSlot = service.transitShare / (1.0 - service.transitShare);
    for (Instance* instance : service.instances)
        instance->transitSlots
            = static_cast<std::uint32_t>(perSlot * static_cast<double>(instance->record.slots));
}

void FleetScheduler::adopt(const ActivePlacement& placement, TimePoint now)
{
    const auto found = m_instances.find(placement.instance);
    if (found != m_instances.end())
        ++found->second.busy;
    m_placements[placement.key]
        = { placement.instance, placement.service, now - placement.age, now + placement.remaining };
    m_caps.takeByForce(placement.account, 1, placement.age, now);
    // What was placed before this leader's start is part of what an earlier leader granted, or of
    // what hosts have alone.
    if (now - placement.age >= m_startedAt)
        m_rateLimits.takeByForce(placement.instance, now);
}

void FleetScheduler::dropLink(LinkId link, TimePoint now)
{
    for (auto waiting = m_waiterIndex.lower_bound({ link, DispatchId(0) });
         waiting != m_waiterIndex.end() && waiting->first.link == link;) {
        m_caps.giveBack(waiting->first, now);
        const auto [service, order] = (waiting++)->second;
        dropWaiter(*service, service->waiters.find(order));
    }
    const auto first = m_placements.lower_bound({ link, DispatchId(0) });
    for (auto placement = first; placement != m_placements.end() && placement->first.link == link;
         ++placement)
        placement->second.until = std::min(placement->second.until, now + orphanTimeout);
}

void FleetScheduler::checkPlacements(TimePoint now)
{
    for (auto placement = m_placements.begin(); placement != m_placements.end();) {
        Placement& active = placement->second;
        if (!active.overdue && now - active.since > overdueFloor) {
            const Duration typicalLatency = typicalLatencyOf(serviceOf(active.service));
            const auto instance = m_instances.find(active.instance);
            const double limit
                = overdueFactor * std::chrono::duration<double>(typicalLatency).count();
            if (now - active.since > fromSeconds(limit) && instance != m_instances.end()) {
                active.overdue = true;
                instance->second.estimator.onTimeout(now - active.since, typicalLatency, now);
                instance->second.health.reset();
            }
        }
        if (now <= active.until + orphanTimeout) {
            ++placement;
            continue;
        }
        release(active);
        m_caps.settle(placement->first);
        m_rateLimits.settle(placement->first);
        correctCharge(serviceOf(active.service), active, now - active.since);
        placement = m_placements.erase(placement);
    }
}

} // namespace laburnum
