// Implements TrafficView for the dispatcher: evidence out, permits in.

#include "dispatcher_pvt.h"

namespace laburnum {

namespace {

    /// Age from which an attempt in flight without an answer counts as slow.
    constexpr auto overdueAge = std::chrono::seconds(1);

} // namespace

std::vector<ServiceSpec> Dispatcher::declaredServices() const
{
    std::vector<ServiceSpec> specs;
    specs.reserve(m_services.size());
    for (const auto& [name, service] : m_services)
        specs.push_back(service.spec);
    return specs;
}

ServingSlots Dispatcher::servingSlots(const ServiceId& service) const
{
    const auto pool = m_pools.find(service);
    return pool == m_pools.end() ? ServingSlots {} : pool->second->servingSlots();
}

std::vector<EvidenceDelta> Dispatcher::takeEvidence(TimePoint now)
{
    countOverdue(now);
    std::vector<EvidenceDelta> deltas;
    for (const auto& [name, service] : m_services) {
        EvidenceDelta delta;
        delta.service = name;
        for (auto& [id, instance] : poolOf(name).instances()) {
            if (!instance.outcomes.empty())
                delta.instances[id] = std::exchange(instance.outcomes, {});
        }
        if (!delta.instances.empty())
            deltas.push_back(std::move(delta));
    }
    return deltas;
}

void Dispatcher::applyPermits(const ServiceId& service, const PermitSet& permits, TimePoint now)
{
    poolOf(service).setPermits(permits);
    refreshStandings(service, now);
}

void Dispatcher::refreshStandings(const ServiceId& service, TimePoint now)
{
    const auto found = m_services.find(service);
    const std::uint32_t floor = found == m_services.end() ? 0 : found->second.spec.floorSlots;
    for (const auto* instance : poolOf(service).refresh(floor, m_location, now))
        recordStanding(service, *instance);
}

void Dispatcher::countOutcome(const Attempt& attempt, pvt::PooledInstance& instance,
    const AttemptReport& report, TimePoint /*now*/)
{
    OutcomeCounts& outcomes = instance.outcomes;
    switch (report.result) {
    case AttemptResult::Succeeded:
        ++outcomes.succeeded;
        if (!attempt.overdue && attempt.region == m_location.region)
            outcomes.latency.add(report.latency);
        break;
    case AttemptResult::Failed:
        ++(report.status != 0 ? outcomes.failed : outcomes.broken);
        break;
    case AttemptResult::TimedOut:
        ++outcomes.timedOut;
        break;
    case AttemptResult::NotConnected:
        ++outcomes.notConnected;
        break;
    case AttemptResult::Shed:
        ++outcomes.shed;
        break;
    case AttemptResult::CallerFault:
        break;
    }
}

void Dispatcher::countOverdue(TimePoint now)
{
    for (auto& [id, attempt] : m_attempts) {
        if (attempt.overdue || now - attempt.start < overdueAge
            || attempt.region != m_location.region)
            continue;
        attempt.overdue = true;
        if (auto* instance = poolOf(attempt.service).find(attempt.instance))
            instance->outcomes.latency.add(now - attempt.start);
    }
}

} // namespace laburnum
