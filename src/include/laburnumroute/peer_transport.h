/// TCP transport between laburnumd processes with one outgoing connection per peer. A frame is a
/// 4-byte big-endian length and a JSON-RPC notification. With a shared key, the accepting side
/// starts each connection with a challenge, and each frame carries an authentication tag (see
/// auth.h).
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

/// Counters of a transport since its start, for metrics.
struct PeerTransportCounts {
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    /// Messages dropped because the peer was unknown or unreachable, its queue was full, or the
    /// message was too large.
    std::uint64_t droppedMessages = 0;
    /// Frames refused because they were too large, malformed or not authentic. A refused frame also
    /// closes its connection.
    std::uint64_t refusedFrames = 0;
};

/// Sends messages to peers and receives messages from them. Reconnects automatically. Drops
/// messages for a peer that is unreachable or whose queue is full.
class PeerTransport final : public Transport {
public:
    /// A frame with a larger payload is refused and its connection closed.
    static constexpr std::size_t maxFrameBytes = std::size_t { 4 } * 1024 * 1024;
    /// Limit of the send queue of one peer; further messages are dropped.
    static constexpr std::size_t maxQueueBytes = std::size_t { 8 } * 1024 * 1024;
    /// Limit of concurrent incoming connections; further ones are closed immediately.
    static constexpr std::size_t maxIncomingConnections = 1024;

    using MessageHandler = std::function<void(PeerMessage message)>;

    /// Without a key, frames are not authenticated. Hosts with a key and hosts without one cannot
    /// communicate.
    PeerTransport(const asio::any_io_executor& executor, HostId self,
        const std::map<HostId, Endpoint>& peers,
        const std::optional<SharedKey>& key = std::nullopt);
    ~PeerTransport() override;

    /// Registers the handler of a method that peers may call. Call before listen().
    void addHandler(const std::string& method, const MessageHandler& handler);
    /// Starts listening. Fails with Io, naming the address, when it cannot be bound.
    Expected<void> listen(const Endpoint& endpoint);
    void send(PeerMessage message) override;
    /// Closes all connections. No messages are received afterwards.
    void stop();

    PeerTransportCounts counts() const noexcept;
    std::uint64_t sentBytes() const noexcept { return counts().sentBytes; }
    std::uint64_t receivedBytes() const noexcept { return counts().receivedBytes; }

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace laburnum
