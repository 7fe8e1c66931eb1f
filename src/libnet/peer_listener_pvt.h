/// Incoming connections of one transport.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <asio/awaitable.hpp>
#include <asio/ip/tcp.hpp>

#include <laburnumroute/auth.h>
#include <laburnumroute/endpoint.h>

#include "peer_frame_pvt.h"

namespace laburnum::pvt {

/// Accepts connections and reads their frames. Use from its strand only, except for listen().
class PeerListener : public std::enable_shared_from_this<PeerListener> {
public:
    /// Handles the payload of one authenticated frame. Returns false when it is malformed, which
    /// closes the connection.
    using Handler = std::function<bool(const std::string& payload)>;

    PeerListener(const PeerStrand& strand, HostId self, std::optional<SharedKey> key,
        std::shared_ptr<PeerCounters> counters, Handler handler);

    /// Binds and starts accepting. Fails with Io, naming the address, when it cannot be bound.
    Expected<void> listen(const Endpoint& endpoint);
    /// Closes the listener and all connections.
    void stop();

private:
    using Socket = std::shared_ptr<asio::ip::tcp::socket>;

    static asio::awaitable<void> acceptLoop(std::shared_ptr<PeerListener> self);
    static asio::awaitable<void> serve(std::shared_ptr<PeerListener> self, Socket socket);

    void addConnection(asio::ip::tcp::socket accepted);
    asio::awaitable<bool> sendChallenge(
        const Socket& socket, std::optional<FrameAuthenticator>& authenticator);
    /// Reads and handles one frame. Returns false when the connection must be closed.
    asio::awaitable<bool> readFrame(
        const Socket& socket, std::optional<FrameAuthenticator>& authenticator);

    PeerStrand m_strand;
    HostId m_self;
    std::optional<SharedKey> m_key;
    std::shared_ptr<PeerCounters> m_counters;
    Handler m_handler;
    asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::weak_ptr<asio::ip::tcp::socket>> m_connections;
};

} // namespace laburnum::pvt
