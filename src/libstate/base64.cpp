#include "base64_pvt.h"

#include <array>
#include <cstdint>

namespace laburnum::pvt {

namespace {

    constexpr std::string_view alphabet
        = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    constexpr unsigned bitsPerDigit = 6;
    constexpr unsigned bitsPerByte = 8;
    constexpr std::uint32_t digitMask = 63;
    constexpr std::size_t groupBytes = 3;
    constexpr std::size_t groupDigits = 4;
    constexpr std::int8_t notADigit = -1;

    std::array<std::int8_t, 256> makeDigitTable()
    {
        std::array<std::int8_t, 256> table {};
        table.fill(notADigit);
        for (std::size_t i = 0; i < alphabet.size(); ++i)
            table[static_cast<unsigned char>(alphabet[i])] = static_cast<std::int8_t>(i);
        return table;
    }

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() + groupBytes - 1) / groupBytes * groupDigits);
    for (std::size_t at = 0; at < bytes.size(); at += groupBytes) {
        const std::string_view group = bytes.substr(at, groupBytes);
        std::uint32_t value = 0;
        for (std::size_t i = 0; i < groupBytes; ++i)
            value = value << bitsPerByte
                | (i < group.size() ? static_cast<unsigned char>(group[i]) : 0U);
        for (std::size_t i = 0; i < groupDigits; ++i) {
            const std::size_t shift = bitsPerDigit * (groupDigits - 1 - i);
            text.push_back(i <= group.size() ? alphabet[value >> shift & digitMask] : '=');
        }
    }
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    static const auto table = makeDigitTable();
    if (text.size() % groupDigits != 0)
        return std::nullopt;
    while (text.ends_with('=') && text.size() % groupDigits != 2)
        text.remove_suffix(1);
    std::string bytes;
    bytes.reserve(text.size() / groupDigits * groupBytes + groupBytes);
    std::uint32_t value = 0;
    unsigned bits = 0;
    for (const char c : text) {
        const std::int8_t digit = table[static_cast<unsigned char>(c)];
        if (digit == notADigit)
            return std::nullopt;
        value = value << bitsPerDigit | static_cast<std::uint32_t>(digit);
        bits += bitsPerDigit;
        if (bits >= bitsPerByte) {
            bits -= bitsPerByte;
            bytes.push_back(static_cast<char>(value >> bits));
        }
    }
    return bytes;
}

} // namespace laburnum::pvt
