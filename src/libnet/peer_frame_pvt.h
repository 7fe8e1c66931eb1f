/// What the two sides of a peer connection share: the frame's layout and the counters.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

#include <asio/any_io_executor.hpp>
#include <asio/strand.hpp>

namespace laburnum::pvt {

/// The strand on which all connections of one transport run.
using PeerStrand = asio::strand<asio::any_io_executor>;

/// Counters behind PeerTransportCounts; safe to read from any thread.
struct PeerCounters {
    std::atomic<std::uint64_t> sentBytes { 0 };
    std::atomic<std::uint64_t> receivedBytes { 0 };
    std::atomic<std::uint64_t> droppedMessages { 0 };
    std::atomic<std::uint64_t> refusedFrames { 0 };
};

/// The head of a frame: the payload's length, big-endian. The tag follows it when the connection is
/// authenticated, then the payload.
using FrameHeader = std::array<unsigned char, 4>;

FrameHeader encodeFrameHeader(std::size_t payloadBytes) noexcept;
std::size_t decodeFrameHeader(const FrameHeader& head) noexcept;

} // namespace laburnum::pvt
