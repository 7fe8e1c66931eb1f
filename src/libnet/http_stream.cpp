#include "http_stream_pvt.h"

#include <poll.h>

#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>

namespace laburnum::pvt {

using asio::ip::tcp;

namespace {

    /// While unread input keeps the socket readable, the peer is checked at this interval.
    constexpr auto peerCheckInterval = std::chrono::milliseconds(100);

} // namespace

/// Detects that the peer closed the connection. Outlives the stream while an operation is pending.
struct HttpStream::PeerWatch : std::enable_shared_from_this<PeerWatch> {
    PeerWatch(HttpStream& watchedStream, const asio::any_io_executor& executor)
        : stream(&watchedStream)
        , recheckTimer(executor)
    {
    }

    void start()
    {
        pending = true;
        stream->m_socket.async_wait(tcp::socket::wait_read,
            [self = shared_from_this()](std::error_code) { self->checkPeer(false); });
    }

    void checkPeer(bool afterRecheckDelay)
    {
        pending = false;
        if (stream == nullptr || !onPeerClosed)
            return;
        if (stream->peerClosed())
            return std::exchange(onPeerClosed, nullptr)();
        if (afterRecheckDelay)
            return start();
        pending = true;
        recheckTimer.expires_after(peerCheckInterval);
        recheckTimer.async_wait(
            [self = shared_from_this()](std::error_code) { self->checkPeer(true); });
    }

