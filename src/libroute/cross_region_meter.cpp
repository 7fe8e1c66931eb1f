#include <laburnumroute/cross_region_meter.h>

#include <algorithm>

namespace laburnum {

namespace {

    /// Permitted burst, as time at the limit's rate.
    constexpr double burstSeconds = 1.0;

} // namespace

bool CrossRegionMeter::allows(const RegionId& region, TimePoint now) const
{
    const auto found = m_links.find(region);
    const double debt = found == m_links.end() ? 0.0 : debtAt(found->second, now);
    return m_limit > 0 && debt < static_cast<double>(m_limit) * burstSeconds;
}

void CrossRegionMeter::charge(const RegionId& region, std::uint64_t bytes, TimePoint now)
{
    Link& link = m_links[region];
    link.debt = debtAt(link, now) + static_cast<double>(bytes);
    link.since = now;
    link.total += bytes;
}

std::map<RegionId, std::uint64_t> CrossRegionMeter::totals() const
{
    std::map<RegionId, std::uint64_t> result;
    for (const auto& [region, link] : m_links)
        result[region] = link.total;
    return result;
}

double CrossRegionMeter::debtAt(const Link& link, TimePoint now) const
{
    const double seconds = std::chrono::duration<double>(now - link.since).count();
    return std::max(0.0, link.debt - seconds * static_cast<double>(m_limit));
}

} // namespace laburnum
