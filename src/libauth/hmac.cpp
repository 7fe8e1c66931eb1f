#include "hmac_pvt.h"

#include <array>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace laburnum::pvt {

std::string hmacSha256(std::string_view key, std::string_view message)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
        reinterpret_cast<const unsigned char*>(message.data()), message.size(), digest.data(),
        &size);
    return { digest.begin(), digest.begin() + size };
}

bool equalInConstantTime(std::string_view a, std::string_view b) noexcept
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string toHex(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string result;
    result.reserve(2 * bytes.size());
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        result += digits[byte >> 4];
        result += digits[byte & 0xf];
    }
    return result;
}

} // namespace laburnum::pvt
