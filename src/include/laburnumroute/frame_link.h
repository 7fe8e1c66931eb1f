/// Frames over TCP between the processes of a seeded fleet: four bytes of length, low byte first,
/// then the bytes.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <laburnumroute/endpoint.h>

namespace laburnum {

/// One connection, used from the io_context's one thread. A peer that acknowledges nothing for
/// silenceLimit, or does not read what is queued, loses it.
class FrameLink : public std::enable_shared_from_this<FrameLink> {
public:
    /// Larger frames end the connection.
    static constexpr std::size_t maxFrameBytes = std::size_t { 20 } << 20U;
    /// Bytes that may wait to be sent.
    static constexpr std::size_t maxQueuedBytes = std::size_t { 24 } << 20U;
    /// Sent bytes may stay unacknowledged so long, in milliseconds; below the time after which a
    /// silent leader is left.
    static constexpr int ackTimeoutMs = 1200;

    struct Handlers {
        /// The connection is open; called for connect() only.
        std::function<void()> onOpen;
        std::function<void(std::string_view)> onFrame;
        /// Called once, unless close() goes first.
        std::function<void()> onClosed;
    };

    FrameLink(asio::ip::tcp::socket socket, Handlers handlers);

    /// Opens a connection to `endpoint`.
    void connect(const Endpoint& endpoint);
    /// Starts to read a connection that was accepted.
    void start();
    /// Queues a frame; what is queued in one turn leaves together.
    void send(std::string_view frame);
    /// Ends the connection; no handler is called any more.
    void close();

private:
    void readMore();
    void takeFrames();
    void flush();
    void fail();

    asio::ip::tcp::socket m_socket;
    Handlers m_handlers;
    std::string m_incoming;
    std::string m_queued;
    std::string m_leaving;
    bool m_open = false;
    bool m_writing = false;
    bool m_flushPosted = false;
    bool m_closed = false;
};

/// Accepts FrameLinks.
class FrameListener {
public:
    explicit FrameListener(asio::io_context& context)
        : m_acceptor(context)
    {
    }

    /// Io names the address when it cannot be bound. `onAccept` gets each new connection.
    Expected<void> listen(
        const Endpoint& endpoint, std::function<void(asio::ip::tcp::socket)> onAccept);
    void close();

private:
    void accept();

    asio::ip::tcp::acceptor m_acceptor;
    std::function<void(asio::ip::tcp::socket)> m_onAccept;
};

} // namespace laburnum
