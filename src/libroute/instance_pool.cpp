#include "instance_pool_pvt.h"

#include <algorithm>

namespace laburnum::pvt {

namespace {

    constexpr auto slowStartTime = std::chrono::seconds(10);
    constexpr double slowStartWeight = 0.1;
    /// Age at which a reported load is no longer used.
    constexpr auto loadHintLifetime = std::chrono::seconds(2);

    double fraction(Duration part, Duration whole)
    {
        return static_cast<double>(part.count()) / static_cast<double>(whole.count());
    }

    Standing standingBy(const Permit& permit)
    {
        if (permit.state == PermitState::OnTrial)
            return Standing::OnTrial;
        return permit.scope.value().empty() ? Standing::Ejected : Standing::Avoided;
    }

} // namespace

const char* standingName(Standing standing) noexcept
{
    switch (standing) {
    case Standing::InService:
        return "in-service";
    case Standing::OnTrial:
        return "on-trial";
    case Standing::Ejected:
        return "ejected";
    case Standing::Avoided:
        return "path-avoided";
    }
    return "unknown";
}

double PooledInstance::weight(TimePoint now) const
{
    const Duration age = now - slowStartBegin;
    if (age >= slowStartTime)
        return 1.0;
    return slowStartWeight + (1.0 - slowStartWeight) * fraction(age, slowStartTime);
}

double PooledInstance::loadHint(TimePoint now) const
{
    const Duration age = now - loadReportedAt;
    if (age >= loadHintLifetime)
        return 0.0;
    return std::clamp(record.load, 0.0, 1.0) * (1.0 - fraction(age, loadHintLifetime));
}

bool PooledInstance::hasCapacity(unsigned hosts, TimePoint now) const
{
    const std::uint32_t connections = std::max(1U, record.connections / std::max(1U, hosts));
    return inFlight < std::min(record.slots, connections) && backoffUntil <= now;
}

std::size_t tierOf(const HostLocation& location, const InstanceRecord& record)
{
    if (record.region != location.region)
        return 2;
    return record.dataCentre == location.dataCentre ? 0 : 1;
}

void InstancePool::upsert(const InstanceRecord& record, const HostLocation& location, TimePoint now)
{
    const auto [entry, added] = m_instances.try_emplace(record.id);
    PooledInstance& instance = entry->second;
    const bool locationChanged = added || instance.gone
        || instance.record.dataCentre != record.dataCentre
        || instance.record.region != record.region;
    if (added || instance.gone)
        instance.slowStartBegin = now;
    instance.gone = false;
    instance.record = record;
    instance.loadReportedAt = now;
    if (locationChanged)
        rebuildTiers(location);
}

void InstancePool::remove(const InstanceId& id, const HostLocation& location, TimePoint /*now*/)
{
    const auto found = m_instances.find(id);
    if (found == m_instances.end())
        return;
    found->second.gone = true;
    rebuildTiers(location);
    if (found->second.inFlight == 0)
        m_instances.erase(found);
}

PooledInstance* InstancePool::find(const InstanceId& id)
{
    const auto found = m_instances.find(id);
    return found == m_instances.end() ? nullptr : &found->second;
}

void InstancePool::endAttempt(const InstanceId& id)
{
    const auto found = m_instances.find(id);
    if (found == m_instances.end() || found->second.inFlight == 0)
        return;
    if (--found->second.inFlight == 0 && found->second.gone)
        m_instances.erase(found);
}

ServingSlots InstancePool::servingSlots() const
{
    ServingSlots slots;
    for (const auto& [id, instance] : m_instances) {
        if (instance.isServing())
            slots[id] = instance.record.slots;
    }
    return slots;
}

std::vector<PooledInstance*> InstancePool::refresh(
    std::uint32_t floorSlots, const HostLocation& location, TimePoint now)
{
    if (m_permits.expires <= now)
        m_permits.permits.clear();
    const std::size_t effectiveCount
        = permitsWithinFloor(floorSlots, servingSlots(), m_permits.permits);
    std::map<InstanceId, Standing> standings;
    for (std::size_t i = 0; i < effectiveCount; ++i) {
        const Permit& permit = m_permits.permits[i];
        const bool applies = permit.scope.value().empty() || permit.scope == location.dataCentre;
        if (applies && permit.state != PermitState::Withdrawn)
            standings[permit.instance] = standingBy(permit);
    }
    std::vector<PooledInstance*> changed;
    for (auto& [id, instance] : m_instances) {
        const auto found = standings.find(id);
        const Standing standing = found == standings.end() ? Standing::InService : found->second;
        if (standing == instance.standing)
            continue;
        if (standing == Standing::InService) {
            instance.onProbation = instance.standing != Standing::OnTrial;
            instance.slowStartBegin = now;
        }
        instance.standing = standing;
        changed.push_back(&instance);
    }
    return changed;
}

void InstancePool::rebuildTiers(const HostLocation& location)
{
    for (auto& tier : m_tiers)
        tier.clear();
    for (auto& [id, instance] : m_instances) {
        if (!instance.gone)
            m_tiers.at(tierOf(location, instance.record)).push_back(&instance);
    }
}

} // namespace laburnum::pvt
