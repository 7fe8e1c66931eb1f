/// Random sampling without replacement.
#pragma once

#include <cstddef>
#include <utility>
#include <vector>

#include <laburnumroute/random.h>

namespace laburnum::pvt {

/// Returns up to `count` distinct items, chosen uniformly at random.
template <class T> std::vector<T> sample(std::vector<T> items, std::size_t count, Random& random)
{
    if (count > items.size())
        count = items.size();
    for (std::size_t i = 0; i < count; ++i)
        std::swap(items[i], items[i + uniformBelow(random, items.size() - i)]);
    items.resize(count);
    return items;
}

} // namespace laburnum::pvt
