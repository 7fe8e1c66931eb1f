/// HMAC-SHA-256 and constant-time comparison by OpenSSL.
#pragma once

#include <string>
#include <string_view>

namespace laburnum::pvt {

/// The 32 bytes of HMAC-SHA-256 over `message`.
std::string hmacSha256(std::string_view key, std::string_view message);
/// Compares without telling by its duration where the first difference lies.
bool equalInConstantTime(std::string_view a, std::string_view b) noexcept;
/// `bytes` in lower-case hexadecimal digits.
std::string toHex(std::string_view bytes);

} // namespace laburnum::pvt
