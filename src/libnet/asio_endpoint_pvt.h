/// Addresses in Asio's terms, and sockets that listen on them.
#pragma once

#include <asio/ip/tcp.hpp>

#include <laburnumroute/endpoint.h>
#include <laburnumroute/error.h>

namespace laburnum::pvt {

/// Converts to Asio's endpoint; InvalidArgument names the address.
Expected<asio::ip::tcp::endpoint> toAsio(const Endpoint& endpoint);
/// Opens, binds and listens; the first step that fails is told.
std::error_code openAcceptor(
    asio::ip::tcp::acceptor& acceptor, const asio::ip::tcp::endpoint& address);
/// The same at `endpoint`; Io names it.
Expected<void> startListening(asio::ip::tcp::acceptor& acceptor, const Endpoint& endpoint);

} // namespace laburnum::pvt
