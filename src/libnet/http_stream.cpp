#include "http_stream_pvt.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

namespace laburnum::pvt {

HttpStream::HttpStream(asio::ip::tcp::socket socket, MessageKind incoming)
    : m_socket(std::move(socket))
    , m_decoder(incoming)
{
    std::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

asio::awaitable<Expected<void>> HttpStream::readMore()
{
    if (m_pending.empty()) {
        m_pending.resize(readBytes);
        const auto [code, count]
            = co_await m_socket.async_read_some(asio::buffer(m_pending), useTuple);
        m_pending.resize(count);
        if (code) {
            if (code != asio::error::eof || !m_decoder.started())
                co_return fail(ErrorCode::Closed, "read: " + code.message());
            co_return m_decoder.feedEnd();
        }
    }
    const auto taken = m_decoder.feed(m_pending);
    if (!taken)
        co_return tl::unexpected<Error>(taken.error());
    m_pending.erase(0, *taken);
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
    co_return m_decoder.head();
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

void HttpStream::close()
{
    std::error_code ignored;
    m_socket.close(ignored);
}

} // namespace laburnum::pvt
