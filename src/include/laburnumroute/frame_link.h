/// Length-prefixed frames over TCP between the processes of a fleet that is started from seeds.
/// A frame is a four-byte little-endian length followed by the payload.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <laburnumroute/endpoint.h>

namespace laburnum {

/// One connection. Use from the thread that runs the io_context only. The connection is closed when
/// the peer acknowledges no data for ackTimeoutMs or when the send queue exceeds maxQueuedBytes.
class FrameLink : public std::enable_shared_from_this<FrameLink> {
public:
    /// A larger incoming frame closes the connection.
    static constexpr std::size_t maxFrameBytes = std::size_t { 20 } << 20U;
    /// Limit of the send queue.
    static constexpr std::size_t maxQueuedBytes = std::size_t { 24 } << 20U;
    /// Longest time that sent bytes may stay unacknowledged (TCP_USER_TIMEOUT), in milliseconds.
    /// Shorter than the time after which members give up a leader that does not respond.
    static constexpr int ackTimeoutMs = 1200;

    struct Handlers {
        /// Called when a connection opened by connect() is established.
        std::function<void()> onOpen;
        std::function<void(std::string_view)> onFrame;
        /// Called once when the connection fails or the peer closes it; not after close().
        std::function<void()> onClosed;
    };

    FrameLink(asio::ip::tcp::socket socket, Handlers handlers);

    /// Opens a connection to `endpoint`.
    void connect(const Endpoint& endpoint);
    /// Starts reading from an accepted connection.
    void start();
    /// Queues a frame. Frames queued in the same turn of the event loop are written together.
    void send(std::string_view frame);
    /// Closes the connection. No handler is called afterwards.
    void close();

private:
    void readMore();
    void parseFrames();
    void flush();
    void fail();

    asio::ip::tcp::socket m_socket;
    Handlers m_handlers;
    std::string m_readBuffer;
    std::string m_sendQueue;
    std::string m_writeBuffer;
    bool m_open = false;
    bool m_writing = false;
    bool m_flushPosted = false;
    /// The send queue was full; the link is about to fail.
    bool m_overflowed = false;
    bool m_closed = false;
};

/// Accepts connections that carry frames.
class FrameListener {
public:
    explicit FrameListener(asio::io_context& context)
        : m_acceptor(context)
    {
    }

    /// Binds `endpoint` and passes each accepted connection to `onAccept`. Fails with Io, naming
    /// the address, when it cannot be bound.
    Expected<void> listen(
        const Endpoint& endpoint, std::function<void(asio::ip::tcp::socket)> onAccept);
    void close();

private:
    void accept();

    asio::ip::tcp::acceptor m_acceptor;
    std::function<void(asio::ip::tcp::socket)> m_onAccept;
};

} // namespace laburnum
