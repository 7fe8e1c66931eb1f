/// Base64 (RFC 4648, with padding), which carries bytes in JSON strings.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace laburnum::pvt {

std::string encodeBase64(std::string_view bytes);
/// Nothing when `text` is not base64.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace laburnum::pvt
