/// The instances of one service as one host sees them, ordered by distance.
#pragma once

#include <array>
#include <map>
#include <vector>

#include <laburnumroute/dispatcher.h>
#include <laburnumroute/ejection.h>

namespace laburnum::pvt {

/// Whether this host sends traffic to an instance.
enum class Standing { InService, OnTrial, Ejected, Avoided };

/// Stable name of `standing` in logs.
const char* standingName(Standing standing) noexcept;

/// An instance with the counters of this host.
struct PooledInstance {
    InstanceRecord record;
    std::uint32_t inFlight = 0;
    Standing standing = Standing::InService;
    /// When slow start began.
    TimePoint slowStartBegin {};
    /// Returned from ejection without a trial: until slow start ends, requests that are not
    /// idempotent prefer other instances.
    bool onProbation = false;
    TimePoint loadReportedAt {};
    /// The instance shed a request; it gets none until then.
    TimePoint backoffUntil {};
    TimePoint nextTrial {};
    /// Removed; kept while attempts are in flight.
    bool gone = false;
    OutcomeCounts outcomes;

    bool isServing() const { return !gone && record.phase == InstancePhase::Serving; }
    /// Slow-start weight, 0 to 1.
    double weight(TimePoint now) const;
    /// The reported load, reduced by its age.
    double loadHint(TimePoint now) const;
    /// Returns true if a slot and one of this host's share of connections are free.
    bool hasCapacity(unsigned hosts, TimePoint now) const;
};

/// Not thread-safe.
class InstancePool {
public:
    /// Own data centre, own region, other regions.
    static constexpr std::size_t tierCount = 3;

    void upsert(const InstanceRecord& record, const HostLocation& location, TimePoint now);
    void remove(const InstanceId& id, const HostLocation& location, TimePoint now);
    /// Returns null if unknown.
    PooledInstance* find(const InstanceId& id);
    void endAttempt(const InstanceId& id);

    const std::vector<PooledInstance*>& tier(std::size_t index) const { return m_tiers.at(index); }
    std::map<InstanceId, PooledInstance>& instances() { return m_instances; }
    const std::map<InstanceId, PooledInstance>& instances() const { return m_instances; }
    ServingSlots servingSlots() const;

    /// Sets the permits in force, until they are replaced or expire.
    void setPermits(PermitSet permits) { m_permits = std::move(permits); }
    /// Updates the standings according to permits, floor and time. Returns the instances whose
    /// standing changed.
    std::vector<PooledInstance*> refresh(
        std::uint32_t floorSlots, const HostLocation& location, TimePoint now);
    const PermitSet& permits() const { return m_permits; }

private:
    void rebuildTiers(const HostLocation& location);

    std::map<InstanceId, PooledInstance> m_instances;
    std::array<std::vector<PooledInstance*>, tierCount> m_tiers;
    PermitSet m_permits;
};

/// Distance of an instance from `location`: 0 (same data centre), 1 (same region) or 2.
std::size_t tierOf(const HostLocation& location, const InstanceRecord& record);

} // namespace laburnum::pvt
