/// Frame layout and counters, shared by the outgoing and the incoming side of peer connections.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

#include <asio/any_io_executor.hpp>
#include <asio/strand.hpp>

namespace laburnum::pvt {

/// Strand of all connections of one transport.
using PeerStrand = asio::strand<asio::any_io_executor>;

/// Counters behind PeerTransportCounts. Thread-safe.
struct PeerCounters {
    std::atomic<std::uint64_t> sentBytes { 0 };
    std::atomic<std::uint64_t> receivedBytes { 0 };
    std::atomic<std::uint64_t> droppedMessages { 0 };
    std::atomic<std::uint64_t> refusedFrames { 0 };
};

/// The header of a frame: the length of the payload, big-endian. On an authenticated connection the
/// tag follows; then the payload.
using FrameHeader = std::array<unsigned char, 4>;

FrameHeader encodeFrameHeader(std::size_t payloadBytes) noexcept;
std::size_t decodeFrameHeader(const FrameHeader& header) noexcept;

} // namespace laburnum::pvt
