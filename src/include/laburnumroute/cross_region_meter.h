/// Counts and limits the traffic that one host sends to other regions.
#pragma once

#include <cstdint>
#include <map>

#include <laburnumroute/clock.h>
#include <laburnumroute/ids.h>

namespace laburnum {

/// One token bucket of bytes per region. An attempt may start while its bucket is not overdrawn;
/// its bytes are charged when it ends. No I/O; not thread-safe.
class CrossRegionMeter {
public:
    /// 4,000 Mbit/s shared by 16 hosts of a region, in bytes per second.
    static constexpr std::uint64_t defaultBytesPerSecond = 4'000'000'000 / 8 / 16;

    /// Sets this host's share of the bandwidth between its region and each other region.
    void setLimit(std::uint64_t bytesPerSecond) noexcept { m_limit = bytesPerSecond; }
    /// Returns true if an attempt to `region` may start.
    bool allows(const RegionId& region, TimePoint now) const;
    /// Counts `bytes` sent to and received from `region`.
    void charge(const RegionId& region, std::uint64_t bytes, TimePoint now);
    /// Total bytes by region.
    std::map<RegionId, std::uint64_t> totals() const;

private:
    struct Link {
        std::uint64_t total = 0;
        /// Bytes sent in excess of the limit, as of `since`.
        double debt = 0.0;
        TimePoint since {};
    };

    double debtAt(const Link& link, TimePoint now) const;

    std::uint64_t m_limit = defaultBytesPerSecond;
    std::map<RegionId, Link> m_links;
};

} // namespace laburnum
