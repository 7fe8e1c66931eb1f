/// Decides when an instance that is considered ended has disproved it by going on announcing
/// itself. Load pattern: announcements that a partition delayed arrive in a burst after the
/// instance ended.
#pragma once

#include <map>
#include <utility>

#include <laburnumroute/fleet_state.h>

namespace laburnum::pvt {

/// Not thread-safe; `now` never goes back. No I/O.
class EndedInstanceObserver {
public:
    /// `state` must outlive the observer.
    explicit EndedInstanceObserver(const FleetState& state)
        : m_state(state)
    {
    }

    /// Returns true once an instance that is considered ended has disproved it: its announcements
    /// continue, while none comes from the instance that holds its id or address.
    bool observe(const InstanceRecord& record, TimePoint now);
    /// Drops the observation of this start of the instance.
    void forget(const InstanceRecord& record) { m_observations.erase(keyOf(record)); }
    void clear() { m_observations.clear(); }

private:
    /// One start of an instance.
    using InstanceKey = std::pair<InstanceId, std::uint64_t>;

    /// The announcements of an instance that is considered ended.
    struct Observation {
        std::uint64_t version = 0;
        TimePoint since;
        TimePoint heard;
        /// The holder of its id or address; default if there is none.
        InstanceKey rival;
        TimePoint rivalHeard;
    };

    static InstanceKey keyOf(const InstanceRecord& record)
    {
        return { record.id, record.incarnation };
    }

    const FleetState& m_state;
    std::map<InstanceKey, Observation> m_observations;
};

} // namespace laburnum::pvt
