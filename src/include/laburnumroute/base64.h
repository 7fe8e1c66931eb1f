/// Base64 encoding for binary data in JSON.
#pragma once

#include <string>
#include <string_view>

#include <laburnumroute/error.h>

namespace laburnum {

/// Encodes `bytes` with padding.
std::string encodeBase64(std::string_view bytes);
/// Decodes `text`; InvalidArgument when it is not padded base64.
Expected<std::string> decodeBase64(std::string_view text);

} // namespace laburnum
