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

} // namespace laburnum::pvt
