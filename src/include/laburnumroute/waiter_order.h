/// The order of a queue of FleetScheduler, and the place of a request in it.
#pragma once

#include <compare>
#include <cstdint>
#include <limits>

#include <ext/pb_ds/assoc_container.hpp>
#include <ext/pb_ds/tree_policy.hpp>

namespace laburnum {

/// Lower priority values first, then by start tag (FairShares), then first in, first out. Without
/// accounts all start tags are 0.
struct WaiterOrder {
    std::uint32_t priority = 0;
    double startTag = 0.0;
    std::uint64_t number = 0;

    /// Precedes all requests of `priority`.
    static WaiterOrder firstOf(std::uint32_t priority)
    {
        return { priority, -std::numeric_limits<double>::infinity(), 0 };
    }

    /// Follows all requests of `priority`. The largest priority has no successor, so the end of a
    /// priority is not the beginning of the next one.
    static WaiterOrder lastOf(std::uint32_t priority)
    {
        return { priority, std::numeric_limits<double>::infinity(),
            std::numeric_limits<std::uint64_t>::max() };
    }

    friend auto operator<=>(const WaiterOrder&, const WaiterOrder&) = default;
};

/// Ordered set that counts the elements before a given one in logarithmic time.
using WaiterRanks = __gnu_pbds::tree<WaiterOrder, __gnu_pbds::null_type, std::less<>,
    __gnu_pbds::rb_tree_tag, __gnu_pbds::tree_order_statistics_node_update>;

} // namespace laburnum
