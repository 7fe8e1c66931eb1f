// Instance selection of the dispatcher: nearest tier first, with capacity, by weight.

#include "dispatcher_pvt.h"

namespace laburnum {

namespace {

    using pvt::PooledInstance;
    using pvt::Standing;

    /// Minimum interval between trial requests of one host to one instance.
    constexpr auto trialInterval = std::chrono::milliseconds(500);

} // namespace

Dispatcher::Selection Dispatcher::select(const Service& service, const RequestAttributes& request,
    const std::set<InstanceId>& tried, TimePoint now)
{
    pvt::InstancePool& pool = poolOf(service.spec.name);
    if (!pool.permits().permits.empty() && pool.permits().expires <= now)
        refreshStandings(service.spec.name, now);
    const bool idempotent = isIdempotentMethod(request.method);
    Selection selection;
    if (PooledInstance* trial = idempotent && tried.empty() ? dueTrial(service, now) : nullptr) {
        trial->nextTrial = now + trialInterval;
        selection.onTrial = true;
        selection.distance = pvt::tierOf(m_location, trial->record);
        selection.candidates.push_back({ trial->record.id, trial->record.slots, trial->inFlight });
        return selection;
    }
    for (std::size_t distance = 0; distance < pvt::InstancePool::tierCount; ++distance) {
        selection.candidates = candidatesAt(pool.tier(distance), idempotent, tried, now);
        selection.distance = distance;
        if (!selection.candidates.empty())
            return selection;
    }
    for (const auto& [id, instance] : pool.instances()) {
        if (instance.isServing() && !tried.contains(id) && instance.standing == Standing::InService)
            selection.anyServing = true;
    }
    return selection;
}

std::vector<Candidate> Dispatcher::candidatesAt(const std::vector<PooledInstance*>& tier,
    bool idempotent, const std::set<InstanceId>& tried, TimePoint now)
{
    std::vector<Candidate> candidates;
    std::vector<Candidate> deferred;
    for (const PooledInstance* instance : tier) {
        const InstanceRecord& record = instance->record;
        if (!instance->isServing() || instance->standing != Standing::InService
            || !instance->hasCapacity(m_hosts, now) || tried.contains(record.id))
            continue;
        if (record.region != m_location.region && !m_meter.allows(record.region, now))
            continue;
        const double weight = instance->weight(now);
        const bool avoidOnProbation = instance->onProbation && !idempotent && weight < 1.0;
        const bool skippedBySlowStart = weight < 1.0 && uniformReal(m_random) >= weight;
        auto& list = avoidOnProbation || skippedBySlowStart ? deferred : candidates;
        list.push_back(
            { record.id, record.slots, instance->inFlight, instance->loadHint(now), weight });
    }
    return candidates.empty() ? deferred : candidates;
}

PooledInstance* Dispatcher::dueTrial(const Service& service, TimePoint now)
{
    pvt::InstancePool& pool = poolOf(service.spec.name);
    if (pool.permits().permits.empty())
        return nullptr;
    for (std::size_t distance = 0; distance < pvt::InstancePool::tierCount; ++distance) {
        for (PooledInstance* instance : pool.tier(distance)) {
            if (instance->standing == Standing::OnTrial && instance->isServing()
                && instance->inFlight == 0 && instance->nextTrial <= now)
                return instance;
        }
    }
    return nullptr;
}

std::size_t Dispatcher::freeSlots(const ServiceId& service, TimePoint now) const
{
    const auto pool = m_pools.find(service);
    if (pool == m_pools.end())
        return 0;
    std::size_t free = 0;
    for (const auto& [id, instance] : pool->second->instances()) {
        if (instance.isServing() && instance.standing == Standing::InService
            && instance.hasCapacity(m_hosts, now))
            free += instance.record.slots - instance.inFlight;
    }
    return free;
}

} // namespace laburnum
