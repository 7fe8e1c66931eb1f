/// HTTP messages over one TCP connection.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <system_error>

#include <asio/awaitable.hpp>
#include <asio/experimental/as_tuple.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/use_awaitable.hpp>

#include <laburnumroute/http_decoder.h>

#include "async_event_pvt.h"

namespace laburnum::pvt {

/// Completion token: co_await returns a tuple that starts with the error code instead of throwing.
constexpr auto useTuple = asio::experimental::as_tuple(asio::use_awaitable);

/// Reads messages of one kind from a socket and writes bytes to it. Use from one strand only, with
/// at most one read and one write in progress.
class HttpStream {
public:
    HttpStream(asio::ip::tcp::socket socket, MessageKind incoming);
    ~HttpStream();
    HttpStream(const HttpStream&) = delete;
    HttpStream& operator=(const HttpStream&) = delete;

    /// Waits for the first byte of the next message. Fails with Closed when the peer closes the
    /// connection before it, or after closeIdle().
    asio::awaitable<Expected<void>> awaitMessage();
    /// Ends the current or next awaitMessage() unless a byte of a message has arrived. Closing the
    /// socket instead would lose a message that has been received but not decoded yet.
    void closeIdle();
    /// Whether closeIdle() was called and no message has arrived since.
    bool closesIdle() const { return m_closesIdle; }
    /// Reads the next head. Body bytes that arrive with it are buffered.
    asio::awaitable<Expected<HttpHead>> readHead();
    /// Reads the next part of the body. An empty part means that the message is complete.
    asio::awaitable<Expected<std::string>> readBodyPart();
    /// Returns the body bytes that are already buffered, without reading.
    std::string takeBufferedBody() { return m_decoder.takeBody(); }
    /// Writes all of `bytes`. `onProgress` is called after each part but the last.
    asio::awaitable<Expected<void>> write(
        std::string bytes, std::function<void()> onProgress = nullptr);
    /// Shuts down sending and discards input until the peer closes, so that the peer receives
    /// everything that was written.
    asio::awaitable<void> lingeringClose();

    /// With true, the next messages are read without a body, whatever their heads say.
    void setExpectNoBody(bool noBody) { m_decoder.setExpectNoBody(noBody); }
    void setHeadLimit(std::size_t bytes) { m_decoder.setHeadLimit(bytes); }
    /// Limits the bytes decoded from now on; reads beyond the limit fail with TooLarge.
    void setReadLimit(std::size_t bytes) { m_readLimitLeft = bytes; }
    void clearReadLimit() { m_readLimitLeft.reset(); }
    /// True once the message being read is complete.
    bool messageComplete() const { return m_decoder.messageComplete(); }
    /// True once a byte of the message being read has arrived.
    bool messageStarted() const { return m_decoder.started(); }
    const std::vector<HeaderField>& trailers() const { return m_decoder.trailers(); }

    /// Until unwatchPeer(), calls `onPeerClosed` once when the peer closes or shuts down its
    /// sending side, or when this side closes the stream. Unread input does not delay the detection
    /// by more than the check interval.
    void watchPeer(std::function<void()> onPeerClosed);
    void unwatchPeer();
    /// True when the peer closed or shut down its sending side, even while input is unread, or when
    /// this side closed the stream.
    bool peerClosed();
    /// True when the connection is open and has no unread input.
    bool isIdle();
    /// Bytes received so far.
    std::uint64_t bytesRead() const { return m_bytesRead; }
    /// True when no received byte is left undecoded; after a message, such a byte belongs to none.
    bool readBufferEmpty() const { return m_bufferBegin == m_bufferEnd; }

    /// Frees the read buffer, which must be empty, until the next read. An idle connection in the
    /// pool needs none.
    void releaseReadBuffer() { m_buffer.reset(); }

    /// Aborts the read and the write in progress.
    void cancel();
    void close();
    /// Closes with a TCP reset, so that the peer does not take a truncated message for complete.
    void reset();

    asio::ip::tcp::socket& socket() noexcept { return m_socket; }

private:
    struct PeerWatch;

    asio::awaitable<Expected<void>> readMore();
    /// At the end of the connection, waits for the write in progress if it is bound to fail. With
    /// several threads, a read may end before the write that took the error. After a FIN alone the
    /// connection is not hung up, and the write may go on.
    asio::awaitable<void> awaitFailingWrite();
    Expected<void> decodeBuffered();

    static constexpr std::size_t readBytes = std::size_t { 16 } * 1024;

    asio::ip::tcp::socket m_socket;
    HttpDecoder m_decoder;
    std::unique_ptr<std::array<char, readBytes>> m_buffer;
    std::size_t m_bufferBegin = 0;
    std::size_t m_bufferEnd = 0;
    std::uint64_t m_bytesRead = 0;
    std::optional<std::size_t> m_readLimitLeft;
    bool m_closesIdle = false;
    /// Set if a write found the connection reset or lost. It took the error from the socket, so
    /// that a read finds what looks like a FIN of the peer.
    std::error_code m_writeError;
    bool m_writing = false;
    /// Set while a read waits for a write to end.
    std::unique_ptr<AsyncEvent> m_writeEnded;
    std::shared_ptr<PeerWatch> m_watch;
};

} // namespace laburnum::pvt
