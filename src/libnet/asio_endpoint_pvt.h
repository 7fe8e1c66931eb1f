/// Conversion of endpoints to Asio types, and helpers to open listening sockets.
#pragma once

#include <asio/ip/tcp.hpp>

#include <laburnumroute/endpoint.h>
#include <laburnumroute/error.h>

namespace laburnum::pvt {

/// Fails with InvalidArgument, naming the address, when it is not an IP address.
Expected<asio::ip::tcp::endpoint> toAsio(const Endpoint& endpoint);
/// Opens, binds and listens; returns the error of the first step that fails.
std::error_code openAcceptor(
    asio::ip::tcp::acceptor& acceptor, const asio::ip::tcp::endpoint& address);
/// As openAcceptor(), for `endpoint`. Fails with Io, naming the address.
Expected<void> startListening(asio::ip::tcp::acceptor& acceptor, const Endpoint& endpoint);

/// Sets the kernel's buffers of an open socket or acceptor; zero leaves one to the system. The
/// receive buffer must be set before the connection exists, because the window scale is agreed on
/// then; sockets inherit it from their acceptor.
template <class Socket> void setSocketBuffers(Socket& socket, int receiveBytes, int sendBytes)
{
    std::error_code ignored;
    if (receiveBytes > 0)
        socket.set_option(asio::socket_base::receive_buffer_size(receiveBytes), ignored);
    if (sendBytes > 0)
        socket.set_option(asio::socket_base::send_buffer_size(sendBytes), ignored);
}

} // namespace laburnum::pvt
