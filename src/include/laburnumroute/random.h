/// Seeded random numbers. Deterministic components own a generator that is seeded by their creator.
#pragma once

#include <cstdint>
#include <random>

namespace laburnum {

using Random = std::mt19937_64;

/// A uniform integer in [0, bound); `bound` is at least 1.
inline std::uint64_t uniformBelow(Random& random, std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random);
}

/// A uniform real in [0, 1).
inline double uniformReal(Random& random)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

} // namespace laburnum
