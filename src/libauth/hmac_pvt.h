/// HMAC-SHA-256 and constant-time comparison, using OpenSSL.
#pragma once

#include <string>
#include <string_view>

namespace laburnum::pvt {

/// HMAC-SHA-256 of `message`; 32 bytes.
std::string hmacSha256(std::string_view key, std::string_view message);
/// Compares in constant time, so that the duration does not reveal the position of a difference.
bool equalInConstantTime(std::string_view a, std::string_view b) noexcept;
/// Encodes `bytes` as lower-case hexadecimal digits.
std::string toHex(std::string_view bytes);

} // namespace laburnum::pvt