    HttpStream* stream;
    asio::steady_timer recheckTimer;
    std::function<void()> onPeerClosed;
    bool pending = false;
};

HttpStream::HttpStream(tcp::socket socket, MessageKind incoming)
    : m_socket(std::move(socket))
    , m_decoder(incoming)
    , m_buffer(std::make_unique<std::array<char, readBytes>>())
    , m_watch(std::make_shared<PeerWatch>(*this, m_socket.get_executor()))
{
    std::error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
}

HttpStream::~HttpStream()
{
    m_watch->stream = nullptr;
    m_watch->recheckTimer.cancel();
}

Expected<void> HttpStream::decodeBuffered()
{
    const auto consumed
        = m_decoder.feed({ m_buffer->data() + m_bufferBegin, m_bufferEnd - m_bufferBegin });
    if (!consumed)
        return tl::unexpected<Error>(consumed.error());
    m_bufferBegin += *consumed;
    if (!m_readLimitLeft)
        return {};
    if (*consumed > *m_readLimitLeft)
        return fail(ErrorCode::TooLarge, "HTTP message exceeds the read limit");
    *m_readLimitLeft -= *consumed;
    return {};
}

asio::awaitable<Expected<void>> HttpStream::readMore()
{
    if (m_bufferBegin == m_bufferEnd) {
        m_bufferBegin = m_bufferEnd = 0;
        if (!m_buffer)
            m_buffer = std::make_unique<std::array<char, readBytes>>();
        const auto [code, count]
            = co_await m_socket.async_read_some(asio::buffer(*m_buffer), useTuple);
        if (code == asio::error::eof)
            co_await awaitFailingWrite();
        if (code && m_writeError)
            co_return fail(ErrorCode::Closed, "write: " + m_writeError.message());
        if (code) {
            if (code != asio::error::eof || !m_decoder.started())
                co_return fail(ErrorCode::Closed, "read: " + code.message());
            co_return m_decoder.feedEof();
        }
        m_bufferEnd = count;
        m_bytesRead += count;
    }
    co_return decodeBuffered();
}

asio::awaitable<Expected<void>> HttpStream::awaitMessage()
{
    if (m_decoder.messageComplete())
        m_decoder.reset();
    bool wasCancelled = false;
    while (!m_decoder.started()) {
        if (m_closesIdle && isIdle())
            co_return fail(ErrorCode::Closed, "idle connection");
        auto readResult = co_await readMore();
        if (readResult)
            continue;
        // Input may have arrived just before closeIdle() cancelled the read.
        if (!m_closesIdle || std::exchange(wasCancelled, true))
            co_return readResult;
    }
    m_closesIdle = false;
    co_return Expected<void> {};
}

void HttpStream::closeIdle()
{
    m_closesIdle = true;
    cancel();
}

asio::awaitable<Expected<HttpHead>> HttpStream::readHead()
{
    if (m_decoder.messageComplete())
        m_decoder.reset();
    while (!m_decoder.headComplete()) {
        const auto readResult = co_await readMore();
        if (!readResult)
            co_return tl::unexpected<Error>(readResult.error());
    }
    // The parser pauses before the last byte of the head; consuming it shows whether a body
    // follows.
    if (m_bufferBegin != m_bufferEnd) {
        const auto decoded = decodeBuffered();
        if (!decoded)
            co_return tl::unexpected<Error>(decoded.error());
    }
    co_return m_decoder.takeHead();
}

asio::awaitable<Expected<std::string>> HttpStream::readBodyPart()
{
    std::string part = m_decoder.takeBody();
    while (part.empty() && !m_decoder.messageComplete()) {
        const auto readResult = co_await readMore();
        if (!readResult)
            co_return tl::unexpected<Error>(readResult.error());
        part = m_decoder.takeBody();
    }
    co_return part;
}

asio::awaitable<Expected<void>> HttpStream::write(
    std::string bytes, std::function<void()> onProgress)
{
    std::size_t written = 0;
    std::error_code failed;
    m_writing = true;
    while (!failed && written < bytes.size()) {
        const auto [code, count] = co_await m_socket.async_write_some(
            asio::buffer(bytes.data() + written, bytes.size() - written), useTuple);
        failed = code;
        written += count;
        if (!failed && onProgress && written < bytes.size())
            onProgress();
    }
    m_writing = false;
    // A broken pipe means that the peer had sent a FIN before, so the end that a read finds is the
    // peer's own.
    if (failed && failed != asio::error::broken_pipe && !m_writeError)
        m_writeError = failed;
    if (m_writeEnded)
        m_writeEnded->set();
    if (failed)
        co_return fail(ErrorCode::Closed, "write: " + failed.message());
    co_return Expected<void> {};
}

asio::awaitable<void> HttpStream::awaitFailingWrite()
{
    pollfd state { m_socket.native_handle(), 0, 0 };
    const bool hungUp
        = m_socket.is_open() && ::poll(&state, 1, 0) == 1 && (state.revents & POLLHUP) != 0;
    if (!m_writing || !hungUp)
        co_return;
    m_writeEnded = std::make_unique<AsyncEvent>(m_socket.get_executor());
    while (m_writing)
        co_await m_writeEnded->wait();
}

asio::awaitable<void> HttpStream::lingeringClose()
{
    std::error_code code;
    m_socket.shutdown(tcp::socket::shutdown_send, code);
    if (!m_buffer)
        m_buffer = std::make_unique<std::array<char, readBytes>>();
    while (!code) {
        auto [failed, count] = co_await m_socket.async_read_some(asio::buffer(*m_buffer), useTuple);
        code = failed;
    }
    close();
}

void HttpStream::watchPeer(std::function<void()> onPeerClosed)
{
    m_watch->onPeerClosed = std::move(onPeerClosed);
    if (!m_watch->pending)
        m_watch->start();
}

bool HttpStream::peerClosed()
{
    if (!m_socket.is_open())
        return true;
    pollfd state { m_socket.native_handle(), POLLRDHUP, 0 };
    return ::poll(&state, 1, 0) == 1;
}

void HttpStream::unwatchPeer() { m_watch->onPeerClosed = nullptr; }

bool HttpStream::isIdle()
{
    if (m_bufferBegin != m_bufferEnd)
        return false;
    std::error_code code;
    char byte = 0;
    m_socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, code);
    return code == asio::error::would_block;
}

void HttpStream::cancel()
{
    std::error_code ignored;
    m_socket.cancel(ignored);
}

void HttpStream::close()
{
    std::error_code ignored;
    m_socket.close(ignored);
}

void HttpStream::reset()
{
    std::error_code ignored;
    m_socket.set_option(tcp::socket::linger(true, 0), ignored);
    m_socket.close(ignored);
}

} // namespace laburnum::pvt
