#include <laburnumroute/base64.h>

#include <openssl/evp.h>

namespace laburnum {

namespace {

    constexpr std::size_t quantumChars = 4;
    constexpr std::size_t quantumBytes = 3;

    std::size_t paddingOf(std::string_view text)
    {
        if (text.ends_with("=="))
            return 2;
        return text.ends_with('=') ? 1 : 0;
    }

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    std::string text((bytes.size() + quantumBytes - 1) / quantumBytes * quantumChars + 1, '\0');
    const int written = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(written));
    return text;
}

Expected<std::string> decodeBase64(std::string_view text)
{
    const auto invalid = [] { return fail(ErrorCode::InvalidArgument, "not base64"); };
    if (text.empty())
        return std::string();
    if (text.size() % quantumChars != 0)
        return invalid();
    std::string bytes(text.size() / quantumChars * quantumBytes, '\0');
    const int written = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (written < 0)
        return invalid();
    bytes.resize(static_cast<std::size_t>(written) - paddingOf(text));
    return bytes;
}

} // namespace laburnum
