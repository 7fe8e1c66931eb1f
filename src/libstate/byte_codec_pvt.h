/// Little-endian binary encoding for the file formats on disk.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace laburnum::pvt {

/// Appends values to a byte string.
class ByteWriter {
public:
    void u8(std::uint8_t value) { m_bytes.push_back(static_cast<char>(value)); }
    void u32(std::uint32_t value) { integer(value, sizeof value); }
    void u64(std::uint64_t value) { integer(value, sizeof value); }
    /// A 32-bit length, then the bytes.
    void text(std::string_view value)
    {
        u32(static_cast<std::uint32_t>(value.size()));
        m_bytes += value;
    }
    void raw(std::string_view value) { m_bytes += value; }
    std::string take() { return std::move(m_bytes); }

private:
    void integer(std::uint64_t value, std::size_t width)
    {
        constexpr unsigned bitsPerByte = 8;
        for (std::size_t i = 0; i < width; ++i)
            m_bytes.push_back(static_cast<char>(value >> (bitsPerByte * i)));
    }

    std::string m_bytes;
};

/// Reads values back. A read past the end returns zero or an empty string and sets failed().
class ByteReader {
public:
    explicit ByteReader(std::string_view bytes)
        : m_rest(bytes)
    {
    }

    std::uint8_t u8() { return static_cast<std::uint8_t>(integer(1)); }
    std::uint32_t u32() { return static_cast<std::uint32_t>(integer(sizeof(std::uint32_t))); }
    std::uint64_t u64() { return integer(sizeof(std::uint64_t)); }
    std::string text() { return std::string(raw(u32())); }
    std::string_view raw(std::size_t size)
    {
        if (size > m_rest.size()) {
            m_failed = true;
            m_rest = {};
            return {};
        }
        const std::string_view result = m_rest.substr(0, size);
        m_rest.remove_prefix(size);
        return result;
    }
    bool failed() const noexcept { return m_failed; }
    /// True when all bytes were read and no read failed.
    bool finished() const noexcept { return !m_failed && m_rest.empty(); }

private:
    std::uint64_t integer(std::size_t width)
    {
        constexpr unsigned bitsPerByte = 8;
        std::uint64_t value = 0;
        const std::string_view bytes = raw(width);
        for (std::size_t i = 0; i < bytes.size(); ++i)
            value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i]))
                << (bitsPerByte * i);
        return value;
    }

    std::string_view m_rest;
    bool m_failed = false;
};

} // namespace laburnum::pvt
