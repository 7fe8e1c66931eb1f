/// The outgoing connection to one peer and the messages that wait for it.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>

#include <asio/awaitable.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <laburnumroute/auth.h>
#include <laburnumroute/endpoint.h>

#include "peer_frame_pvt.h"

namespace laburnum::pvt {

/// Connects when there is something to send and keeps the connection. Use from its strand only.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
    PeerLink(const PeerStrand& strand, HostId peer, Endpoint endpoint, std::optional<SharedKey> key,
        std::shared_ptr<PeerCounters> counters);

    /// Queues one frame's payload; dropped and counted when the queue is full.
    void enqueue(std::string payload);
    /// Closes the connection and sends nothing any more.
    void stop();

private:
    using Socket = std::shared_ptr<asio::ip::tcp::socket>;

    static asio::awaitable<void> run(std::shared_ptr<PeerLink> self);
    static asio::awaitable<void> watch(std::shared_ptr<PeerLink> self, Socket socket);

    asio::awaitable<bool> connect();
    asio::awaitable<bool> receiveChallenge();
    asio::awaitable<void> writeFront();
    void setDeadline(std::chrono::seconds timeout);
    void disconnect();
    void dropQueue();

    PeerStrand m_strand;
    HostId m_peer;
    Endpoint m_endpoint;
    std::optional<SharedKey> m_key;
    std::shared_ptr<PeerCounters> m_counters;
    /// The connection, or null.
    Socket m_socket;
    std::optional<FrameAuthenticator> m_authenticator;
    asio::steady_timer m_wake;
    /// Closes the socket when connecting or writing takes too long.
    asio::steady_timer m_deadline;
    std::deque<std::string> m_queue;
    std::size_t m_queuedBytes = 0;
    bool m_running = false;
    bool m_stopped = false;
};

} // namespace laburnum::pvt
