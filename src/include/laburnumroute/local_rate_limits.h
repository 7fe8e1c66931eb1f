/// Rate limits of instances as one entry host knows them. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <laburnumroute/rate_limit.h>

namespace laburnum {

/// Not thread-safe; `now` never goes back.
class LocalRateLimits {
public:
    /// Returns whether the instance's limit changed.
    bool onStatement(const InstanceRateLimit& limit, TimePoint now)
    {
        return m_stated.update(limit, now);
    }
    /// The instance is registered as this start. What another start said is void.
    void onInstance(const InstanceId& id, std::uint64_t incarnation)
    {
        m_stated.onInstance(id, incarnation);
    }
    void remove(const InstanceId& id) { m_stated.remove(id); }
    /// A request was placed at the instance, by the leader or by this host alone.
    void onPlaced(const InstanceId& id, bool isAlone);

    /// Empty without a limit.
    std::optional<double> perSecond(const InstanceId& id) const { return m_stated.perSecond(id); }
    /// Prometheus text.
    std::string render() const;

private:
    StatedRateLimits m_stated;
    std::uint64_t m_granted = 0;
    std::uint64_t m_placedAlone = 0;
};

} // namespace laburnum
