/// TCP transport between laburnumd processes: one outgoing connection per peer, frames of a 4-byte
/// big-endian length and a JSON-RPC notification. With a shared key the accepting side opens each
/// connection with a challenge, and each frame carries an authentication tag (see auth.h).
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include <asio/any_io_executor.hpp>

#include <laburnumroute/auth.h>
#include <laburnumroute/endpoint.h>
#include <laburnumroute/transport.h>

namespace laburnum {

/// What a transport did since its start, for metrics.
struct PeerTransportCounts {
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    /// Messages dropped because their peer was unknown or out of reach, its queue was full, or they
    /// were too large.
    std::uint64_t droppedMessages = 0;
    /// Frames refused because they were too large, malformed or not authentic. Each also closed its
    /// connection.
    std::uint64_t refusedFrames = 0;
};

/// Sends to and receives from peers. Reconnects by itself; drops messages for a peer that is out of
/// reach, and when its queue is full.
class PeerTransport final : public Transport {
public:
    /// A frame with a larger payload is refused and its connection closed.
    static constexpr std::size_t maxFrameBytes = std::size_t { 4 } * 1024 * 1024;
    /// Bytes that wait for one peer before further messages are dropped.
    static constexpr std::size_t maxQueueBytes = std::size_t { 8 } * 1024 * 1024;
    /// Incoming connections at one time; more are closed at once.
    static constexpr std::size_t maxIncomingConnections = 1024;

    using MessageHandler = std::function<void(PeerMessage message)>;

    /// Without a key the transport is open: it takes any frame. Hosts with and without a key do not
    /// understand each other.
    PeerTransport(const asio::any_io_executor& executor, HostId self,
        const std::map<HostId, Endpoint>& peers,
        const std::optional<SharedKey>& key = std::nullopt);
    ~PeerTransport() override;

    /// Registers the methods that peers may call; before listen().
    void addHandler(const std::string& method, const MessageHandler& receiver);
    /// Starts to listen. Io names the address when it cannot be bound.
    Expected<void> listen(const Endpoint& endpoint);
    void send(PeerMessage message) override;
    /// Closes all connections; nothing is received afterwards.
    void stop();

    PeerTransportCounts counts() const noexcept;
    /// Bytes sent and received since the start, for metrics.
    std::uint64_t sentBytes() const noexcept { return counts().sentBytes; }
    std::uint64_t receivedBytes() const noexcept { return counts().receivedBytes; }

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace laburnum
