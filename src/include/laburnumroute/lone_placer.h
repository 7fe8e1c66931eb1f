/// Chooses instances with one host's knowledge alone: while the fleet's view is out of reach, and to
/// keep requests off paths that only this host finds broken. No I/O.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include <laburnumroute/host_place.h>
#include <laburnumroute/instance.h>
#include <laburnumroute/placement_types.h>
#include <laburnumroute/random.h>
#include <laburnumroute/repeat_window.h>

namespace laburnum {

/// Not thread-safe; `now` never goes back.
class LonePlacer {
public:
    LonePlacer(HostPlace place, std::uint64_t seed);

    void upsert(const InstanceRecord& record);
    void remove(const InstanceId& id);
    const InstanceRecord* find(const InstanceId& id) const;
    const std::map<InstanceId, InstanceRecord>& instances() const noexcept { return m_records; }
    /// Replaces what the fleet's view last held for likely to fail.
    void setDoubtful(const std::vector<InstanceId>& ids);

    /// An attempt began or ended at `id`.
    void begin(const InstanceId& id) { ++m_busy[id]; }
    void end(const InstanceId& id, PlacedEnd how, TimePoint now);
    /// Instances that this host alone found out of reach lately.
    std::vector<InstanceId> brokenPaths(TimePoint now) const;

    /// The instance for a request of `service`, not one of `avoid`. Two random ones are compared by
    /// their load, near ones first.
    std::optional<InstanceId> choose(
        const ServiceId& service, const std::vector<InstanceId>& avoid, TimePoint now);
    /// Takes one repeat from this host's own budget.
    bool takeRepeat(const ServiceId& service, TimePoint now);
    void onRequest(const ServiceId& service, TimePoint now);

private:
    int distance(const InstanceRecord& record) const;
    std::uint32_t busy(const InstanceId& id) const;

    HostPlace m_place;
    Random m_random;
    std::map<InstanceId, InstanceRecord> m_records;
    std::map<InstanceId, std::uint32_t> m_busy;
    std::map<InstanceId, TimePoint> m_brokenUntil;
    std::set<InstanceId> m_doubtful;
    std::map<ServiceId, RepeatWindow> m_repeats;
};

} // namespace laburnum
