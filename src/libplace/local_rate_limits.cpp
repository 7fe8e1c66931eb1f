#include <laburnumroute/local_rate_limits.h>

namespace laburnum {

void LocalRateLimits::onPlaced(const InstanceId& id, bool isAlone)
{
    if (m_stated.perSecond(id))
        ++(isAlone ? m_placedAlone : m_granted);
}

std::string LocalRateLimits::render() const
{
    return "# TYPE laburnum_rate_limits_known gauge\nlaburnum_rate_limits_known "
        + std::to_string(m_stated.limited())
        + "\n# TYPE laburnum_rate_limited_placements_total counter\n"
          "laburnum_rate_limited_placements_total{by=\"leader\"} "
        + std::to_string(m_granted) + "\nlaburnum_rate_limited_placements_total{by=\"host\"} "
        + std::to_string(m_placedAlone) + '\n';
}

} // namespace laburnum
