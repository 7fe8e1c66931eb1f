/// Outgoing connection to one peer, with its send queue.
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

/// Connects when a message is queued and keeps the connection open. Use from its strand only.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
    PeerLink(const PeerStrand& strand, HostId peer, Endpoint endpoint, std::optional<SharedKey> key,
        std::shared_ptr<PeerCounters> counters);

    /// Queues the payload of one frame. Drops and counts it when the queue is full, the payload is
    /// too large or the link is stopped.
    void enqueue(std::string payload);
    /// Closes the connection, drops the queue and sends nothing afterwards.
    void stop();

private:
    using Socket = std::shared_ptr<asio::ip::tcp::socket>;

    static asio::awaitable<void> run(std::shared_ptr<PeerLink> self);
    static asio::awaitable<void> watchForClose(std::shared_ptr<PeerLink> self, Socket socket);

    asio::awaitable<bool> connect();
    asio::awaitable<bool> receiveChallenge();
    asio::awaitable<void> sendNext();
    void setDeadline(std::chrono::seconds timeout);
    void disconnect();
    void dropQueue();

    PeerStrand m_strand;
    HostId m_peer;
    Endpoint m_endpoint;
    std::optional<SharedKey> m_key;
    std::shared_ptr<PeerCounters> m_counters;
    /// Null while there is no connection.
    Socket m_socket;
    std::optional<FrameAuthenticator> m_authenticator;
    asio::steady_timer m_wakeTimer;
    /// Closes the socket when connecting or writing exceeds its timeout.
    asio::steady_timer m_ioDeadline;
    std::deque<std::string> m_queue;
    std::size_t m_queuedBytes = 0;
    bool m_running = false;
    bool m_stopped = false;
};

} // namespace laburnum::pvt
