#include <laburnumroute/lone_placer.h>

#include <algorithm>

namespace laburnum {

namespace {

    /// A path that failed is left alone for so long, about as long as a cut takes to heal.
    constexpr auto brokenFor = std::chrono::milliseconds(3000);
    /// Repeats for each request of this host while it is alone; half of what the fleet allows, so
    /// that the hosts together stay within it while the view's own share runs out.
    constexpr double loneRepeatRatio = 0.1;
    /// Nearer instances are taken while at least so many serve there.
    constexpr std::size_t enoughNear = 2;
    constexpr int distances = 3;

} // namespace

LonePlacer::LonePlacer(HostPlace place, std::uint64_t seed)
    : m_place(std::move(place))
    , m_random(seed)
{
}

void LonePlacer::upsert(const InstanceRecord& record) { m_records[record.id] = record; }

void LonePlacer::remove(const InstanceId& id)
{
    m_records.erase(id);
    m_brokenUntil.erase(id);
}

const InstanceRecord* LonePlacer::find(const InstanceId& id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second;
}

void LonePlacer::setDoubtful(const std::vector<InstanceId>& ids)
{
    m_doubtful = { ids.begin(), ids.end() };
}

void LonePlacer::end(const InstanceId& id, PlacedEnd how, TimePoint now)
{
    const auto found = m_busy.find(id);
    if (found != m_busy.end() && --found->second == 0)
        m_busy.erase(found);
    const bool broken
        = how == PlacedEnd::Unreachable || how == PlacedEnd::Refused || how == PlacedEnd::Silence;
    if (broken)
        m_brokenUntil[id] = now + brokenFor;
    else if (how == PlacedEnd::Success)
        m_brokenUntil.erase(id);
}

std::vector<InstanceId> LonePlacer::brokenPaths(TimePoint now) const
{
    std::vector<InstanceId> ids;
    for (const auto& [id, until] : m_brokenUntil) {
        if (now < until)
            ids.push_back(id);
    }
    return ids;
}

int LonePlacer::distance(const InstanceRecord& record) const
{
    if (record.dataCentre == m_place.dataCentre)
        return 0;
    return record.region == m_place.region ? 1 : 2;
}

std::uint32_t LonePlacer::busy(const InstanceId& id) const
{
    const auto found = m_busy.find(id);
    return found == m_busy.end() ? 0 : found->second;
}

std::optional<InstanceId> LonePlacer::choose(
    const ServiceId& service, const std::vector<InstanceId>& avoid, TimePoint now)
{
    std::vector<InstanceId> good;
    std::vector<InstanceId> any;
    for (int reach = 0; reach < distances && good.size() < enoughNear; ++reach) {
        for (const auto& [id, record] : m_records) {
            if (record.service != service || record.phase != InstancePhase::Serving
                || distance(record) != reach
                || std::find(avoid.begin(), avoid.end(), id) != avoid.end())
                continue;
            any.push_back(id);
            const auto broken = m_brokenUntil.find(id);
            if (!m_doubtful.contains(id) && (broken == m_brokenUntil.end() || now >= broken->second))
                good.push_back(id);
        }
    }
    const auto& pool = good.empty() ? any : good;
    if (pool.empty())
        return std::nullopt;
    const InstanceId& first = pool[uniformBelow(m_random, pool.size())];
    const InstanceId& second = pool[uniformBelow(m_random, pool.size())];
    return busy(second) < busy(first) ? second : first;
}

bool LonePlacer::takeRepeat(const ServiceId& service, TimePoint now)
{
    auto& window = m_repeats[service];
    window.setTerms({ loneRepeatRatio, 0.0 });
    return window.take(now);
}

void LonePlacer::onRequest(const ServiceId& service, TimePoint now)
{
    m_repeats[service].onRequest(now);
}

} // namespace laburnum
