/// Difference between two versions of a configuration's text.
///
/// Load pattern: a configuration of thousands of routes changes in one of them, many times a
/// second, and hundreds of entry hosts with narrow links need each version. Deflate with the
/// previous text as its dictionary sees only the last 32 KiB of it.
#pragma once

#include <string>
#include <string_view>

#include <laburnumroute/error.h>

namespace laburnum::pvt {

/// Encodes `text`, compressed, as a difference to `base`, which may be empty. Texts are compared in
/// pieces that end with a closing brace.
std::string encodeDelta(std::string_view text, std::string_view base);
/// The inverse. Corrupt when `bytes` is damaged, belongs to another base, or expands to more than
/// `limit` bytes.
Expected<std::string> decodeDelta(std::string_view bytes, std::string_view base, std::size_t limit);

} // namespace laburnum::pvt
