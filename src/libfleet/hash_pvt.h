/// Hashes that are equal on every host and in every version of the program.
#pragma once

#include <cstdint>
#include <string_view>

namespace laburnum::pvt {

/// 64-bit hash of `bytes`; part of wire messages and file formats.
std::uint64_t stableHash(std::string_view bytes);

} // namespace laburnum::pvt
