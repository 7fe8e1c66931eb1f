/// Hash function whose results are the same on every host and in every program version.
#pragma once

#include <cstdint>
#include <string_view>

namespace laburnum::pvt {

/// 64-bit hash (XXH3) of `bytes`; its values appear in wire messages and stored files.
std::uint64_t stableHash(std::string_view bytes);

} // namespace laburnum::pvt
