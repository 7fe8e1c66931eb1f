#include "ended_instance_observer_pvt.h"

#include <algorithm>

namespace laburnum::pvt {

using std::chrono::milliseconds;

namespace {

    /// An instance that is considered ended, and goes on announcing without gaps for this long, is
    /// reinstated. Announcements that a partition delayed arrive within a shorter time.
    constexpr auto reinstatementTime = milliseconds(5000);
    /// Instances announce every 1.5 s.
    constexpr auto maxAnnouncementGap = milliseconds(3500);
    /// Limit on the instances under observation for it.
    constexpr std::size_t maxObservedInstances = 1024;

} // namespace

bool EndedInstanceObserver::observe(const InstanceRecord& record, TimePoint now)
{
    if (!m_state.canReinstate(record)) {
        // The holder of an id or address that is contested.
        for (auto& [key, observation] : m_observations) {
            if (observation.rival == keyOf(record))
                observation.rivalHeard = now;
        }
        return false;
    }
    const InstanceRecord* rival = m_state.rival(record);
    const InstanceKey rivalKey = rival != nullptr ? keyOf(*rival) : InstanceKey {};
    const InstanceKey key = keyOf(record);
    const auto found = m_observations.find(key);
    if (found == m_observations.end() || now - found->second.heard > maxAnnouncementGap
        || found->second.rival != rivalKey) {
        std::erase_if(m_observations,
            [&](const auto& item) { return now - item.second.heard > maxAnnouncementGap; });
        if (m_observations.size() < maxObservedInstances)
            m_observations[key] = { record.version, now, now, rivalKey, now };
        return false;
    }
    Observation& observation = found->second;
    if (record.version <= observation.version)
        return false;
    observation.version = record.version;
    observation.heard = now;
    return now - std::max(observation.since, observation.rivalHeard) >= reinstatementTime;
}

} // namespace laburnum::pvt
