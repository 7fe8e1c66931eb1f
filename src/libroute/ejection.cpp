#include <laburnumroute/ejection.h>

#include <algorithm>
#include <set>

namespace laburnum {

std::size_t permitsWithinFloor(
    std::uint32_t floorSlots, const ServingSlots& serving, std::span<const Permit> permits)
{
    const std::uint64_t floor = std::max<std::uint32_t>(floorSlots, 1);
    std::uint64_t capacity = 0;
    for (const auto& [id, slots] : serving)
        capacity += slots;
    std::set<InstanceId> counted;
    std::size_t count = 0;
    for (const Permit& permit : permits) {
        const auto instance = serving.find(permit.instance);
        if (instance != serving.end() && counted.insert(permit.instance).second) {
            if (capacity < floor + instance->second)
                return count;
            capacity -= instance->second;
        }
        ++count;
    }
    return count;
}

} // namespace laburnum
