/// The instances of one service as one host sees them, ordered by distance.
#pragma once

#include <array>
#include <map>
#include <vector>

#include <laburnumroute/dispatcher.h>
#include <laburnumroute/ejection.h>

namespace laburnum::pvt {

/// What keeps traffic from an instance at this host.
enum class Standing { InService, OnTrial, Ejected, Avoided };

/// Stable word for `standing`.
const char* standingName(Standing standing) noexcept;

/// One instance with this host's own counters.
struct PooledInstance {
    InstanceRecord record;
    std::uint32_t inFlight = 0;
    Standing standing = Standing::InService;
    /// Start of slow start.
    TimePoint rampStart {};
    /// Back from ejection without a trial: requests that are not idempotent go elsewhere if they
    /// can, until slow start ends.
    bool onProbation = false;
    TimePoint reportedAt {};
    /// The instance said that it is full; it is left alone until then.
    TimePoint fullUntil {};
    TimePoint nextTrial {};
    /// Known no longer; kept while attempts are in flight.
    bool gone = false;
    OutcomeCounts outcomes;

    bool isServing() const { return !gone && record.phase == InstancePhase::Serving; }
    /// Share of traffic by slow start, 0 to 1.
    double weight(TimePoint now) const;
    /// The reported load, faded by its age.
    double loadHint(TimePoint now) const;
    /// True when neither slots nor this host's share of connections are used up.
    bool hasRoom(unsigned hosts, TimePoint now) const;
};

/// Not thread-safe.
class InstancePool {
public:
    /// Own data centre, own region, other regions.
    static constexpr std::size_t tierCount = 3;

    void upsert(const InstanceRecord& record, const HostLocation& place, TimePoint now);
    void remove(const InstanceId& id, const HostLocation& place, TimePoint now);
    /// Null when unknown.
    PooledInstance* find(const InstanceId& id);
    void endAttempt(const InstanceId& id);

    const std::vector<PooledInstance*>& tier(std::size_t index) const { return m_tiers.at(index); }
    std::map<InstanceId, PooledInstance>& instances() { return m_instances; }
    const std::map<InstanceId, PooledInstance>& instances() const { return m_instances; }
    ServingSlots servingSlots() const;

    /// Puts `permits` in force for `place`; they stay until replaced or expired.
    void setPermits(PermitSet permits) { m_permits = std::move(permits); }
    /// Brings the standings in line with permits, floor and time; returns the instances whose
    /// standing changed.
    std::vector<PooledInstance*> refresh(
        std::uint32_t floorSlots, const HostLocation& place, TimePoint now);
    const PermitSet& permits() const { return m_permits; }

private:
    void rebuildTiers(const HostLocation& place);

    std::map<InstanceId, PooledInstance> m_instances;
    std::array<std::vector<PooledInstance*>, tierCount> m_tiers;
    PermitSet m_permits;
};

/// Distance of an instance at (`dataCentre`, `region`) from `place`: 0, 1 or 2.
std::size_t tierOf(const HostLocation& place, const InstanceRecord& record);

} // namespace laburnum::pvt
