/// One TCP connection that carries HTTP messages in both directions.
#pragma once

#include <asio/awaitable.hpp>
#include <asio/experimental/as_tuple.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/use_awaitable.hpp>

#include <laburnumroute/http_decoder.h>

namespace laburnum::pvt {

/// Completion token: co_await gives a tuple that starts with the error code.
constexpr auto useTuple = asio::experimental::as_tuple(asio::use_awaitable);

/// Reads messages of one kind from a socket and writes bytes to it. Use from one strand only.
class HttpStream {
public:
    HttpStream(asio::ip::tcp::socket socket, MessageKind incoming);

    /// Reads the next head. Closed: the peer closed between messages.
    asio::awaitable<Expected<HttpHead>> readHead();
    /// Reads the next part of the body; empty means that the message is complete.
    asio::awaitable<Expected<std::string>> readBodyPart();
    /// Writes all of `bytes`.
    asio::awaitable<Expected<void>> write(std::string bytes);
    /// The next message read has no body, whatever its head says.
    void expectNoBody() { m_decoder.expectNoBody(); }
    /// True once the message being read is complete.
    bool messageComplete() const { return m_decoder.messageComplete(); }

    asio::ip::tcp::socket& socket() noexcept { return m_socket; }
    void close();

private:
    asio::awaitable<Expected<void>> readMore();

    static constexpr std::size_t readBytes = std::size_t { 16 } * 1024;

    asio::ip::tcp::socket m_socket;
    HttpDecoder m_decoder;
    std::string m_pending;
};

} // namespace laburnum::pvt
