/// One TCP connection that carries HTTP messages in both directions.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>

#include <asio/awaitable.hpp>
#include <asio/experimental/as_tuple.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/use_awaitable.hpp>

#include <laburnumroute/http_decoder.h>

namespace laburnum::pvt {

/// Completion token: co_await gives a tuple that starts with the error code.
constexpr auto useTuple = asio::experimental::as_tuple(asio::use_awaitable);

/// Reads messages of one kind from a socket and writes bytes to it. Use from one strand only; one
/// reader and one writer at a time.
class HttpStream {
public:
    HttpStream(asio::ip::tcp::socket socket, MessageKind incoming);
    ~HttpStream();
    HttpStream(const HttpStream&) = delete;
    HttpStream& operator=(const HttpStream&) = delete;

    /// Reads until a byte of the next message is there. Closed: the peer closed between messages.
    asio::awaitable<Expected<void>> awaitMessage();
    /// Reads the next head, and with it the part of the body that came along.
    asio::awaitable<Expected<HttpHead>> readHead();
    /// Reads the next part of the body; empty means that the message is complete.
    asio::awaitable<Expected<std::string>> readBodyPart();
    /// The part of the body that is already here; may be empty.
    std::string takeBufferedBody() { return m_decoder.takeBody(); }
    /// Writes all of `bytes`.
    asio::awaitable<Expected<void>> write(std::string bytes);
    /// Shuts down sending and reads until the peer closes, so that it gets all that was written.
    asio::awaitable<void> lingeringClose();

    /// Whether the messages read have no body, whatever their heads say.
    void setExpectNoBody(bool noBody) { m_decoder.setExpectNoBody(noBody); }
    /// Heads larger than this are refused.
    void setHeadLimit(std::size_t bytes) { m_decoder.setHeadLimit(bytes); }
    /// Bounds what is read from now on: reads fail with TooLarge beyond so many bytes.
    void setReadLimit(std::size_t bytes) { m_bytesLeft = bytes; }
    void clearReadLimit() { m_bytesLeft.reset(); }
    /// True once the message being read is complete.
    bool messageComplete() const { return m_decoder.messageComplete(); }
    /// True once a byte of the message being read has come.
    bool messageStarted() const { return m_decoder.started(); }
    const std::vector<HeaderField>& trailers() const { return m_decoder.trailers(); }

    /// Calls `onGone` once if the peer closes, shuts down its sending side, or this side closes the
    /// stream, until unwatchPeer(). Bytes that come early do not hide it.
    void watchPeer(std::function<void()> onGone);
    void unwatchPeer();
    /// True when the peer closed or shut down its sending side, read or not what it sent before, or
    /// this side closed the stream.
    bool peerClosed();
    /// True when nothing can be read now: no data, no close.
    bool isIdle();
    /// True when no byte waits that belongs to no message.
    bool readBufferEmpty() const { return m_begin == m_end; }

    /// Fails the read and the write in progress.
    void cancel();
    void close();
    /// Closes with a reset, so that the peer takes nothing for whole.
    void reset();

    asio::ip::tcp::socket& socket() noexcept { return m_socket; }

private:
    struct PeerWatch;

    asio::awaitable<Expected<void>> readMore();
    Expected<void> feedPending();

    static constexpr std::size_t readBytes = std::size_t { 16 } * 1024;

    asio::ip::tcp::socket m_socket;
    HttpDecoder m_decoder;
    std::unique_ptr<std::array<char, readBytes>> m_buffer;
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
    std::optional<std::size_t> m_bytesLeft;
    std::shared_ptr<PeerWatch> m_watch;
};

} // namespace laburnum::pvt
