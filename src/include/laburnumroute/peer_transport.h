/// TCP transport between laburnumd processes: one outgoing connection per peer, frames of a 4-byte
/// big-endian length and a JSON-RPC notification.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include <asio/any_io_executor.hpp>

#include <laburnumroute/endpoint.h>
#include <laburnumroute/transport.h>

namespace laburnum {

/// Sends to and receives from peers. Reconnects by itself; drops messages for a peer that is out of
/// reach once its queue is full.
class PeerTransport final : public Transport {
public:
    /// A frame larger than this is refused and its connection closed.
    static constexpr std::size_t maxFrameBytes = std::size_t { 16 } * 1024 * 1024;
    /// Bytes that wait for one peer before further messages are dropped.
    static constexpr std::size_t maxQueueBytes = std::size_t { 32 } * 1024 * 1024;

    using Receiver = std::function<void(PeerMessage message)>;

    PeerTransport(const asio::any_io_executor& executor, HostId self,
        const std::map<HostId, Endpoint>& peers);
    ~PeerTransport() override;

    /// Registers the methods that peers may call; before listen().
    void accept(const std::string& method, const Receiver& receiver);
    /// Starts to listen. Io names the address when it cannot be bound.
    Expected<void> listen(const Endpoint& endpoint);
    void send(PeerMessage message) override;
    /// Closes all connections; nothing is received afterwards.
    void stop();

    /// Bytes sent and received since the start, for metrics.
    std::uint64_t sentBytes() const noexcept;
    std::uint64_t receivedBytes() const noexcept;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace laburnum
