#include "http_stream_pvt.h"

#include <poll.h>

#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

namespace laburnum::pvt {

using asio::ip::tcp;

namespace {

    /// Bytes that came early leave the socket readable: then the peer is looked at so often.
    constexpr auto peerCheckInterval = std::chrono::milliseconds(100);

} // namespace

/// Outlives the stream while an operation of the watch is pending.
struct HttpStream::PeerWatch : std::enable_shared_from_this<PeerWatch> {
    PeerWatch(HttpStream& watched, const asio::any_io_executor& executor)
        : stream(&watched)
        , pause(executor)
    {
    }

    void start()
    {
        pending = true;
        stream->m_socket.async_wait(tcp::socket::wait_read,
            [self = shared_from_this()](std::error_code) { self->look(false); });
    }

    void look(bool afterPause)
    {
        pending = false;
        if (stream == nullptr || !onGone)
            return;
        if (stream->peerClosed())
            return std::exchange(onGone, nullptr)();
        if (afterPause)
            return start();
        pending = true;
        pause.expires_after(peerCheckInterval);
        pause.async_wait([self = shared_from_this()](std::error_code) { self->look(true); });
    }

    HttpStream* stream;
    asio::steady_timer pause;
    std::function<void()> onGone;
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
    m_watch->pause.cancel();
}

Expected<void> HttpStream::feedPending()
{
    const auto taken = m_decoder.feed({ m_buffer->data() + m_begin, m_end - m_begin });
    if (!taken)
        return tl::unexpected<Error>(taken.error());
    m_begin += *taken;
    if (!m_bytesLeft)
        return {};
    if (*taken > *m_bytesLeft)
        return fail(ErrorCode::TooLarge, "more bytes than allowed");
    *m_bytesLeft -= *taken;
    return {};
}

asio::awaitable<Expected<void>> HttpStream::readMore()
{
    if (m_begin == m_end) {
        m_begin = m_end = 0;
        const auto [code, count]
            = co_await m_socket.async_read_some(asio::buffer(*m_buffer), useTuple);
        if (code) {
            if (code != asio::error::eof || !m_decoder.started())
                co_return fail(ErrorCode::Closed, "read: " + code.message());
            co_return m_decoder.feedEof();
        }
        m_end = count;
    }
    co_return feedPending();
}

asio::awaitable<Expected<void>> HttpStream::awaitMessage()
{
    if (m_decoder.messageComplete())
        m_decoder.reset();
    while (!m_decoder.started()) {
        auto more = co_await readMore();
        if (!more)
            co_return more;
    }
    co_return Expected<void> {};
}

asio::awaitable<Expected<HttpHead>> HttpStream::readHead()
{
    if (m_decoder.messageComplete())
        m_decoder.reset();
    while (!m_decoder.headComplete()) {
        const auto more = co_await readMore();
        if (!more)
            co_return tl::unexpected<Error>(more.error());
    }
    // The parser pauses before the head's last byte; going on tells whether there is a body.
    if (m_begin != m_end) {
        const auto settled = feedPending();
        if (!settled)
            co_return tl::unexpected<Error>(settled.error());
    }
    co_return m_decoder.takeHead();
}

asio::awaitable<Expected<std::string>> HttpStream::readBodyPart()
{
    std::string part = m_decoder.takeBody();
    while (part.empty() && !m_decoder.messageComplete()) {
        const auto more = co_await readMore();
        if (!more)
            co_return tl::unexpected<Error>(more.error());
        part = m_decoder.takeBody();
    }
    co_return part;
}

asio::awaitable<Expected<void>> HttpStream::write(std::string bytes)
{
    const auto [code, count] = co_await asio::async_write(m_socket, asio::buffer(bytes), useTuple);
    if (code)
        co_return fail(ErrorCode::Closed, "write: " + code.message());
    co_return Expected<void> {};
}

asio::awaitable<void> HttpStream::lingeringClose()
{
    std::error_code code;
    m_socket.shutdown(tcp::socket::shutdown_send, code);
    while (!code) {
        auto [failed, count] = co_await m_socket.async_read_some(asio::buffer(*m_buffer), useTuple);
        code = failed;
    }
    close();
}

void HttpStream::watchPeer(std::function<void()> onGone)
{
    m_watch->onGone = std::move(onGone);
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

void HttpStream::unwatchPeer() { m_watch->onGone = nullptr; }

bool HttpStream::isIdle()
{
    if (m_begin != m_end)
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
