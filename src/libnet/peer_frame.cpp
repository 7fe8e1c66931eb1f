#include "peer_frame_pvt.h"

namespace laburnum::pvt {

namespace {
    constexpr unsigned bitsPerByte = 8;
    constexpr std::size_t byteMask = 0xff;
}

FrameHeader encodeFrameHeader(std::size_t payloadBytes) noexcept
{
    FrameHeader header {};
    for (auto byte = header.rbegin(); byte != header.rend(); ++byte) {
        *byte = static_cast<unsigned char>(payloadBytes & byteMask);
        payloadBytes >>= bitsPerByte;
    }
    return header;
}

std::size_t decodeFrameHeader(const FrameHeader& header) noexcept
{
    std::size_t length = 0;
    for (const unsigned char byte : header)
        length = (length << bitsPerByte) | byte;
    return length;
}

} // namespace laburnum::pvt
