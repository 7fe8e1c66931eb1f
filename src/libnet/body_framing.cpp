#include "body_framing_pvt.h"

#include <array>
#include <charconv>

namespace laburnum::pvt {

std::string frameBodyPart(BodyFraming framing, std::string part)
{
    if (framing == BodyFraming::None || part.empty())
        return {};
    if (framing == BodyFraming::Identity)
        return part;
    constexpr int hexadecimal = 16;
    std::array<char, 2 * sizeof(std::size_t)> digits {};
    const auto end
        = std::to_chars(digits.data(), digits.data() + digits.size(), part.size(), hexadecimal);
    std::string chunk;
    chunk.reserve(part.size() + digits.size() + 4);
    chunk.append(digits.data(), end.ptr);
    chunk += "\r\n";
    chunk += part;
    chunk += "\r\n";
    return chunk;
}

std::string frameBodyEnd(BodyFraming framing, const std::vector<HeaderField>& trailers)
{
    if (framing != BodyFraming::Chunked)
        return {};
    return renderLastChunk(forwardableTrailers(trailers));
}

} // namespace laburnum::pvt
